#include <flamingosaddle/traffic/fairqueue.h>

#include <algorithm>
#include <limits>
#include <tuple>

namespace flamingosaddle
{

namespace
{

constexpr RequestIndex noRequest = std::numeric_limits<RequestIndex>::max();

std::uint64_t groupKey(const QueueEntry &entry)
{
    // 31 bits are sufficient for the class index.
    return (static_cast<std::uint64_t>(entry.target) << 32) | (entry.requestClass << 1) | (entry.late ? 1U : 0U);
}

} // namespace

FairQueue::FairQueue(QueueOrderPolicy order)
    : customOrder(std::move(order))
{
}

ShareIndex FairQueue::add(const QueueEntry &entry)
{
    if (entry.request >= this->nodes.size()) {
        this->nodes.resize(entry.request + 1);
    }
    const FlowIndex flow = this->findOrAddFlow(this->findOrAddGroup(entry), entry);
    this->nodes[entry.request].entry = entry;
    this->link(flow, entry.request);
    const ShareIndex share = this->flows[flow].share;
    this->fairShares.addWaiting(share);
    ++this->targets[entry.target].waiting;
    ++this->count;
    return share;
}

void FairQueue::remove(RequestIndex request)
{
    const ShareIndex share = this->flows[this->nodes[request].flow].share;
    this->unlink(request);
    this->fairShares.removeWaiting(share);
    --this->targets[this->nodes[request].entry.target].waiting;
    --this->count;
}

std::optional<RequestIndex> FairQueue::next(TargetIndex index, Availability available, TimePoint now)
{
    if (index >= this->targets.size()) {
        return std::nullopt;
    }
    const Target &target = this->targets[index];
    while (target.waiting > 0) {
        std::optional<ActiveFlow> flow;
        if (this->customOrder) {
            flow = this->flowByPolicy(target, available);
        } else {
            flow = this->dueFlow(target, available);
            flow = flow.has_value() ? flow : this->nextFlow(target, available);
        }
        if (!flow.has_value()) {
            return std::nullopt;
        }
        const RequestIndex request = this->flows[flow->flow].head;
        const QueueEntry &entry = this->nodes[request].entry;
        if (!this->customOrder && !entry.late && entry.firstTokenDeadline <= now) {
            this->markLate(request);
            continue;
        }
        return request;
    }
    return std::nullopt;
}

void FairQueue::recordStart(RequestIndex request)
{
    const Node &node = this->nodes[request];
    this->fairShares.recordPick(this->flows[node.flow].share);
    this->targets[node.entry.target].floors.recordStart(node.entry.requestClass);
}

std::uint32_t FairQueue::waiting(TargetIndex target) const
{
    return target < this->targets.size() ? this->targets[target].waiting : 0;
}

std::uint32_t FairQueue::waitingAbove(TargetIndex target, int tier) const
{
    std::uint32_t sum = 0;
    if (target < this->targets.size()) {
        for (const GroupIndex group : this->targets[target].groups) {
            sum += this->groups[group].tier < tier ? this->groups[group].waiting : 0;
        }
    }
    return sum;
}

std::optional<int> FairQueue::highestWaitingTier(TargetIndex target) const
{
    if (target < this->targets.size()) {
        for (const GroupIndex group : this->targets[target].groups) {
            if (this->groups[group].waiting > 0) {
                return this->groups[group].tier; // groups are sorted by tier
            }
        }
    }
    return std::nullopt;
}

std::uint32_t FairQueue::waitingOfClass(TargetIndex target, ClassIndex requestClass) const
{
    std::uint32_t sum = 0;
    if (target < this->targets.size()) {
        for (const GroupIndex group : this->targets[target].groups) {
            sum += this->groups[group].requestClass == requestClass ? this->groups[group].waiting : 0;
        }
    }
    return sum;
}

std::optional<RequestIndex> FairQueue::anyWaiting(TargetIndex target, bool cheapAllowed) const
{
    if (target < this->targets.size()) {
        for (const GroupIndex index : this->targets[target].groups) {
            const Group &group = this->groups[index];
            if (group.cheapAllowed == cheapAllowed && group.waiting > 0) {
                return this->flows[group.active.front().flow].head;
            }
        }
    }
    return std::nullopt;
}

std::uint64_t FairQueue::floorPeriod(TargetIndex target, ClassIndex requestClass) const
{
    return target < this->targets.size() ? this->targets[target].floors.period(requestClass) : 0;
}

std::optional<RequestIndex> FairQueue::victimBelow(int tier, std::optional<TargetIndex> target) const
{
    std::optional<FlowIndex> victim;
    const auto rank = [this](FlowIndex flow) {
        const Group &group = this->groups[this->flows[flow].group];
        return std::tuple(group.tier, group.late, this->fairShares.counter(this->flows[flow].share));
    };
    for (const Group &group : this->groups) {
        if (group.tier <= tier || (target.has_value() && group.target != *target)) {
            continue;
        }
        for (const ActiveFlow &active : group.active) {
            if (!victim.has_value() || rank(active.flow) > rank(*victim)) {
                victim = active.flow;
            }
        }
    }
    return victim.has_value() ? std::optional(this->flows[*victim].tail) : std::nullopt;
}

std::optional<RequestIndex> FairQueue::victimOfLongestQueue(LaneIndex lane, ShareIndex share) const
{
    const auto length = [this](ShareIndex other) {
        return this->fairShares.waiting(other) / this->fairShares.weight(other);
    };
    double longest = (this->fairShares.waiting(share) + 1) / this->fairShares.weight(share);
    std::optional<FlowIndex> victim;
    for (const Group &group : this->groups) {
        if (group.target != this->fairShares.laneTarget(lane) || group.tier != this->fairShares.laneTier(lane)) {
            continue;
        }
        for (const ActiveFlow &active : group.active) {
            if (active.share != share && length(active.share) > longest) {
                longest = length(active.share);
                victim = active.flow;
            }
        }
    }
    return victim.has_value() ? std::optional(this->flows[*victim].tail) : std::nullopt;
}

FairQueue::GroupIndex FairQueue::findOrAddGroup(const QueueEntry &entry)
{
    const auto found = this->groupIndices.find(groupKey(entry));
    if (found != this->groupIndices.end()) {
        return found->second;
    }
    const auto index = static_cast<GroupIndex>(this->groups.size());
    this->groups.push_back(Group{entry.target, entry.requestClass, entry.tier, entry.late, entry.cheapAllowed, 0, 0, {}});
    this->groupIndices.emplace(groupKey(entry), index);
    if (entry.target >= this->targets.size()) {
        this->targets.resize(entry.target + 1);
    }
    Target &target = this->targets[entry.target];
    target.floors.addClass(entry.requestClass, entry.floorShare);
    target.groups.push_back(index);
    std::sort(target.groups.begin(), target.groups.end(), [this](GroupIndex left, GroupIndex right) {
        const Group &first = this->groups[left];
        const Group &second = this->groups[right];
        return std::tuple(first.tier, first.late, left) < std::tuple(second.tier, second.late, right);
    });
    return index;
}

FairQueue::FlowIndex FairQueue::findOrAddFlow(GroupIndex group, const QueueEntry &entry)
{
    const std::uint64_t key = (static_cast<std::uint64_t>(group) << 32) | entry.account;
    const auto found = this->flowIndices.find(key);
    if (found != this->flowIndices.end()) {
        this->fairShares.setWeight(this->flows[found->second].share, entry.weight);
        return found->second;
    }
    const LaneIndex lane = this->fairShares.lane(entry.target, entry.tier);
    const ShareIndex share = this->fairShares.share(lane, entry.account, entry.weight);
    const auto index = static_cast<FlowIndex>(this->flows.size());
    this->flows.push_back(Flow{group, share, noRequest, noRequest, 0, 0});
    this->flowIndices.emplace(key, index);
    this->reserveActive(this->groups[group]);
    return index;
}

void FairQueue::reserveActive(Group &group)
{
    ++group.flowCount;
    if (group.active.capacity() < group.flowCount) {
        group.active.reserve(2 * static_cast<std::size_t>(group.flowCount));
    }
}

void FairQueue::link(FlowIndex index, RequestIndex request)
{
    Flow &flow = this->flows[index];
    Group &group = this->groups[flow.group];
    Node &node = this->nodes[request];
    node.flow = index;
    node.previous = flow.waiting == 0 ? noRequest : flow.tail;
    node.next = noRequest;
    if (flow.waiting == 0) {
        flow.head = request;
        flow.activePosition = static_cast<std::uint32_t>(group.active.size());
        group.active.push_back(ActiveFlow{index, flow.share});
    } else {
        this->nodes[flow.tail].next = request;
    }
    flow.tail = request;
    ++flow.waiting;
    ++group.waiting;
    if (!group.late) {
        this->fairShares.addOnTime(flow.share);
    }
}

void FairQueue::unlink(RequestIndex request)
{
    const Node &node = this->nodes[request];
    Flow &flow = this->flows[node.flow];
    Group &group = this->groups[flow.group];
    (node.previous == noRequest ? flow.head : this->nodes[node.previous].next) = node.next;
    (node.next == noRequest ? flow.tail : this->nodes[node.next].previous) = node.previous;
    --flow.waiting;
    --group.waiting;
    if (!group.late) {
        this->fairShares.removeOnTime(flow.share);
    }
    if (flow.waiting == 0) {
        const ActiveFlow moved = group.active.back();
        group.active[flow.activePosition] = moved;
        this->flows[moved.flow].activePosition = flow.activePosition;
        group.active.pop_back();
    }
}

bool FairQueue::canStart(const Group &group, Availability available) const
{
    return group.waiting > 0 && (available.ordinary || (available.cheap && group.cheapAllowed));
}

bool FairQueue::isEarlier(FlowIndex left, FlowIndex right) const
{
    const QueueEntry &first = this->nodes[this->flows[left].head].entry;
    const QueueEntry &second = this->nodes[this->flows[right].head].entry;
    return std::tuple(first.late, first.arrival) < std::tuple(second.late, second.arrival);
}

void FairQueue::updateBest(const Group &group, std::optional<ActiveFlow> &best) const
{
    double least = best.has_value() ? this->fairShares.counter(best->share) : std::numeric_limits<double>::infinity();
    for (const ActiveFlow &active : group.active) {
        const double counter = this->fairShares.counter(active.share);
        if (counter < least || (counter == least && best.has_value() && this->isEarlier(active.flow, best->flow))) {
            best = active;
            least = counter;
        }
    }
}

std::optional<FairQueue::ActiveFlow> FairQueue::dueFlow(const Target &target, Availability available) const
{
    const auto startable = [&](GroupIndex index, ClassIndex requestClass) {
        return this->groups[index].requestClass == requestClass && this->canStart(this->groups[index], available);
    };
    const ClassIndex dueClass = target.floors.due([&](ClassIndex requestClass) {
        return std::any_of(target.groups.begin(), target.groups.end(), [&](GroupIndex index) {
            return startable(index, requestClass);
        });
    });
    std::optional<ActiveFlow> best;
    for (const GroupIndex index : target.groups) {
        if (dueClass != FloorCredits::noClass && startable(index, dueClass)) {
            this->updateBest(this->groups[index], best);
        }
    }
    return best;
}

std::optional<FairQueue::ActiveFlow> FairQueue::nextFlow(const Target &target, Availability available) const
{
    std::optional<ActiveFlow> best;
    const Group *firstStartable = nullptr;
    for (const GroupIndex index : target.groups) {
        const Group &group = this->groups[index];
        if (firstStartable != nullptr && group.tier != firstStartable->tier) {
            break;
        }
        if (group.tier > available.lowestAllowedTier) {
            break;
        }
        if (this->canStart(group, available)) {
            firstStartable = &group;
            this->updateBest(group, best);
        }
    }
    return best;
}

std::optional<FairQueue::ActiveFlow> FairQueue::flowByPolicy(const Target &target, Availability available) const
{
    std::optional<ActiveFlow> best;
    const auto head = [this](FlowIndex index) {
        const Flow &flow = this->flows[index];
        const QueueEntry &entry = this->nodes[flow.head].entry;
        return QueueHead{flow.head, entry.tier, this->fairShares.counter(flow.share), entry.arrival};
    };
    for (const GroupIndex index : target.groups) {
        const Group &group = this->groups[index];
        if (!this->canStart(group, available)) {
            continue;
        }
        for (const ActiveFlow &active : group.active) {
            if (!best.has_value() || this->customOrder(head(active.flow), head(best->flow))) {
                best = active;
            }
        }
    }
    return best;
}

void FairQueue::markLate(RequestIndex request)
{
    QueueEntry entry = this->nodes[request].entry;
    entry.late = true;
    const FlowIndex flow = this->findOrAddFlow(this->findOrAddGroup(entry), entry);
    this->unlink(request);
    this->nodes[request].entry = entry;
    this->link(flow, request);
}

} // namespace flamingosaddle
