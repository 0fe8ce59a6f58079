#include <flamingosaddle/traffic/coldservers.h>

#include <flamingosaddle/base/hash.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

const char *toString(ColdReason reason)
{
    switch (reason) {
    case ColdReason::Stated:
        return "stated";
    case ColdReason::Failed:
        return "failed";
    case ColdReason::Missing:
        return "missing";
    case ColdReason::Stale:
        return "stale";
    case ColdReason::Returned:
        return "returned";
    }
    return "stated";
}

ColdServers::ColdServers(ColdServerOptions options)
    : options(options)
{
}

void ColdServers::setInstances(const InstanceId &self, const std::vector<InstanceId> &peers)
{
    this->self = self;
    this->peers = peers;
}

std::uint32_t ColdServers::allowance(double requestsPerSecond) const
{
    const double limit = requestsPerSecond * this->options.overage + this->options.tolerance;
    if (limit < 1.0) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(limit * usedFraction)));
}

std::uint32_t ColdServers::share(const BackendServerId &server, double requestsPerSecond, TimePoint now) const
{
    const std::uint32_t allowed = this->allowance(requestsPerSecond);
    if (this->options.startedAt.has_value() && now < *this->options.startedAt + joinTime) {
        return 0;
    }
    if (this->peers.empty()) {
        const bool isAlone = !this->options.startedAt.has_value() || now >= *this->options.startedAt + aloneTime;
        return isAlone ? allowed : std::max(allowed / assumedInstances, std::min(allowed, 1U));
    }
    const std::uint64_t key = hash64(server.text());
    const std::uint64_t ownWeight = rendezvousWeight(this->self.text(), key);
    const auto rank = std::count_if(this->peers.begin(), this->peers.end(), [key, ownWeight](const InstanceId &peer) {
        return rendezvousWeight(peer.text(), key) > ownWeight;
    });
    const auto instances = static_cast<std::uint32_t>(this->peers.size() + 1);
    return allowed / instances + (static_cast<std::uint32_t>(rank) < allowed % instances ? 1 : 0);
}

std::optional<TimePoint> ColdServers::nextChange(TimePoint now) const
{
    if (!this->options.startedAt.has_value()) {
        return std::nullopt;
    }
    for (const Duration time : {joinTime, aloneTime}) {
        if (now < *this->options.startedAt + time) {
            return *this->options.startedAt + time;
        }
    }
    return std::nullopt;
}

void RecentStarts::keep(std::uint32_t starts)
{
    this->capacity = std::max<std::size_t>(this->capacity, starts);
    this->times.reserve(this->capacity);
}

void RecentStarts::record(TimePoint now)
{
    if (this->capacity == 0) {
        return;
    }
    if (this->times.size() == this->capacity) {
        this->times.erase(this->times.begin());
    }
    this->times.push_back(now);
}

bool RecentStarts::expire(TimePoint now)
{
    const auto firstKept = std::find_if(this->times.begin(), this->times.end(), [now](TimePoint start) {
        return now - start < ColdServers::window;
    });
    const bool hasExpired = firstKept != this->times.begin();
    this->times.erase(this->times.begin(), firstKept);
    return hasExpired;
}

std::uint32_t RecentStarts::left(std::uint32_t share) const
{
    const auto used = static_cast<std::uint32_t>(this->times.size());
    return share - std::min(share, used);
}

std::optional<TimePoint> RecentStarts::nextStart(std::uint32_t share) const
{
    if (share == 0 || this->times.size() < share) {
        return std::nullopt;
    }
    return this->times[this->times.size() - share] + ColdServers::window;
}

} // namespace flamingosaddle
