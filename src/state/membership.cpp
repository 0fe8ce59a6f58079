#include <flamingosaddle/state/membership.h>

#include <flamingosaddle/base/hash.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

void markGone(Member &member, TimePoint now)
{
    member.state = MemberState::Gone;
    member.updatedAt = now;
}

bool isStale(const Member &known, const Heartbeat &heartbeat)
{
    if (heartbeat.from.number != known.lastHeartbeat.from.number) {
        return heartbeat.from.number < known.lastHeartbeat.from.number;
    }
    return known.isTerminated || heartbeat.sequence <= known.lastHeartbeat.sequence;
}

} // namespace

const char *toString(MemberState state)
{
    switch (state) {
    case MemberState::Joining:
        return "joining";
    case MemberState::Serving:
        return "serving";
    case MemberState::Draining:
        return "draining";
    case MemberState::Gone:
        return "gone";
    }
    return "gone";
}

Membership::Membership(Heartbeat self, MembershipTiming timing)
    : ownHeartbeat(std::move(self))
    , timing(timing)
{
}

// Commands.

void Membership::setOwnState(MemberState state)
{
    this->ownHeartbeat.state = state;
}

Heartbeat Membership::nextHeartbeat()
{
    ++this->ownHeartbeat.sequence;
    return this->ownHeartbeat;
}

HeartbeatResult Membership::apply(const Heartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.from.instance == this->ownHeartbeat.from.instance) {
        return HeartbeatResult::Own;
    }
    const auto known = this->memberTable.find(heartbeat.from.instance);
    if (known != this->memberTable.end() && isStale(known->second, heartbeat)) {
        return HeartbeatResult::Stale;
    }
    const bool isNew = known == this->memberTable.end() || known->second.lastHeartbeat.from != heartbeat.from;
    if (isNew) {
        this->evictOthersAt(heartbeat.address, heartbeat.from.instance, now);
    }
    const bool isShutdown = heartbeat.state == MemberState::Gone;
    Member member{heartbeat, heartbeat.state, isShutdown, now, now};
    if (known != this->memberTable.end()) {
        member.predecessorHeartbeatAt = isNew ? known->second.lastHeartbeatAt : known->second.predecessorHeartbeatAt;
    }
    this->memberTable[heartbeat.from.instance] = std::move(member);
    return HeartbeatResult::Accepted;
}

void Membership::evictOthersAt(const Endpoint &address, const InstanceId &except, TimePoint now)
{
    for (auto &[instance, member] : this->memberTable) {
        if (instance != except && member.lastHeartbeat.address == address && member.state != MemberState::Gone) {
            markGone(member, now);
        }
    }
}

void Membership::setSeeds(std::vector<Seed> seeds)
{
    this->seeds = std::move(seeds);
}

void Membership::recordUnverifiedMember(const InstanceId &instance, const Endpoint &address, TimePoint now)
{
    if (instance != this->ownHeartbeat.from.instance && !this->isLive(instance)) {
        this->unverifiedMembers[instance] = {address, now + this->timing.unverifiedTimeout};
    }
}

void Membership::expire(TimePoint now)
{
    std::erase_if(this->unverifiedMembers, [this, now](const auto &entry) {
        return entry.second.expiresAt <= now || this->isLive(entry.first);
    });
    std::erase_if(this->memberTable, [this, now](const auto &entry) {
        return entry.second.state == MemberState::Gone && this->deadlineOf(entry.second) <= now;
    });
    for (auto &[instance, member] : this->memberTable) {
        if (member.state != MemberState::Gone && this->deadlineOf(member) <= now) {
            markGone(member, now);
        }
    }
}

// Queries.

const Heartbeat &Membership::self() const
{
    return this->ownHeartbeat;
}

const Member *Membership::find(const InstanceId &instance) const
{
    const auto found = this->memberTable.find(instance);
    return found == this->memberTable.end() ? nullptr : &found->second;
}

const std::map<InstanceId, Member> &Membership::members() const
{
    return this->memberTable;
}

bool Membership::isLeaving(const InstanceId &instance) const
{
    return std::any_of(this->seeds.begin(), this->seeds.end(), [&instance](const Seed &seed) {
        return seed.instance == instance && seed.leaving;
    });
}

bool Membership::isLive(const InstanceId &instance) const
{
    const Member *member = this->find(instance);
    return member != nullptr && member->state != MemberState::Gone;
}

std::vector<Heartbeat> Membership::serving() const
{
    std::vector<Heartbeat> serving;
    for (const auto &[instance, member] : this->memberTable) {
        if (member.state == MemberState::Serving && !this->isLeaving(instance)) {
            serving.push_back(member.lastHeartbeat);
        }
    }
    return serving;
}

std::vector<InstanceId> Membership::sharingInstances(TimePoint now) const
{
    std::vector<InstanceId> instances;
    for (const auto &[instance, member] : this->memberTable) {
        const bool hasEnded = member.isTerminated || member.lastHeartbeat.state == MemberState::Draining;
        const bool isOutOfContact = !hasEnded && now < member.updatedAt + this->timing.outOfContactTime;
        if (member.state != MemberState::Gone || isOutOfContact) {
            instances.push_back(instance);
        }
    }
    return instances;
}

std::optional<TimePoint> Membership::latestLossOfContact(TimePoint now) const
{
    std::optional<TimePoint> latest;
    for (const auto &[instance, member] : this->memberTable) {
        const bool isSilent = member.state == MemberState::Gone || now >= member.lastHeartbeatAt + this->timing.silenceTime;
        const std::optional<TimePoint> loss = isSilent ? std::optional(member.lastHeartbeatAt) : member.predecessorHeartbeatAt;
        latest = std::max(latest, loss);
    }
    return latest;
}

std::vector<Endpoint> Membership::contactAddresses() const
{
    std::vector<Endpoint> contacts;
    for (const Seed &seed : this->seeds) {
        if (!this->isLive(seed.instance) && !seed.leaving && seed.instance != this->ownHeartbeat.from.instance) {
            contacts.push_back(seed.address);
        }
    }
    for (const auto &[instance, unverified] : this->unverifiedMembers) {
        if (!this->isLive(instance)) {
            contacts.push_back(unverified.address);
        }
    }
    return contacts;
}

std::vector<Incarnation> Membership::relays(const DataCentre &dataCentre, std::size_t count) const
{
    const std::uint64_t key = hash64(dataCentre.text());
    std::vector<std::pair<std::uint64_t, Incarnation>> weighted;
    const auto addCandidate = [&](const Heartbeat &candidate, MemberState state) {
        const bool isStaying = state == MemberState::Joining || state == MemberState::Serving;
        if (isStaying && candidate.dataCentre == dataCentre && !this->isLeaving(candidate.from.instance)) {
            weighted.emplace_back(rendezvousWeight(candidate.from.text(), key), candidate.from);
        }
    };
    addCandidate(this->ownHeartbeat, this->ownHeartbeat.state);
    for (const auto &[instance, member] : this->memberTable) {
        addCandidate(member.lastHeartbeat, member.state);
    }
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<Incarnation> relays;
    for (std::size_t i = 0; i < std::min(count, weighted.size()); ++i) {
        relays.push_back(weighted[i].second);
    }
    return relays;
}

TimePoint Membership::deadlineOf(const Member &member) const
{
    return member.updatedAt + (member.state == MemberState::Gone ? this->timing.goneRetention : this->timing.heartbeatTimeout);
}

std::optional<TimePoint> Membership::nextDeadline() const
{
    std::optional<TimePoint> earliest;
    for (const auto &[instance, member] : this->memberTable) {
        const TimePoint deadline = this->deadlineOf(member);
        earliest = std::min(earliest.value_or(deadline), deadline);
    }
    return earliest;
}

} // namespace flamingosaddle
