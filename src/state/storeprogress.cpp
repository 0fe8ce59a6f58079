#include <flamingosaddle/state/storeprogress.h>

#include <algorithm>

namespace flamingosaddle
{

namespace
{

// Bounds the age that a peer reports; a proof older than this is useless.
constexpr std::chrono::milliseconds maxReportAge = std::chrono::hours(1);

} // namespace

RelayedTopic::RelayedTopic(Duration stalenessLimit, Duration responseTimeout)
    : stalenessLimit(stalenessLimit)
    , responseTimeout(responseTimeout)
{
}

void RelayedTopic::recordProgress(const TopicProgress &progress, TimePoint requestedAt, TimePoint now)
{
    this->lastResponseAt = now;
    this->highestOffset = std::max(this->highestOffset, progress.nextOffset);
    // A time after the request was sent would claim more freshness than the response proves.
    const TimePoint time = std::min(requestedAt, now) - std::clamp(progress.age, std::chrono::milliseconds(0), maxReportAge);
    // A response with a lower log end than the highest known one proves nothing about newer records.
    if (progress.nextOffset < this->highestOffset) {
        return;
    }
    if (progress.nextOffset > this->confirmedEnd || !this->confirmedTime.has_value() || time > *this->confirmedTime) {
        this->confirmedEnd = progress.nextOffset;
        this->confirmedTime = time;
    }
}

std::optional<TimePoint> RelayedTopic::confirmedAt(std::uint64_t nextOffset) const
{
    return this->confirmedEnd <= nextOffset ? this->confirmedTime : std::nullopt;
}

bool RelayedTopic::isFresh(TimePoint now) const
{
    return now < this->freshUntil();
}

TimePoint RelayedTopic::freshUntil() const
{
    if (!this->confirmedTime.has_value()) {
        return TimePoint::min();
    }
    return std::min(*this->confirmedTime + this->stalenessLimit, *this->lastResponseAt + this->responseTimeout);
}

std::uint64_t RelayedTopic::logEnd() const
{
    return this->highestOffset;
}

} // namespace flamingosaddle
