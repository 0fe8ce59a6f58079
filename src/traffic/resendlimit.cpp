#include <flamingosaddle/traffic/resendlimit.h>

#include <algorithm>

namespace flamingosaddle
{

SharingCount::SharingCount(std::chrono::milliseconds window)
    : window(window)
{
}

void SharingCount::set(std::uint32_t count, TimePoint now)
{
    this->counts.push_back({count, now});
}

std::uint32_t SharingCount::largest(TimePoint now)
{
    while (this->counts.size() > 1 && this->counts[1].since <= now - this->window) {
        this->counts.pop_front();
    }
    std::uint32_t largest = 0;
    for (const Count &entry : this->counts) {
        largest = std::max(largest, entry.count);
    }
    return largest;
}

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
    const double limit
        = usedFraction * (this->options.ratio * static_cast<double>(this->requests.size()) + this->share(instances, now));
    if (static_cast<double>(this->resends.size()) + 1.0 > limit) {
        return false;
    }
    this->resends.push_back(now);
    return true;
}

double ResendLimit::share(std::uint32_t instances, TimePoint now) const
{
    if (this->options.startedAt.has_value() && now < *this->options.startedAt + this->options.window) {
        return 0.0;
    }
    return static_cast<double>(this->options.extra) / (instances == 0 ? defaultInstances : instances);
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
