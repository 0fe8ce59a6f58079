#include "receivetimes.h"

namespace flamingosaddle
{

void ReceiveTimes::recordRead(std::size_t bytes, TimePoint now)
{
    if (bytes == 0) {
        return;
    }
    this->receivedBytes += bytes;
    if (!this->reads.empty() && now - this->reads.back().time < resolution) {
        this->reads.back().end = this->receivedBytes;
        return;
    }
    this->reads.push_back({this->receivedBytes, now});
}

TimePoint ReceiveTimes::takeUntil(std::uint64_t position)
{
    while (!this->reads.empty() && this->reads.front().end < position) {
        this->reads.pop_front();
    }
    if (!this->reads.empty()) {
        this->lastTaken = this->reads.front().time;
    }
    // The read that ends with this byte has no bytes of a later request.
    if (!this->reads.empty() && this->reads.front().end == position) {
        this->reads.pop_front();
    }
    return this->lastTaken;
}

std::uint64_t ReceiveTimes::received() const
{
    return this->receivedBytes;
}

} // namespace flamingosaddle
