#include <flamingosaddle/traffic/ratelimits.h>

#include <limits>

namespace flamingosaddle
{

namespace
{

/** Returns the limit as a number, which is infinite for a server without one. */
double rateOf(const ServerRateLimit &limit)
{
    return limit.requestsPerSecond.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

bool RateLimits::applyResponse(const ServerRateLimit &stated, TimePoint sentAt)
{
    const auto known = this->limits.find(stated.server);
    if (known == this->limits.end()) {
        if (stated.requestsPerSecond.has_value()) {
            this->limits.emplace(stated.server, stated);
        }
        return stated.requestsPerSecond.has_value();
    }
    const bool mayBeOlder = sentAt < known->second.statedAt;
    if (mayBeOlder && rateOf(stated) >= rateOf(known->second)) {
        return false;
    }
    const bool changes = stated.requestsPerSecond != known->second.requestsPerSecond;
    if (stated.requestsPerSecond.has_value()) {
        known->second = stated;
    } else {
        this->limits.erase(known);
    }
    return changes;
}

std::size_t RateLimits::size() const
{
    return this->limits.size();
}

} // namespace flamingosaddle
