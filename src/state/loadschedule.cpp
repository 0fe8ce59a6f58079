#include <flamingosaddle/state/loadschedule.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

LoadSchedule::LoadSchedule(LoadRate rate, TimePoint now)
    : rate(rate)
{
    this->fullAt = now + this->timeFor(this->rate.burstBytes);
}

Duration LoadSchedule::timeFor(std::uint64_t bytes) const
{
    constexpr double nanosecondsPerSecond = 1e9;
    const double seconds = static_cast<double>(bytes) / static_cast<double>(this->rate.bytesPerSecond);
    return Duration(static_cast<Duration::rep>(std::ceil(seconds * nanosecondsPerSecond)));
}

// Commands.

TimePoint LoadSchedule::reserve(std::uint64_t bytes, TimePoint now)
{
    const TimePoint start = this->nextStart(now);
    this->fullAt = std::max(this->fullAt, start) + this->timeFor(bytes);
    return start;
}

// Queries.

TimePoint LoadSchedule::nextStart(TimePoint now) const
{
    return std::max(now, this->fullAt - this->timeFor(this->rate.burstBytes));
}

} // namespace flamingosaddle
