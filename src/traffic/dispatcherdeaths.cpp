// Decides whether a lost connection was the death of a backend server, which counts against the request that ran there.

#include "dispatcherimplementation.h"

#include <flamingosaddle/base/hash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::size_t maxDisputedDeaths = 256; // bounds memory; the oldest are dropped first

} // namespace

void Dispatcher::Implementation::recordDeath(const RequestRecord &record, TimePoint now)
{
    const ServerState &server = this->pool.server(record.server);
    ServerDeath death{server.id, record.fingerprint, record.promptParts, now - record.startedAt};
    // A server in a data centre that is being reclaimed or was evacuated is stopped regardless of the request.
    if (this->pool.isExcluded(record.server)) {
        this->deaths.push_back(std::move(death));
        return;
    }
    if (this->options.confirmDeathsByPathCheck && this->paths.isUnreachable(record.serviceTarget)) {
        this->addDisputedDeath({std::move(death), now, server.startedAt});
        return;
    }
    this->pool.recordDeath(record.server, now);
    // Counts at once, since the request may be about to be sent to another server.
    const bool isCounted = this->quarantine.recordDeath(record.fingerprint, server.nameHash, now);
    if (!this->options.confirmDeathsByPathCheck) {
        this->confirmDeath(std::move(death), now, now);
        return;
    }
    this->unconfirmedDeaths.push_back({record.serviceTarget, this->paths.lastCheck(record.serviceTarget),
        {std::move(death), now, server.startedAt}, isCounted});
}

void Dispatcher::Implementation::confirmDeath(ServerDeath death, TimePoint diedAt, TimePoint now)
{
    death.ago = now - diedAt;
    this->recordPromptPart(this->promptQuarantine.recordDeath(death, now), true);
    this->deaths.push_back(std::move(death));
}

void Dispatcher::Implementation::decideDeaths(TargetIndex target, TimePoint now)
{
    const auto isDecided = [this, target](const UnconfirmedDeath &unconfirmed) {
        return unconfirmed.target == target && this->paths.lastCheck(target) > unconfirmed.earlierCheck;
    };
    for (const UnconfirmedDeath &unconfirmed : this->unconfirmedDeaths) {
        if (!isDecided(unconfirmed)) {
            continue;
        }
        const DisputedDeath &seen = unconfirmed.seen;
        if (!this->paths.isUnreachable(target)) {
            this->confirmDeath(seen.death, seen.diedAt, now);
            continue;
        }
        if (unconfirmed.isCounted) {
            this->quarantine.takeBackDeath(seen.death.fingerprint);
        }
        this->addDisputedDeath(seen);
    }
    std::erase_if(this->unconfirmedDeaths, isDecided);
}

void Dispatcher::Implementation::addDisputedDeath(DisputedDeath death)
{
    if (this->disputedDeaths.size() >= maxDisputedDeaths) {
        this->disputedDeaths.erase(this->disputedDeaths.begin());
    }
    this->disputedDeaths.push_back(std::move(death));
}

void Dispatcher::Implementation::decideDisputedDeaths(const std::vector<BackendServer> &servers, TimePoint now)
{
    std::erase_if(this->disputedDeaths, [this, now](const DisputedDeath &disputed) {
        return now >= disputed.diedAt + this->options.disputeTime;
    });
    if (this->disputedDeaths.empty()) {
        return;
    }
    std::set<std::pair<BackendServerId, std::uint64_t>> listed;
    for (const BackendServer &server : servers) {
        listed.emplace(server.id, server.startedAt);
    }
    const auto isListed = [&listed](const DisputedDeath &disputed) {
        return listed.contains({disputed.death.server, disputed.serverStartedAt});
    };
    for (const DisputedDeath &disputed : this->disputedDeaths) {
        const std::optional<ServerIndex> server = this->pool.find(disputed.death.server);
        const bool isLeaving = server.has_value() && this->pool.server(*server).leaving;
        // A server that leaves ends regardless of the request.
        if (!isListed(disputed) && !isLeaving) {
            this->quarantine.recordDeath(disputed.death.fingerprint, hash64(disputed.death.server.text()), disputed.diedAt);
            this->quarantinesChanged = true;
            this->confirmDeath(disputed.death, disputed.diedAt, now);
        }
    }
    std::erase_if(this->disputedDeaths, [&isListed](const DisputedDeath &disputed) {
        return !isListed(disputed);
    });
}

void Dispatcher::Implementation::clearDisputedDeaths(std::uint64_t fingerprint, const std::vector<std::uint64_t> &promptParts)
{
    for (DisputedDeath &disputed : this->disputedDeaths) {
        ServerDeath &death = disputed.death;
        if (death.fingerprint == fingerprint) {
            death.fingerprint = 0;
        }
        std::erase_if(death.promptParts, [&promptParts](std::uint64_t part) {
            return std::find(promptParts.begin(), promptParts.end(), part) != promptParts.end();
        });
    }
}

} // namespace flamingosaddle
