#include <flamingosaddle/traffic/resendlimit.h>

namespace flamingosaddle
{

ResendLimit::ResendLimit(ResendLimitOptions options)
    : options(options)
{
}

void ResendLimit::recordRequest(TimePoint now)
{
    if (this->options.window.count() == 0) {
        return;
    }
    this->expire(now);
    this->requests.push_back(now);
}

bool ResendLimit::tryTake(std::uint32_t instances, TimePoint now)
{
    if (this->options.window.count() == 0) {
        return true;
    }
    this->expire(now);
    const double extra = static_cast<double>(this->options.extra) / (instances == 0 ? defaultInstances : instances);
    const double limit = usedFraction * (this->options.ratio * static_cast<double>(this->requests.size()) + extra);
    if (static_cast<double>(this->resends.size()) + 1.0 > limit) {
        return false;
    }
    this->resends.push_back(now);
    return true;
}

void ResendLimit::expire(TimePoint now)
{
    const TimePoint oldest = now - this->options.window;
    for (std::deque<TimePoint> *times : {&this->requests, &this->resends}) {
        while (!times->empty() && times->front() <= oldest) {
            times->pop_front();
        }
    }
}

} // namespace flamingosaddle
