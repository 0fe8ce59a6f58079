#include <flamingosaddle/traffic/serverpaths.h>

#include <algorithm>

namespace flamingosaddle
{

ServerPaths::Target &ServerPaths::target(TargetIndex index)
{
    if (index >= this->targets.size()) {
        this->targets.resize(index + 1);
    }
    return this->targets[index];
}

void ServerPaths::recordStart(TargetIndex index, TimePoint now)
{
    Target &target = this->target(index);
    target.isUsed = true;
    ++target.running;
    if (!target.unansweredSince.has_value()) {
        target.unansweredSince = now;
    }
}

void ServerPaths::recordEnd(TargetIndex index)
{
    Target &target = this->target(index);
    target.running -= std::min(target.running, 1U);
    if (target.running == 0) {
        target.unansweredSince.reset();
    }
}

void ServerPaths::recordContact(TargetIndex index, TimePoint now)
{
    Target &target = this->target(index);
    target.hasContact = true;
    target.hasFailure = false;
    target.contactAt = now;
    if (target.running > 0) {
        target.unansweredSince = now;
    }
}

void ServerPaths::recordLostConnection(TargetIndex index, bool isUrgent)
{
    Target &target = this->target(index);
    target.hasLostConnection = true;
    target.isUrgent = target.isUrgent || isUrgent;
}

void ServerPaths::recordFailure(TargetIndex index)
{
    this->target(index).hasFailure = true;
}

bool ServerPaths::isContradicted(const Target &target)
{
    const bool wasReached = target.round > 0 && target.pending == 0 && !target.isUnreachable;
    return wasReached && (target.hasLostConnection || target.hasFailure) && !target.hasContact;
}

PathCheck ServerPaths::startCheck(TargetIndex index, std::size_t servers, TimePoint now)
{
    Target &target = this->target(index);
    if (target.hasContact) {
        target.holdTime = minHoldTime;
    } else if (isContradicted(target)) {
        target.holdTime = std::min(holdTimeFactor * target.holdTime, maxHoldTime);
    }
    if (!target.checkedAt.has_value() || now - *target.checkedAt > quietTime) {
        target.interval = minCheckInterval;
    }
    target.hasLostConnection = false;
    target.hasFailure = false;
    target.isUrgent = false;
    target.hasContact = false;
    target.servers = servers;
    target.pending = servers;
    target.reached = 0;
    target.checkedAt = now;
    ++target.round;
    return {index, target.round, {}, target.holdTime};
}

bool ServerPaths::recordCheck(const PathCheck &check, bool isReached, TimePoint now)
{
    Target &target = this->target(check.target);
    if (check.round != target.round || target.pending == 0) {
        return false;
    }
    const bool wasUnreachable = target.isUnreachable;
    --target.pending;
    target.reached += isReached ? 1 : 0;
    const std::size_t failed = target.servers - target.pending - target.reached;
    if (2 * target.reached >= target.servers) {
        target.pending = 0;
        this->setUnreachable(target, false, now);
        target.interval = wasUnreachable ? minCheckInterval : std::min(2 * target.interval, maxCheckInterval);
    } else if (2 * failed > target.servers) {
        target.pending = 0;
        this->setUnreachable(target, true, now);
    }
    return target.isUnreachable != wasUnreachable;
}

void ServerPaths::setUnreachable(Target &target, bool isUnreachable, TimePoint now)
{
    if (isUnreachable == target.isUnreachable) {
        return;
    }
    target.isUnreachable = isUnreachable;
    if (isUnreachable) {
        target.unreachableSince = now;
        ++this->unreachableCount;
    } else {
        --this->unreachableCount;
    }
}

void ServerPaths::reset(TargetIndex index)
{
    Target &target = this->target(index);
    target.hasLostConnection = false;
    target.hasFailure = false;
    target.isUrgent = false;
    target.pending = 0;
    this->setUnreachable(target, false, TimePoint());
}

bool ServerPaths::isUnreachable(TargetIndex index) const
{
    return index < this->targets.size() && this->targets[index].isUnreachable;
}

bool ServerPaths::isUsed(TargetIndex index) const
{
    return index < this->targets.size() && this->targets[index].isUsed;
}

std::uint64_t ServerPaths::lastCheck(TargetIndex index) const
{
    return index < this->targets.size() ? this->targets[index].round : 0;
}

bool ServerPaths::isLastCheckDecided(TargetIndex index) const
{
    return index >= this->targets.size() || this->targets[index].pending == 0;
}

std::vector<TargetIndex> ServerPaths::unreachableTargets() const
{
    std::vector<TargetIndex> unreachable;
    for (TargetIndex index = 0; index < this->targets.size(); ++index) {
        if (this->targets[index].isUnreachable) {
            unreachable.push_back(index);
        }
    }
    return unreachable;
}

std::optional<TimePoint> ServerPaths::dueAt(const Target &target) const
{
    if (target.pending > 0) {
        return *target.checkedAt + checkTimeout;
    }
    if (target.isUrgent) {
        return TimePoint::min();
    }
    if (target.isUnreachable) {
        return *target.checkedAt + recheckInterval;
    }
    const Duration interval = isContradicted(target) && target.holdTime < maxHoldTime ? minCheckInterval : target.interval;
    const TimePoint earliest = target.checkedAt.has_value() ? *target.checkedAt + interval : TimePoint::min();
    if (target.hasLostConnection) {
        return earliest;
    }
    std::optional<TimePoint> silentSince = target.unansweredSince;
    if (target.hasFailure) {
        silentSince = std::min(silentSince.value_or(TimePoint::max()), target.contactAt.value_or(TimePoint()));
    }
    if (!silentSince.has_value()) {
        return std::nullopt;
    }
    return std::max(*silentSince + silenceLimit, earliest);
}

void ServerPaths::dueChecks(TimePoint now, std::vector<TargetIndex> &due) const
{
    due.clear();
    for (TargetIndex index = 0; index < this->targets.size(); ++index) {
        const std::optional<TimePoint> dueAt = this->dueAt(this->targets[index]);
        if (dueAt.has_value() && *dueAt <= now) {
            due.push_back(index);
        }
    }
}

std::optional<TimePoint> ServerPaths::nextCheck() const
{
    std::optional<TimePoint> next;
    for (const Target &target : this->targets) {
        const std::optional<TimePoint> dueAt = this->dueAt(target);
        if (dueAt.has_value()) {
            next = std::min(next.value_or(*dueAt), *dueAt);
        }
    }
    return next;
}

Duration ServerPaths::unansweredFor(TargetIndex index, TimePoint now) const
{
    if (index >= this->targets.size() || !this->targets[index].unansweredSince.has_value()) {
        return Duration::zero();
    }
    return now - *this->targets[index].unansweredSince;
}

std::size_t ServerPaths::checkedServers(TargetIndex index) const
{
    return index < this->targets.size() ? this->targets[index].servers : 0;
}

Duration ServerPaths::unreachableFor(TargetIndex index, TimePoint now) const
{
    return index < this->targets.size() ? now - this->targets[index].unreachableSince : Duration::zero();
}

} // namespace flamingosaddle
