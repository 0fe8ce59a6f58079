// Divides the limits of backend servers on rates and rejections among the instances.

#include "dispatcherimplementation.h"

#include <algorithm>

namespace flamingosaddle
{

namespace
{

constexpr Duration rejectionShareInterval = std::chrono::seconds(1); // between updates of the shares of rejection limits

/** Returns whether all servers are left to other instances. */
bool isWithoutShare(const std::vector<std::optional<RejectionShare>> &shares)
{
    return !shares.empty() && std::all_of(shares.begin(), shares.end(), [](const std::optional<RejectionShare> &share) {
        return share.has_value() && share->starts == 0;
    });
}

} // namespace

bool Dispatcher::Implementation::applyPeerRateLimit(const ServerRateLimit &report, TimePoint now)
{
    const bool changed = this->rateLimits.applyPeerReport(report);
    if (changed) {
        this->updateRateShare(report.server, now);
    }
    return changed;
}

void Dispatcher::Implementation::rateLimitReports(std::vector<ServerRateLimit> &reports, TimePoint now)
{
    const auto isConfigured = [this](const BackendServerId &server) {
        const std::optional<ServerIndex> index = this->pool.find(server);
        return index.has_value() && this->pool.server(*index).present;
    };
    this->rateLimits.expire(isConfigured, now);
    this->rateLimits.ownReports(reports);
}

void Dispatcher::Implementation::updateRateShares(TimePoint now)
{
    std::vector<BackendServerId> servers = this->rateLimits.servers();
    // Includes servers whose limit has expired meanwhile.
    for (const ServerIndex index : this->pool.rateLimitedServers()) {
        servers.push_back(this->pool.server(index).id);
    }
    for (const BackendServerId &server : servers) {
        this->updateRateShare(server, now);
    }
}

void Dispatcher::Implementation::updateRateShare(const BackendServerId &server, TimePoint now)
{
    const std::optional<ServerIndex> index = this->pool.find(server);
    if (index.has_value()) {
        this->pool.setRateShare(*index, this->rateLimits.share(server), now);
        this->serversChanged = true;
    }
}

void Dispatcher::Implementation::refreshRejectionShares(TimePoint now)
{
    const bool isRecent
        = this->rejectionSharesUpdatedAt.has_value() && now - *this->rejectionSharesUpdatedAt < rejectionShareInterval;
    if (this->rejectionLimits.isEmpty() || isRecent) {
        return;
    }
    this->rejectionSharesUpdatedAt = now;
    for (TargetIndex target = 0; target < this->pool.targetCount(); ++target) {
        if (this->rejectionLimits.hasLimit(target)) {
            this->updateRejectionShares(target, now);
        }
    }
}

bool Dispatcher::Implementation::applyPeerRejectionLimit(const TargetRejectionLimit &report, TimePoint now)
{
    const std::optional<TargetIndex> target = this->pool.findTarget(report.target.model, report.target.service);
    if (!target.has_value() || !this->rejectionLimits.applyPeerReport(*target, report.rejectionsPerSecond, report.statedAt)) {
        return false;
    }
    this->updateRejectionShares(*target, now);
    return true;
}

std::vector<TargetRejectionLimit> Dispatcher::Implementation::rejectionLimitReports(TimePoint now) const
{
    std::vector<TargetRejectionLimit> reports;
    if (this->rejectionLimits.isEmpty()) {
        return reports;
    }
    for (TargetIndex target = 0; target < this->pool.targetCount(); ++target) {
        if (const auto report = this->rejectionLimits.ownReport(target, now)) {
            reports.push_back({this->nameOf(target), report->rejectionsPerSecond, report->statedAt});
        }
    }
    return reports;
}

void Dispatcher::Implementation::updateRejectionShares(TimePoint now)
{
    if (this->rejectionLimits.isEmpty()) {
        return;
    }
    for (TargetIndex target = 0; target < this->pool.targetCount(); ++target) {
        if (this->rejectionLimits.hasLimit(target)) {
            this->updateRejectionShares(target, now);
        }
    }
}

void Dispatcher::Implementation::updateRejectionShares(TargetIndex target, TimePoint now)
{
    std::vector<std::pair<BackendServerId, ServerIndex>> servers = this->pool.presentServers(target);
    std::sort(servers.begin(), servers.end());
    std::vector<std::optional<RejectionShare>> shares;
    shares.reserve(servers.size());
    for (std::size_t position = 0; position < servers.size(); ++position) {
        const auto &[id, index] = servers[position];
        shares.push_back(this->rejectionLimits.share(target, id, {position, servers.size(), this->pool.server(index).slots}));
    }
    this->tryOneServer(target, shares, now);
    this->leaveToPeers(target, shares);
    for (std::size_t position = 0; position < servers.size(); ++position) {
        const ServerIndex index = servers[position].second;
        if (shares[position] != this->pool.server(index).rejectionShare) {
            this->pool.setRejectionShare(index, shares[position]);
            this->serversChanged = true;
        }
    }
}

void Dispatcher::Implementation::tryOneServer(
    TargetIndex target, std::vector<std::optional<RejectionShare>> &shares, TimePoint now) const
{
    const std::optional<std::size_t> position
        = isWithoutShare(shares) ? this->rejectionLimits.serverToTry(target, shares.size(), now) : std::nullopt;
    if (position.has_value()) {
        shares[*position] = RejectionShare{1, shares[*position]->pause, 1};
    }
}

void Dispatcher::Implementation::leaveToPeers(TargetIndex target, std::vector<std::optional<RejectionShare>> &shares)
{
    const bool hasNoShare = isWithoutShare(shares);
    const bool isLeft = hasNoShare && this->peers.canServe(this->nameOf(target));
    if (hasNoShare && !isLeft) {
        // Nobody else takes the requests, so that each server gets one until it rejects it.
        for (std::optional<RejectionShare> &share : shares) {
            share = RejectionShare{1, share->pause, std::nullopt};
        }
    }
    const bool wasLeft = this->leftToPeers.contains(target);
    if (isLeft == wasLeft) {
        return;
    }
    this->pathsChanged = true;
    PathChange change;
    change.target = this->nameOf(target);
    change.loss = PathLoss::NoSlot;
    change.isReachable = !isLeft;
    this->pathChanges.push_back(std::move(change));
    if (isLeft) {
        this->leftToPeers.insert(target);
    } else {
        this->leftToPeers.erase(target);
    }
}

} // namespace flamingosaddle
