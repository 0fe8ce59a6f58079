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
        this->place(server);
    }
    for (ServerState &state : this->servers) {
        if (!state.present && state.inFlight == 0 && !state.id.isEmpty()) {
            this->serverNames.release(state.id);
            state = ServerState();
        }
    }
    this->rebuildTargets();
}

void ServerPool::place(const BackendServer &server)
{
    const ServerIndex index = this->serverNames.intern(server.id);
    if (index >= this->servers.size()) {
        this->servers.resize(index + 1);
    }
    ServerState &state = this->servers[index];
    state.id = server.id;
    state.nameHash = hash64(server.id.text());
    state.zone = this->zoneNames.intern(server.dataCentre);
    state.slots = server.slots;
    state.cheap = server.cheap;
    state.leaving = server.leaving;
    state.present = true;
    std::vector<ServerPlace> previous;
    previous.swap(state.places);
    if (server.kind == BackendKind::Service) {
        this->addPlace(state, previous, this->internTarget(ModelName(), server.service));
        this->addPlace(state, previous, this->internTarget(longPrompts(), server.service));
        return;
    }
    for (const ModelName &model : server.models) {
        this->addPlace(state, previous, this->internTarget(model, ServiceName()));
    }
}

void ServerPool::addPlace(ServerState &state, const std::vector<ServerPlace> &previous, TargetIndex target)
{
    ServerPlace membership{target, 0, 0};
    for (const ServerPlace &earlier : previous) {
        if (earlier.target == target) {
            membership.inFlight = earlier.inFlight;
        }
    }
    state.places.push_back(membership);
}

const ModelName &ServerPool::longPrompts()
{
    static const ModelName name("(long prompts)");
    return name;
}

TargetIndex ServerPool::internTarget(const ModelName &model, const ServiceName &service)
{
    const TargetIndex index = this->targetNames.intern({model, service});
    if (index >= this->targets.size()) {
        this->targets.resize(index + 1);
    }
    return index;
}

void ServerPool::report(const ServerReport &report)
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
    this->changeLoad(*index, delta);
    this->refresh(*index);
}

void ServerPool::setExcluded(const DataCentre &dataCentre, bool excluded)
{
    const ZoneIndex index = this->zoneNames.intern(dataCentre);
    if (index >= this->excludedZones.size()) {
        this->excludedZones.resize(index + 1, false);
    }
    this->excludedZones[index] = excluded;
    this->rebuildTargets();
}

void ServerPool::setSpeedJudged(bool enabled)
{
    this->speedJudged = enabled;
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
        state.probeWait = std::min(2 * state.probeWait, longestProbeWait);
    }
    state.ownTokens += tokens;
    this->changeInFlight(index, target, 1);
}

void ServerPool::release(ServerIndex index, TargetIndex target, double tokens)
{
    ServerState &state = this->servers[index];
    state.ownTokens = std::max(0.0, state.ownTokens - tokens);
    this->changeInFlight(index, target, -1);
    if (!state.present && state.inFlight == 0) {
        this->serverNames.release(state.id);
        state = ServerState();
    }
}

void ServerPool::changeInFlight(ServerIndex index, TargetIndex targetIndex, std::int64_t delta)
{
    ServerState &state = this->servers[index];
    Target &target = this->targets[targetIndex];
    state.inFlight = static_cast<std::uint32_t>(state.inFlight + delta);
    target.ownInFlight = static_cast<std::uint32_t>(target.ownInFlight + delta);
    for (ServerPlace &membership : state.places) {
        if (membership.target == targetIndex) {
            membership.inFlight = static_cast<std::uint32_t>(membership.inFlight + delta);
        }
    }
    if (!this->isUsable(state)) {
        return;
    }
    this->changeLoad(index, delta);
    if (state.cheap) {
        Zone &cheap = target.zones[state.zone];
        cheap.inFlight = static_cast<std::uint32_t>(cheap.inFlight + delta);
    }
    this->refresh(index);
    this->refreshZone(targetIndex, state.zone);
}

void ServerPool::noteProgress(ServerIndex index, double tokens)
{
    ServerState &state = this->servers[index];
    state.ownTokens = std::max(0.0, state.ownTokens - tokens);
}

std::optional<ServerIndex> ServerPool::find(const BackendServerId &id) const
{
    return this->serverNames.find(id);
}

Availability ServerPool::availability(TargetIndex target) const
{
    Availability available;
    available.reliable = !this->targets[target].freeReliable.empty();
    available.cheap = !this->targets[target].freeCheap.empty();
    return available;
}

std::optional<TargetIndex> ServerPool::findTarget(const ModelName &model, const ServiceName &service)
{
    this->targetKey.first = model;
    this->targetKey.second = service;
    return this->targetNames.find(this->targetKey);
}

bool ServerPool::anyUsable(TargetIndex target, bool cheapAllowed) const
{
    return this->targets[target].reliableCount > 0 || (cheapAllowed && !this->targets[target].candidates.empty());
}

bool ServerPool::isExcluded(ServerIndex index) const
{
    const ServerState &state = this->servers[index];
    return state.cheap && state.zone < this->excludedZones.size() && this->excludedZones[state.zone];
}

bool ServerPool::isUsable(const ServerState &state) const
{
    const bool excluded = state.cheap && state.zone < this->excludedZones.size() && this->excludedZones[state.zone];
    return state.present && !state.leaving && !excluded;
}

void ServerPool::rebuildTargets()
{
    ++this->rebuilds;
    for (Target &target : this->targets) {
        target.candidates.clear();
        target.freeReliable.clear();
        target.freeCheap.clear();
        target.zones.resize(this->zoneNames.size());
        target.reliableCount = 0;
        target.slots = 0;
        target.load = 0;
        target.freeReliableSlots = 0;
        target.freeCheapSlots = 0;
        std::fill(target.zones.begin(), target.zones.end(), Zone());
    }
    for (ServerIndex index = 0; index < this->servers.size(); ++index) {
        if (this->isUsable(this->servers[index])) {
            for (ServerPlace &membership : this->servers[index].places) {
                membership.position = static_cast<std::uint32_t>(this->targets[membership.target].candidates.size());
                this->addCandidate(index, membership);
            }
        }
    }
    for (ServerIndex index = 0; index < this->servers.size(); ++index) {
        this->refresh(index);
    }
    this->scratch.reserve(this->servers.size());
}

void ServerPool::addCandidate(ServerIndex index, const ServerPlace &membership)
{
    const ServerState &state = this->servers[index];
    Target &target = this->targets[membership.target];
    target.candidates.push_back(Candidate{index, state.nameHash, notInFreeList, 0});
    target.slots += state.slots;
    target.load += state.inFlight + state.peersInFlight;
    if (state.cheap) {
        target.zones[state.zone].slots += state.slots;
        target.zones[state.zone].inFlight += membership.inFlight;
        target.freeCheap.reserve(target.candidates.size());
    } else {
        ++target.reliableCount;
        target.freeReliable.reserve(target.candidates.size());
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
    if (this->isZoneFull(state, target)) {
        return 0;
    }
    const std::uint32_t usable = this->usableSlots(state);
    const std::uint32_t others = this->instanceCount > 1 ? this->instanceCount - 1 : 0;
    // With more instances than slots, each runs so few requests that they rarely coincide, and a server can queue a few more.
    const std::uint32_t margin = others < usable ? std::min(others, usable / 2) : usable / crowdedMarginPart;
    const std::uint32_t occupied = state.inFlight + state.peersInFlight + margin;
    const std::uint32_t sharedSlots = occupied < usable ? usable - occupied : 0;
    const std::uint32_t evenShare = others > 0 ? usable / this->instanceCount : 0;
    const std::uint32_t ownRemaining = state.inFlight < evenShare ? evenShare - state.inFlight : 0;
    return std::max(sharedSlots, ownRemaining);
}

bool ServerPool::isZoneFull(const ServerState &state, const Target &target) const
{
    if (!state.cheap) {
        return false;
    }
    const Zone &cheap = target.zones[state.zone];
    const std::uint32_t slotsElsewhere = target.slots - cheap.slots;
    return slotsElsewhere > 0 && cheap.inFlight >= slotsElsewhere;
}

void ServerPool::refresh(ServerIndex index)
{
    const ServerState &state = this->servers[index];
    if (!this->isUsable(state)) {
        return;
    }
    for (const ServerPlace &membership : state.places) {
        this->refreshPlace(index, membership.target, membership.position);
    }
}

void ServerPool::refreshPlace(ServerIndex index, TargetIndex targetIndex, std::uint32_t position)
{
    Target &target = this->targets[targetIndex];
    const ServerState &state = this->servers[index];
    std::vector<std::uint32_t> &free = state.cheap ? target.freeCheap : target.freeReliable;
    Candidate &candidate = target.candidates[position];
    const std::uint32_t freeSlots = this->freeSlotsOf(state, target);
    std::uint32_t &total = state.cheap ? target.freeCheapSlots : target.freeReliableSlots;
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

void ServerPool::refreshZone(TargetIndex targetIndex, ZoneIndex dataCentre)
{
    const Target &target = this->targets[targetIndex];
    if (dataCentre >= target.zones.size() || target.zones[dataCentre].slots == 0) {
        return;
    }
    const Zone &cheap = target.zones[dataCentre];
    const std::uint32_t slotsElsewhere = target.slots - cheap.slots;
    // Free servers only delta when the bound is crossed.
    if (cheap.inFlight != slotsElsewhere && cheap.inFlight + 1 != slotsElsewhere) {
        return;
    }
    for (std::uint32_t position = 0; position < target.candidates.size(); ++position) {
        const ServerIndex server = target.candidates[position].server;
        if (this->servers[server].cheap && this->servers[server].zone == dataCentre) {
            this->refreshPlace(server, targetIndex, position);
        }
    }
}

void ServerPool::changeLoad(ServerIndex index, std::int64_t delta)
{
    const ServerState &state = this->servers[index];
    if (!this->isUsable(state)) {
        return;
    }
    for (const ServerPlace &membership : state.places) {
        Target &target = this->targets[membership.target];
        target.load = static_cast<std::uint32_t>(target.load + delta);
    }
}

} // namespace flamingosaddle
