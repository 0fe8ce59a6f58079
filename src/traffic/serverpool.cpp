#include <flamingosaddle/traffic/serverpool.h>

#include <flamingosaddle/base/hash.h>

#include <algorithm>

namespace flamingosaddle
{

namespace
{

constexpr std::uint32_t notInFreeList = std::numeric_limits<std::uint32_t>::max();

} // namespace

std::size_t ServerPool::TargetNameHash::operator()(const std::pair<ModelName, ServiceName> &name) const noexcept
{
    return hash64(name.second.text(), hash64(name.first.text()));
}

void ServerPool::setServers(const std::vector<BackendServer> &servers)
{
    for (ServerState &state : this->servers) {
        state.present = false;
    }
    for (const BackendServer &server : servers) {
        this->addServer(server);
    }
    for (ServerState &state : this->servers) {
        this->removeIfUnused(state);
    }
    this->rebuildTargets();
}

void ServerPool::addServer(const BackendServer &server)
{
    const ServerIndex index = this->serverNames.intern(server.id);
    if (index >= this->servers.size()) {
        this->servers.resize(index + 1);
    }
    ServerState &state = this->servers[index];
    state.id = server.id;
    state.nameHash = hash64(server.id.text());
    state.dataCentre = this->dataCentreNames.intern(server.dataCentre);
    state.slots = server.slots;
    state.cheap = server.cheap;
    state.softwareVersion = server.softwareVersion;
    state.startedAt = server.startedAt;
    state.leaving = server.leaving;
    state.missing = server.missing;
    state.present = true;
    this->updateColdState(index, server);
    std::vector<TargetMembership> previous;
    previous.swap(state.memberships);
    if (server.kind == BackendKind::Service) {
        this->addMemberships(state, previous, ModelName(), server.service);
        this->addMembership(state, previous, this->internTarget(longPromptModel(), server.service));
    } else {
        for (const ModelName &model : server.models) {
            this->addMemberships(state, previous, model, ServiceName());
        }
    }
    this->addHomeMemberships(state, previous);
}

void ServerPool::removeIfUnused(ServerState &state)
{
    // A pause holds on if the server's entry is back before its end.
    if (!state.present && state.inFlight == 0 && !state.pausedUntil.has_value() && !state.id.isEmpty()) {
        this->removeServer(state);
    }
}

void ServerPool::removeServer(ServerState &state)
{
    const auto index = static_cast<ServerIndex>(&state - this->servers.data());
    std::erase(this->rateLimited, index);
    std::erase(this->paused, index);
    std::erase(this->rejectionLimited, index);
    std::erase(this->cold, index);
    std::erase(this->coldProne, index);
    this->serverNames.release(state.id);
    state = ServerState();
}

void ServerPool::addMembership(ServerState &state, const std::vector<TargetMembership> &previous, TargetIndex target)
{
    TargetMembership membership{target, 0, 0};
    for (const TargetMembership &earlier : previous) {
        if (earlier.target == target) {
            membership.inFlight = earlier.inFlight;
        }
    }
    state.memberships.push_back(membership);
}

void ServerPool::applyLoadReport(const ServerLoadReport &report)
{
    const std::optional<ServerIndex> index = this->serverNames.find(report.server);
    if (!index.has_value() || this->servers[*index].reportedAt > report.measuredAt) {
        return;
    }
    ServerState &state = this->servers[*index];
    const std::int64_t delta = static_cast<std::int64_t>(report.peersInFlight) - state.peersInFlight;
    state.peersInFlight = report.peersInFlight;
    state.reportedTokens = report.waitingTokens;
    state.reportedAt = report.measuredAt;
    this->adjustLoad(*index, delta);
    this->refresh(*index);
}

void ServerPool::setExcluded(const DataCentre &dataCentre, bool excluded)
{
    const DataCentreIndex index = this->dataCentreNames.intern(dataCentre);
    if (index >= this->excludedDataCentres.size()) {
        this->excludedDataCentres.resize(index + 1, false);
    }
    this->excludedDataCentres[index] = excluded;
    this->rebuildTargets();
}

void ServerPool::setEvacuated(const DataCentre &dataCentre, bool evacuated)
{
    const DataCentreIndex index = this->dataCentreNames.intern(dataCentre);
    if (index >= this->evacuatedDataCentres.size()) {
        this->evacuatedDataCentres.resize(index + 1, false);
    }
    this->evacuatedDataCentres[index] = evacuated;
    this->rebuildTargets();
}

bool ServerPool::isEvacuated(const ServerState &state) const
{
    return state.dataCentre < this->evacuatedDataCentres.size() && this->evacuatedDataCentres[state.dataCentre];
}

void ServerPool::setStragglerDetection(bool enabled)
{
    this->detectsStragglers = enabled;
}

void ServerPool::setInstanceCount(std::uint32_t count)
{
    this->instanceCount = count;
    this->rebuildTargets();
}

void ServerPool::acquire(ServerIndex index, TargetIndex target, double tokens)
{
    ServerState &state = this->servers[index];
    if (state.slowdown >= stragglerSlowdown && state.inFlight == 0) {
        state.probeDelay = std::min(2 * state.probeDelay, maxProbeDelay);
    }
    state.localTokens += tokens;
    if (state.rateLimit.has_value()) {
        state.rateLimit->take();
    }
    this->adjustInFlight(index, target, 1);
}

void ServerPool::release(ServerIndex index, TargetIndex target, double tokens)
{
    ServerState &state = this->servers[index];
    state.localTokens = std::max(0.0, state.localTokens - tokens);
    this->adjustInFlight(index, target, -1);
    this->removeIfUnused(state);
}

void ServerPool::adjustInFlight(ServerIndex index, TargetIndex targetIndex, std::int64_t delta)
{
    ServerState &state = this->servers[index];
    Target &target = this->targets[targetIndex];
    state.inFlight = static_cast<std::uint32_t>(state.inFlight + delta);
    target.localInFlight = static_cast<std::uint32_t>(target.localInFlight + delta);
    for (TargetMembership &membership : state.memberships) {
        if (membership.target == targetIndex) {
            membership.inFlight = static_cast<std::uint32_t>(membership.inFlight + delta);
        }
    }
    if (!this->isUsable(state)) {
        return;
    }
    this->adjustLoad(index, delta);
    if (state.cheap) {
        CheapCapacity &cheap = target.cheapByDataCentre[state.dataCentre];
        cheap.inFlight = static_cast<std::uint32_t>(cheap.inFlight + delta);
    }
    this->refresh(index);
    this->refreshDataCentre(targetIndex, state.dataCentre);
}

void ServerPool::recordProgress(ServerIndex index, double tokens)
{
    ServerState &state = this->servers[index];
    state.localTokens = std::max(0.0, state.localTokens - tokens);
}

std::optional<ServerIndex> ServerPool::find(const BackendServerId &id) const
{
    return this->serverNames.find(id);
}

Availability ServerPool::availability(TargetIndex target) const
{
    Availability available;
    available.ordinary = !this->targets[target].freeOrdinary.empty();
    available.cheap = !this->targets[target].freeCheap.empty();
    return available;
}

std::optional<TargetIndex> ServerPool::findTarget(const ModelName &model, const ServiceName &service)
{
    this->lookupKey.first = model;
    this->lookupKey.second = service;
    return this->targetNames.find(this->lookupKey);
}

std::vector<std::pair<BackendServerId, ServerIndex>> ServerPool::presentServers(TargetIndex target) const
{
    std::vector<std::pair<BackendServerId, ServerIndex>> present;
    for (ServerIndex index = 0; index < this->servers.size(); ++index) {
        const ServerState &state = this->servers[index];
        const bool isMember
            = std::any_of(state.memberships.begin(), state.memberships.end(), [target](const TargetMembership &membership) {
                  return membership.target == target;
              });
        if (isMember && state.present && !state.leaving && !this->isEvacuated(state)) {
            present.emplace_back(state.id, index);
        }
    }
    return present;
}

bool ServerPool::hasUsableServer(TargetIndex target, bool cheapAllowed) const
{
    return this->targets[target].ordinaryCount > 0 || (cheapAllowed && !this->targets[target].candidates.empty());
}

bool ServerPool::isExcluded(ServerIndex index) const
{
    const ServerState &state = this->servers[index];
    const bool isReclaimed
        = state.cheap && state.dataCentre < this->excludedDataCentres.size() && this->excludedDataCentres[state.dataCentre];
    return isReclaimed || this->isEvacuated(state);
}

bool ServerPool::isUsable(const ServerState &state) const
{
    const bool excluded
        = state.cheap && state.dataCentre < this->excludedDataCentres.size() && this->excludedDataCentres[state.dataCentre];
    return state.present && !state.leaving && !excluded && !this->isEvacuated(state) && !isLeftToOthers(state);
}

bool ServerPool::isLeftToOthers(const ServerState &state)
{
    const bool hasNoRate = state.rateLimit.has_value() && state.rateLimit->tokensPerSecond() <= 0.0;
    return hasNoRate || (state.rejectionShare.has_value() && state.rejectionShare->starts == 0);
}

void ServerPool::rebuildTargets()
{
    ++this->candidateGeneration;
    for (Target &target : this->targets) {
        target.candidates.clear();
        target.freeOrdinary.clear();
        target.freeCheap.clear();
        target.cheapByDataCentre.resize(this->dataCentreNames.size());
        target.ordinaryCount = 0;
        target.slots = 0;
        target.load = 0;
        target.freeOrdinarySlots = 0;
        target.freeCheapSlots = 0;
        target.otherInstancesCount = 0;
        target.evacuatedCount = 0;
        std::fill(target.cheapByDataCentre.begin(), target.cheapByDataCentre.end(), CheapCapacity());
    }
    for (ServerIndex index = 0; index < this->servers.size(); ++index) {
        if (this->isUsable(this->servers[index])) {
            for (TargetMembership &membership : this->servers[index].memberships) {
                membership.position = static_cast<std::uint32_t>(this->targets[membership.target].candidates.size());
                this->addCandidate(index, membership);
            }
        } else if (this->servers[index].present && !this->servers[index].leaving) {
            this->countUnusable(this->servers[index]);
        }
    }
    for (ServerIndex index = 0; index < this->servers.size(); ++index) {
        this->refresh(index);
    }
    this->medianSamples.reserve(this->servers.size());
}

void ServerPool::countUnusable(const ServerState &state)
{
    for (const TargetMembership &membership : state.memberships) {
        Target &target = this->targets[membership.target];
        if (this->isEvacuated(state)) {
            ++target.evacuatedCount;
        } else if (isLeftToOthers(state)) {
            ++target.otherInstancesCount;
        }
    }
}

void ServerPool::addCandidate(ServerIndex index, const TargetMembership &membership)
{
    const ServerState &state = this->servers[index];
    Target &target = this->targets[membership.target];
    target.candidates.push_back(Candidate{index, state.nameHash, notInFreeList, 0});
    target.slots += state.slots;
    target.load += state.inFlight + state.peersInFlight;
    if (state.cheap) {
        target.cheapByDataCentre[state.dataCentre].slots += state.slots;
        target.cheapByDataCentre[state.dataCentre].inFlight += membership.inFlight;
        target.freeCheap.reserve(target.candidates.size());
    } else {
        ++target.ordinaryCount;
        target.freeOrdinary.reserve(target.candidates.size());
    }
}

std::uint32_t ServerPool::usableSlots(const ServerState &state) const
{
    if (state.slowdown < stragglerSlowdown) {
        return state.slots;
    }
    return std::max(std::min(state.slots, 1U), static_cast<std::uint32_t>(state.slots / state.slowdown));
}

std::uint32_t ServerPool::freeSlotsOf(const ServerState &state, const Target &target) const
{
    if (state.pausedUntil.has_value() || this->isDataCentreFull(state, target)) {
        return 0;
    }
    const std::uint32_t usable = this->usableSlots(state);
    const std::uint32_t others = this->instanceCount > 1 ? this->instanceCount - 1 : 0;
    // With more instances than slots, each runs so few requests that they rarely coincide, and a server can queue a few more.
    const std::uint32_t margin = others < usable ? std::min(others, usable / 2) : usable / crowdedMarginDivisor;
    const std::uint32_t occupied = state.inFlight + state.peersInFlight + margin;
    const std::uint32_t sharedSlots = occupied < usable ? usable - occupied : 0;
    const std::uint32_t evenShare = others > 0 ? usable / this->instanceCount : 0;
    const std::uint32_t ownRemaining = state.inFlight < evenShare ? evenShare - state.inFlight : 0;
    std::uint32_t free = std::max(sharedSlots, ownRemaining);
    if (state.rejectionShare.has_value()) {
        const std::size_t allowed = state.rejectionShare->starts;
        const std::size_t left = allowed - std::min(allowed, state.recentStarts.size());
        free = std::min(free, static_cast<std::uint32_t>(left));
        if (const std::optional<std::uint32_t> &most = state.rejectionShare->maxInFlight) {
            free = std::min(free, *most - std::min(*most, state.inFlight));
        }
    }
    if (state.cold.has_value()) {
        free = std::min(free, state.cold->startsLeft());
    }
    return state.rateLimit.has_value() ? std::min(free, state.rateLimit->wholeTokens()) : free;
}

bool ServerPool::isDataCentreFull(const ServerState &state, const Target &target) const
{
    if (!state.cheap) {
        return false;
    }
    const CheapCapacity &cheap = target.cheapByDataCentre[state.dataCentre];
    const std::uint32_t slotsElsewhere = target.slots - cheap.slots;
    return slotsElsewhere > 0 && cheap.inFlight >= slotsElsewhere;
}

void ServerPool::refresh(ServerIndex index)
{
    const ServerState &state = this->servers[index];
    if (!this->isUsable(state)) {
        return;
    }
    for (const TargetMembership &membership : state.memberships) {
        this->refreshCandidate(index, membership.target, membership.position);
    }
}

void ServerPool::refreshCandidate(ServerIndex index, TargetIndex targetIndex, std::uint32_t position)
{
    Target &target = this->targets[targetIndex];
    const ServerState &state = this->servers[index];
    std::vector<std::uint32_t> &free = state.cheap ? target.freeCheap : target.freeOrdinary;
    Candidate &candidate = target.candidates[position];
    const std::uint32_t freeSlots = this->freeSlotsOf(state, target);
    std::uint32_t &total = state.cheap ? target.freeCheapSlots : target.freeOrdinarySlots;
    total = total - candidate.freeSlots + freeSlots;
    candidate.freeSlots = freeSlots;
    const bool isFree = freeSlots > 0;
    if (isFree && candidate.freePosition == notInFreeList) {
        candidate.freePosition = static_cast<std::uint32_t>(free.size());
        free.push_back(position);
    } else if (!isFree && candidate.freePosition != notInFreeList) {
        const std::uint32_t moved = free.back();
        free[candidate.freePosition] = moved;
        target.candidates[moved].freePosition = candidate.freePosition;
        free.pop_back();
        candidate.freePosition = notInFreeList;
    }
}

void ServerPool::refreshDataCentre(TargetIndex targetIndex, DataCentreIndex dataCentre)
{
    const Target &target = this->targets[targetIndex];
    if (dataCentre >= target.cheapByDataCentre.size() || target.cheapByDataCentre[dataCentre].slots == 0) {
        return;
    }
    const CheapCapacity &cheap = target.cheapByDataCentre[dataCentre];
    const std::uint32_t slotsElsewhere = target.slots - cheap.slots;
    // The free servers only change when the bound is crossed.
    if (cheap.inFlight != slotsElsewhere && cheap.inFlight + 1 != slotsElsewhere) {
        return;
    }
    for (std::uint32_t position = 0; position < target.candidates.size(); ++position) {
        const ServerIndex server = target.candidates[position].server;
        if (this->servers[server].cheap && this->servers[server].dataCentre == dataCentre) {
            this->refreshCandidate(server, targetIndex, position);
        }
    }
}

void ServerPool::adjustLoad(ServerIndex index, std::int64_t delta)
{
    const ServerState &state = this->servers[index];
    if (!this->isUsable(state)) {
        return;
    }
    for (const TargetMembership &membership : state.memberships) {
        Target &target = this->targets[membership.target];
        target.load = static_cast<std::uint32_t>(target.load + delta);
    }
}

} // namespace flamingosaddle
