#include <flamingosaddle/base/walltime.h>

#include <cstdlib>

namespace flamingosaddle
{

std::chrono::milliseconds WallTime::unixTime(std::chrono::milliseconds system, TimePoint now)
{
    const auto monotonic = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    const std::chrono::milliseconds measuredOffset = system - monotonic;
    const bool isStep = this->offset.has_value() && std::chrono::abs(measuredOffset - *this->offset) > maxDrift;
    if (isStep && !this->stepDetectedAt.has_value()) {
        this->stepDetectedAt = now;
    }
    if (!isStep || now - *this->stepDetectedAt >= stepConfirmationTime) {
        this->offset = measuredOffset;
        this->stepDetectedAt.reset();
    }
    return monotonic + *this->offset;
}

} // namespace flamingosaddle
