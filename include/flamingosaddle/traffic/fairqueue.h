#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/traffic/fairshares.h>
#include <flamingosaddle/traffic/floors.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

namespace flamingosaddle
{

using RequestIndex = std::uint32_t;

/**
 * A request as the queue sees it.
 */
struct QueueEntry {
    RequestIndex request = 0;
    TargetIndex target = 0;
    ClassIndex requestClass = 0;
    AccountIndex account = 0;
    int tier = 0;
    double weight = 1.0; ///< of the client account
    double floorShare = 0.0; ///< of the class
    bool cheapAllowed = true;
    TimePoint arrival;
    TimePoint lateAt; ///< from then on its first-token target cannot be met
    bool late = false; ///< admitted though its target cannot be met

    friend bool operator==(const QueueEntry &, const QueueEntry &) = default;
};

/**
 * Which kinds of backend servers of a target have a free slot, and for whom.
 */
struct Availability {
    bool reliable = false;
    bool cheap = false;
    int lowestTier = std::numeric_limits<int>::max(); ///< lower ones start only by their floors

    friend bool operator==(const Availability &, const Availability &) = default;
};

/**
 * The head of a client account's queue, for policies that order by other rules.
 */
struct QueueHead {
    RequestIndex request = 0;
    int tier = 0;
    double counter = 0.0; ///< virtual tokens served to the client account
    TimePoint arrival;
};

/** Whether @p left is served before @p right. */
using ServeBefore = std::function<bool(const QueueHead &left, const QueueHead &right)>;

/**
 * Waiting requests. Per target: the due floors (see FloorCredits), then strict tiers; inside a tier the client account
 * with the lowest virtual token counter (see FairShares); of an account the requests that can still meet their
 * first-token target, then late ones; among those the oldest. A late request is still served before any lower tier.
 *
 * Requests are dense indices that the owner gives out. Nothing is allocated once every combination of target, class and
 * client account has been seen and the largest index is known.
 */
class FairQueue
{
public:
    /** @param before replaces the order of tiers, floors and counters when it is set */
    explicit FairQueue(ServeBefore before = {});

    // Commands.

    /** Adds a request that is not in the queue; answers the share that its tokens are charged to. */
    ShareIndex add(const QueueEntry &entry);

    void remove(RequestIndex request);

    /**
     * The request of @p target that is served next on one of the @p available servers. It stays in the queue; what is
     * found late on the way is put behind the others of its tier.
     */
    std::optional<RequestIndex> next(TargetIndex target, Availability available, TimePoint now);

    /** The request that next() answered starts; it is still to be removed. */
    void noteStart(RequestIndex request);

    /** The counters, to charge to. */
    FairShares &shares()
    {
        return this->fairShares;
    }

    // Queries.

    const FairShares &shares() const
    {
        return this->fairShares;
    }

    std::size_t size() const
    {
        return this->count;
    }

    std::uint32_t waiting(TargetIndex target) const;

    /** The highest tier that waits at @p target; nothing when none does. */
    std::optional<int> mostUrgent(TargetIndex target) const;

    /** Waiting requests of higher tiers than @p tier at @p target. */
    std::uint32_t waitingAbove(TargetIndex target, int tier) const;

    /** Waiting requests of @p requestClass at @p target. */
    std::uint32_t waitingOfClass(TargetIndex target, ClassIndex requestClass) const;

    /** Some request that waits at @p target, of a class that allows cheap servers or of one that does not. */
    std::optional<RequestIndex> anyWaiting(TargetIndex target, bool cheapAllowed) const;

    /** See FloorCredits::period(). */
    std::uint64_t floorPeriod(TargetIndex target, ClassIndex requestClass) const;

    /**
     * The request that gives its place to one of @p tier: of the lowest tier below @p tier, of the client account served
     * most there, its youngest. Looks at @p target only, or at all targets without one.
     */
    std::optional<RequestIndex> victimBelow(int tier, std::optional<TargetIndex> target) const;

    /**
     * The youngest request of the client account with the longest queue in @p lane, when that queue is longer for its
     * weight than that of @p share would be.
     */
    std::optional<RequestIndex> victimOfLongest(LaneIndex lane, ShareIndex share) const;

private:
    using GroupIndex = std::uint32_t;
    using FlowIndex = std::uint32_t;

    struct ActiveFlow {
        FlowIndex flow = 0;
        ShareIndex share = 0;
    };

    // The requests of one class at one target, all on time or all late.
    struct Group {
        TargetIndex target = 0;
        ClassIndex requestClass = 0;
        int tier = 0;
        bool late = false;
        bool cheapAllowed = true;
        std::uint32_t waiting = 0;
        std::uint32_t flowCount = 0;
        std::vector<ActiveFlow> active; // flows with waiting requests
    };

    // The requests of one client account in one group, oldest first.
    struct Flow {
        GroupIndex group = 0;
        ShareIndex share = 0;
        RequestIndex head = 0;
        RequestIndex tail = 0;
        std::uint32_t waiting = 0;
        std::uint32_t activePosition = 0;
    };

    struct Node {
        QueueEntry entry;
        FlowIndex flow = 0;
        RequestIndex previous = 0;
        RequestIndex next = 0;
    };

    struct Target {
        std::vector<GroupIndex> groups; // in order of service
        std::uint32_t waiting = 0;
        FloorCredits floors;
    };

    GroupIndex groupOf(const QueueEntry &entry);
    FlowIndex flowOf(GroupIndex group, const QueueEntry &entry);
    static void makeRoom(Group &group);
    void link(FlowIndex flow, RequestIndex request);
    void unlink(RequestIndex request);
    bool canStart(const Group &group, Availability available) const;
    bool isEarlier(FlowIndex left, FlowIndex right) const;
    void improve(const Group &group, std::optional<ActiveFlow> &best) const;
    std::optional<ActiveFlow> dueFlow(const Target &target, Availability available) const;
    std::optional<ActiveFlow> nextFlow(const Target &target, Availability available) const;
    std::optional<ActiveFlow> flowByPolicy(const Target &target, Availability available) const;
    void makeLate(RequestIndex request);

    ServeBefore before;
    FairShares fairShares;
    std::vector<Target> targets;
    std::vector<Group> groups;
    std::vector<Flow> flows;
    std::vector<Node> nodes;
    std::unordered_map<std::uint64_t, GroupIndex> groupIndices;
    std::unordered_map<std::uint64_t, FlowIndex> flowIndices;
    std::size_t count = 0;
};

} // namespace flamingosaddle
