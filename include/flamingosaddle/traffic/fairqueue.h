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
 * A queued request.
 */
struct QueueEntry {
    RequestIndex request = 0;
    TargetIndex target = 0;
    ClassIndex requestClass = 0;
    AccountIndex account = 0;
    int tier = 0;
    double weight = 1.0; ///< weight of the client account
    double floorShare = 0.0; ///< guaranteed share of the class
    bool cheapAllowed = true;
    TimePoint arrival;
    TimePoint firstTokenDeadline; ///< arrival plus the first-token target
    bool late = false; ///< true if the request can no longer meet its first-token target

    friend bool operator==(const QueueEntry &, const QueueEntry &) = default;
};

/**
 * Free slots of a target by kind of server, and the tiers that may use them.
 */
struct Availability {
    bool ordinary = false;
    bool cheap = false;
    int lowestAllowedTier = std::numeric_limits<int>::max(); ///< tiers below this one start only through their floors

    friend bool operator==(const Availability &, const Availability &) = default;
};

/**
 * Head of a client account's queue, as passed to a QueueOrderPolicy.
 */
struct QueueHead {
    RequestIndex request = 0;
    int tier = 0;
    double counter = 0.0; ///< virtual tokens served to the client account
    TimePoint arrival;
};

/** Returns whether @p left is served before @p right. */
using QueueOrderPolicy = std::function<bool(const QueueHead &left, const QueueHead &right)>;

/**
 * Queue of waiting requests. For each target, classes whose floor is due (see FloorCredits) are served first, then tiers in
 * strict order. Within a tier, the client account with the lowest virtual token counter (see FairShares) is next. Within an
 * account, requests that can still meet their first-token target precede late ones, and older requests precede newer ones. A late
 * request is still served before any lower tier.
 *
 * Requests are dense indices assigned by the owner. Nothing is allocated once every combination of target, class and client
 * account has been seen and the largest index has been used.
 */
class FairQueue
{
public:
    /** @param order replaces the order by floors, tiers and counters if set */
    explicit FairQueue(QueueOrderPolicy order = {});

    // Commands.

    /** Adds a request that is not in the queue. Returns the share to which its tokens are charged. */
    ShareIndex add(const QueueEntry &entry);

    void remove(RequestIndex request);

    /**
     * Returns the request of @p target to serve next on one of the @p available servers, without removing it. Requests found to
     * be late are moved behind the others of their tier.
     */
    std::optional<RequestIndex> next(TargetIndex target, Availability available, TimePoint now);

    /** Records that the request returned by next() starts. The caller must still remove it. */
    void recordStart(RequestIndex request);

    /** Returns the fair-share counters, for charging. */
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

    /** Returns the highest tier that has requests waiting at @p target. */
    std::optional<int> highestWaitingTier(TargetIndex target) const;

    /** Returns the number of requests waiting at @p target in tiers higher than @p tier. */
    std::uint32_t waitingAbove(TargetIndex target, int tier) const;

    /** Returns the number of requests of @p requestClass waiting at @p target. */
    std::uint32_t waitingOfClass(TargetIndex target, ClassIndex requestClass) const;

    /** Returns any request waiting at @p target whose class allows cheap servers, or does not, according to @p cheapAllowed. */
    std::optional<RequestIndex> anyWaiting(TargetIndex target, bool cheapAllowed) const;

    /** Returns FloorCredits::period() of the class. */
    std::uint64_t floorPeriod(TargetIndex target, ClassIndex requestClass) const;

    /**
     * Returns the request to evict in favour of one of @p tier: the newest request of the most served client account in the
     * lowest tier below @p tier. Considers only @p target, or all targets if it is empty.
     */
    std::optional<RequestIndex> victimBelow(int tier, std::optional<TargetIndex> target) const;

    /**
     * Returns the newest request of the client account with the longest queue in @p lane relative to its weight, if that queue is
     * longer than the one of @p share would be with one more request.
     */
    std::optional<RequestIndex> victimOfLongestQueue(LaneIndex lane, ShareIndex share) const;

private:
    using GroupIndex = std::uint32_t;
    using FlowIndex = std::uint32_t;

    struct ActiveFlow {
        FlowIndex flow = 0;
        ShareIndex share = 0;
    };

    // Requests of one class at one target that are either all on time or all late.
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

    // Requests of one client account in one group, oldest first.
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
        std::vector<GroupIndex> groups; // sorted in order of service
        std::uint32_t waiting = 0;
        FloorCredits floors;
    };

    GroupIndex findOrAddGroup(const QueueEntry &entry);
    FlowIndex findOrAddFlow(GroupIndex group, const QueueEntry &entry);
    static void reserveActive(Group &group);
    void link(FlowIndex flow, RequestIndex request);
    void unlink(RequestIndex request);
    bool canStart(const Group &group, Availability available) const;
    bool isEarlier(FlowIndex left, FlowIndex right) const;
    void updateBest(const Group &group, std::optional<ActiveFlow> &best) const;
    std::optional<ActiveFlow> dueFlow(const Target &target, Availability available) const;
    std::optional<ActiveFlow> nextFlow(const Target &target, Availability available) const;
    std::optional<ActiveFlow> flowByPolicy(const Target &target, Availability available) const;
    void markLate(RequestIndex request);

    QueueOrderPolicy customOrder;
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
