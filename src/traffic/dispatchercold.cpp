// Keeps this instance's share of what cold backend servers bear.

#include "dispatcherimplementation.h"

namespace flamingosaddle
{

namespace
{

constexpr Duration staleCheckInterval = std::chrono::milliseconds(500);

} // namespace

void Dispatcher::Implementation::onDataCentreReturned(const DataCentre &dataCentre, TimePoint now)
{
    for (const ServerIndex server : this->pool.coldProneServers()) {
        if (this->pool.isIn(server, dataCentre)) {
            this->suspectCold(server, ColdReason::Returned, now);
        }
    }
}

void Dispatcher::Implementation::onServersConfirmed(TimePoint confirmedAt, TimePoint now)
{
    this->pool.recordServersConfirmed(confirmedAt);
    this->updateColdServers(now);
}

void Dispatcher::Implementation::suspectCold(ServerIndex server, ColdReason reason, TimePoint now)
{
    this->pool.suspectCold(server, reason, now);
    this->updateColdServer(server, now);
}

void Dispatcher::Implementation::updateColdServers(TimePoint now)
{
    this->coldCheckedAt = now;
    this->coldSharesChangeAt = this->coldServers.nextChange(now);
    for (const ServerIndex server : this->pool.coldProneServers()) {
        this->pool.keepStarts(server, this->coldServers.allowance(this->pool.server(server).cold->requestsPerSecond));
        this->updateColdServer(server, now);
    }
}

void Dispatcher::Implementation::refreshColdServers(TimePoint now)
{
    if (this->pool.coldProneServers().empty()) {
        return;
    }
    const bool hasShareChanged = this->coldSharesChangeAt.has_value() && *this->coldSharesChangeAt <= now;
    if (hasShareChanged || now - this->coldCheckedAt >= staleCheckInterval) {
        this->updateColdServers(now);
        return;
    }
    this->changedCold.clear();
    for (const ServerIndex server : this->pool.coldServers()) {
        if (this->pool.coldReason(server, now) != this->pool.server(server).cold->reason) {
            this->changedCold.push_back(server);
        }
    }
    for (const ServerIndex server : this->changedCold) {
        this->updateColdServer(server, now);
    }
}

void Dispatcher::Implementation::updateColdServer(ServerIndex index, TimePoint now)
{
    const ServerState &server = this->pool.server(index);
    if (!server.cold.has_value()) {
        return;
    }
    const std::optional<ColdReason> before = server.cold->reason;
    const std::optional<ColdReason> after = this->pool.coldReason(index, now);
    if (!before.has_value() && !after.has_value()) {
        return;
    }
    const std::uint32_t share
        = after.has_value() ? this->coldServers.share(server.id, server.cold->requestsPerSecond, now) : server.cold->share;
    if (before == after && share == server.cold->share) {
        return;
    }
    this->pool.setCold(index, after, share);
    this->pausesChanged = true;
    if (after == ColdReason::Stated && before != after) {
        // A server that has started again holds nothing of before.
        this->selector.promptPlacement.forgetPrefixes(index);
    }
    if (before != after) {
        this->coldChanges.push_back(this->coldStatus(index, now));
    }
}

ColdServerStatus Dispatcher::Implementation::coldStatus(ServerIndex index, TimePoint now) const
{
    const ServerState &server = this->pool.server(index);
    ColdServerStatus status;
    status.server = server.id;
    status.reason = server.cold->reason;
    status.share = status.reason.has_value() ? server.cold->share : 0;
    if (status.reason == ColdReason::Stated) {
        status.remaining = server.cold->statedUntil - now;
    }
    return status;
}

std::vector<ColdServerStatus> Dispatcher::Implementation::coldServerStatuses(TimePoint now) const
{
    std::vector<ColdServerStatus> statuses;
    for (const ServerIndex server : this->pool.coldServers()) {
        statuses.push_back(this->coldStatus(server, now));
    }
    return statuses;
}

} // namespace flamingosaddle
