// Implements what the dispatcher does about the paths to backend servers.

#include "dispatcherimplementation.h"

#include <algorithm>

namespace flamingosaddle
{

TargetName Dispatcher::Implementation::nameOf(TargetIndex target) const
{
    const auto &[model, service] = this->pool.targetName(target);
    return {model, service};
}

void Dispatcher::Implementation::takePathChecks(TimePoint now, std::vector<PathCheck> &checks)
{
    checks.clear();
    this->paths.dueChecks(now, this->dueChecks);
    for (const TargetIndex target : this->dueChecks) {
        this->addPathChecks(target, now, checks);
    }
}

void Dispatcher::Implementation::addPathChecks(TargetIndex target, TimePoint now, std::vector<PathCheck> &checks)
{
    // Peers check their paths as often as this instance, so that a refusal may no longer hold.
    this->peers.clearRefusals();
    this->checkedServers.clear();
    for (const Candidate &candidate : this->pool.candidates(target)) {
        this->checkedServers.push_back(candidate.server);
    }
    if (this->checkedServers.empty()) {
        this->paths.reset(target);
        this->decideDeaths(target, now);
        return;
    }
    // Prefers servers that have not failed recently, whose failed connections say more about the path.
    const auto failed = std::partition(this->checkedServers.begin(), this->checkedServers.end(), [this, now](ServerIndex server) {
        return this->pool.server(server).backoffUntil <= now;
    });
    std::shuffle(this->checkedServers.begin(), failed, this->pathRandom);
    std::shuffle(failed, this->checkedServers.end(), this->pathRandom);
    const std::size_t count = std::min(this->checkedServers.size(), ServerPaths::serversPerCheck);
    PathCheck check = this->paths.startCheck(target, count, now);
    for (std::size_t i = 0; i < count; ++i) {
        check.server = this->pool.server(this->checkedServers[i]).id;
        checks.push_back(check);
    }
}

void Dispatcher::Implementation::onPathCheck(const PathCheck &check, bool isReached, TimePoint now)
{
    const bool isChanged = this->paths.recordCheck(check, isReached, now);
    if (this->paths.isLastCheckDecided(check.target)) {
        this->decideDeaths(check.target, now);
    }
    if (!isChanged) {
        return;
    }
    this->pathsChanged = true;
    if (isReached) {
        this->pool.forgetFailures(check.target);
    } else {
        this->checkOtherTargets(check.target);
    }
    PathChange change;
    change.target = this->nameOf(check.target);
    change.isReachable = isReached;
    change.checkedServers = this->paths.checkedServers(check.target);
    change.unansweredFor = this->paths.unansweredFor(check.target, now);
    change.unreachableFor = isReached ? this->paths.unreachableFor(check.target, now) : Duration::zero();
    this->pathChanges.push_back(std::move(change));
}

void Dispatcher::Implementation::checkOtherTargets(TargetIndex target)
{
    for (TargetIndex other = 0; other < this->pool.targetCount(); ++other) {
        if (other != target && this->paths.isUsed(other) && !this->paths.isUnreachable(other)) {
            this->paths.recordLostConnection(other, true);
        }
    }
}

void Dispatcher::Implementation::setPeerPaths(const DataCentre &ownDataCentre, std::vector<PeerPath> paths)
{
    this->peers.setPeers(ownDataCentre, std::move(paths));
    this->pathsChanged = this->pathsChanged || this->paths.isAnyUnreachable();
    this->rejectionSharesUpdatedAt.reset(); // whether peers take requests may have changed
}

bool Dispatcher::Implementation::isAnyLeftToPeers() const
{
    return this->paths.isAnyUnreachable() || !this->leftToPeers.empty();
}

bool Dispatcher::Implementation::isLeftToPeers(TargetIndex serviceTarget, bool isForwarded, const Homes &homes) const
{
    // A request that was forwarded to this instance is not sent on: the instance that has it chooses another peer.
    const bool isLeft = this->paths.isUnreachable(serviceTarget) || this->leftToPeers.contains(serviceTarget);
    return isLeft && (isForwarded || this->peers.canServe(this->nameOf(serviceTarget), homes));
}

bool Dispatcher::Implementation::isUnreachable(const RequestProfile &profile)
{
    if (!this->isAnyLeftToPeers()) {
        return false;
    }
    const std::optional<TargetIndex> target = this->pool.findTarget(profile.model, profile.service);
    return target.has_value() && this->isLeftToPeers(*target, profile.isForwarded, profile.homes);
}

bool Dispatcher::Implementation::mayForward(const RequestRecord &record) const
{
    // A request that a server has seen is not repeated beyond its attempts, here or elsewhere.
    return !record.wasReached && (record.isForwarded || this->peers.canServe(this->nameOf(record.serviceTarget), record.homes));
}

void Dispatcher::Implementation::rejectUnreachable(TimePoint now)
{
    if (!this->isAnyLeftToPeers()) {
        return;
    }
    for (const RequestIndex index : this->requests.waiting()) {
        const RequestRecord &record = this->requests.record(index);
        if (this->isLeftToPeers(record.serviceTarget, record.isForwarded, record.homes)) {
            this->reject(index, RefusalReason::Unreachable, now);
        }
    }
}

std::vector<TargetName> Dispatcher::Implementation::unreachableTargets() const
{
    std::vector<TargetName> names;
    if (this->paths.isAnyUnreachable()) {
        for (const TargetIndex target : this->paths.unreachableTargets()) {
            names.push_back(this->nameOf(target));
        }
    }
    for (const TargetIndex target : this->leftToPeers) {
        if (!this->paths.isUnreachable(target)) {
            names.push_back(this->nameOf(target));
        }
    }
    return names;
}

} // namespace flamingosaddle
