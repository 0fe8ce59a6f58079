#include <flamingosaddle/traffic/ratelimits.h>

#include <flamingosaddle/base/hash.h>

#include <algorithm>
#include <cmath>
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
    const auto known = this->entries.find(stated.server);
    if (known != this->entries.end()) {
        const bool mayBeOlder = sentAt < known->second.limit.statedAt;
        if (mayBeOlder && rateOf(stated) >= rateOf(known->second.limit)) {
            return false;
        }
    }
    return this->update(stated, true);
}

bool RateLimits::applyPeerReport(const ServerRateLimit &report)
{
    const auto known = this->entries.find(report.server);
    if (known != this->entries.end() && report.statedAt <= known->second.limit.statedAt) {
        return false;
    }
    return this->update(report, false);
}

bool RateLimits::update(const ServerRateLimit &limit, bool readHere)
{
    const auto known = this->entries.find(limit.server);
    const bool hasLimit = known != this->entries.end() && known->second.limit.requestsPerSecond.has_value();
    if (!hasLimit && !limit.requestsPerSecond.has_value()) {
        return false;
    }
    const bool changes = !hasLimit || known->second.limit.requestsPerSecond != limit.requestsPerSecond;
    this->entries[limit.server] = Entry{limit, readHere};
    return changes;
}

void RateLimits::setInstances(const InstanceId &self, const std::vector<InstanceId> &peers)
{
    this->self = self;
    this->peers = peers;
}

void RateLimits::expire(const std::function<bool(const BackendServerId &)> &isConfigured, TimePoint now)
{
    std::erase_if(this->entries, [&isConfigured, now](const auto &item) {
        const ServerRateLimit &limit = item.second.limit;
        const bool isLifted = !limit.requestsPerSecond.has_value();
        if (!isLifted && isConfigured(limit.server)) {
            return false;
        }
        return now - limit.statedAt >= (isLifted ? liftedRetention : absentRetention);
    });
}

std::size_t RateLimits::size() const
{
    return static_cast<std::size_t>(std::count_if(this->entries.begin(), this->entries.end(), [](const auto &item) {
        return item.second.limit.requestsPerSecond.has_value();
    }));
}

std::vector<BackendServerId> RateLimits::servers() const
{
    std::vector<BackendServerId> servers;
    for (const auto &[server, entry] : this->entries) {
        if (entry.limit.requestsPerSecond.has_value()) {
            servers.push_back(server);
        }
    }
    return servers;
}

std::optional<RateShare> RateLimits::share(const BackendServerId &server) const
{
    const auto known = this->entries.find(server);
    if (known == this->entries.end() || !known->second.limit.requestsPerSecond.has_value()) {
        return std::nullopt;
    }
    const double limit = std::max(*known->second.limit.requestsPerSecond, minRequestsPerSecond);
    std::size_t rank = 0;
    std::size_t instances = assumedInstances;
    if (this->peers.has_value()) {
        const std::uint64_t key = hash64(server.text());
        const std::uint64_t ownWeight = rendezvousWeight(this->self.text(), key);
        rank = static_cast<std::size_t>(
            std::count_if(this->peers->begin(), this->peers->end(), [key, ownWeight](const InstanceId &peer) {
                return rendezvousWeight(peer.text(), key) > ownWeight;
            }));
        instances = this->peers->size() + 1;
    }
    const double sharers = std::min(static_cast<double>(instances), std::floor(limit * burstSeconds) + minBurst);
    if (static_cast<double>(rank) >= sharers) {
        return RateShare{0.0, 1.0, 0.0};
    }
    const double rate = limit / sharers;
    return RateShare{rate, std::max(1.0, rate * shareBurstSeconds), static_cast<double>(rank) / sharers};
}

void RateLimits::ownReports(std::vector<ServerRateLimit> &reports) const
{
    reports.clear();
    for (const auto &[server, entry] : this->entries) {
        if (entry.readHere) {
            reports.push_back(entry.limit);
        }
    }
}

} // namespace flamingosaddle
