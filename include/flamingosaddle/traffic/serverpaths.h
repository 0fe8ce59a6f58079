#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/state/targetname.h>
#include <flamingosaddle/traffic/fairqueue.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace flamingosaddle
{

/**
 * A connection to be opened to a backend server, to find out whether this instance reaches the servers of a target.
 */
struct PathCheck {
    TargetIndex target = 0;
    std::uint64_t round = 0; ///< number of the check that the connection belongs to
    BackendServerId server;
    Duration holdTime{0}; ///< for which a new connection has to stay open

    friend bool operator==(const PathCheck &, const PathCheck &) = default;
};

/**
 * Why an instance does not use the servers of a target.
 */
enum class PathLoss {
    Unreachable, ///< it has no path to them
    NoSlot, ///< they limit their rejections, and other instances have all of their slots
};

/**
 * This instance has lost the path to the servers of a target, or has found it again.
 */
struct PathChange {
    TargetName target;
    PathLoss loss = PathLoss::Unreachable;
    bool isReachable = false;
    std::size_t checkedServers = 0; ///< servers of the check that decided it
    Duration unansweredFor{0}; ///< since when requests to the target's servers were unanswered; 0 if none was
    Duration unreachableFor{0}; ///< of a path that was found again

    friend bool operator==(const PathChange &, const PathChange &) = default;
};

/**
 * Tells whether this instance can open connections to the backend servers of each target.
 *
 * A lost connection, or requests that fail or remain unanswered for a while, may be the fault of a server or of the path. They
 * only lead to a check, in which connections to several servers are opened. A target is unreachable if most of these fail, and is
 * checked again at short intervals until most succeed: an instance that reaches only a few servers would overload them.
 *
 * A device on the path may accept connections and reset them later, so each connection has to stay open for a while. That time
 * grows while connections are lost, although the last check succeeded, and nothing is received from any server of the target.
 */
class ServerPaths
{
public:
    /** Time without anything from any server of a target, while requests run there, that leads to a check. */
    static constexpr Duration silenceLimit = std::chrono::milliseconds(500);
    static constexpr std::size_t serversPerCheck = 3;
    static constexpr Duration recheckInterval = std::chrono::milliseconds(300); ///< while a target is unreachable
    /** Time between checks of a target that is reachable; doubles with each check that finds it so. */
    static constexpr Duration minCheckInterval = std::chrono::milliseconds(500);
    static constexpr Duration maxCheckInterval = std::chrono::seconds(4);
    static constexpr Duration quietTime
        = std::chrono::seconds(10); ///< without a suspicion, after which the interval is short again
    static constexpr Duration checkTimeout = std::chrono::seconds(2); ///< after which a check without all results is repeated
    static constexpr Duration minHoldTime = std::chrono::milliseconds(50); ///< for which a connection of a check stays open
    static constexpr Duration maxHoldTime = std::chrono::milliseconds(800); ///< leaves time to connect within checkTimeout
    static constexpr int holdTimeFactor = 4; ///< growth after a check that the requests contradict

    // Commands.

    /** Records that a request was started on a server of the target. */
    void recordStart(TargetIndex target, TimePoint now);
    /** Records that a request that was started has ended. */
    void recordEnd(TargetIndex target);
    /** Records that something was received from a server of the target. */
    void recordContact(TargetIndex target, TimePoint now);
    /**
     * Records that a connection to a server of the target failed or was lost.
     * @param isUrgent whether a check has to start as soon as an earlier one has ended
     */
    void recordLostConnection(TargetIndex target, bool isUrgent);
    /**
     * Records that a request failed on a server of the target that accepts connections. Leads to a check unless something was or
     * is received from any server of the target within silenceLimit.
     */
    void recordFailure(TargetIndex target);

    /** Starts a check of the target with connections to @p servers of its servers. Returns what they have in common. */
    PathCheck startCheck(TargetIndex target, std::size_t servers, TimePoint now);
    /** Records the result of one connection of a check. Returns true if the target became reachable or unreachable by it. */
    bool recordCheck(const PathCheck &check, bool isReached, TimePoint now);
    /** Treats a target without usable servers as reachable: it has no path to lose. */
    void reset(TargetIndex target);

    // Queries.

    bool isUnreachable(TargetIndex target) const;
    /** Returns whether requests were ever sent to the target's servers. */
    bool isUsed(TargetIndex target) const;
    /** Returns the number of the last check that was started. */
    std::uint64_t lastCheck(TargetIndex target) const;
    /** Returns whether the last check that was started has ended. */
    bool isLastCheckDecided(TargetIndex target) const;
    bool isAnyUnreachable() const
    {
        return this->unreachableCount > 0;
    }
    std::vector<TargetIndex> unreachableTargets() const;
    /** Returns the targets that have to be checked now. */
    void dueChecks(TimePoint now, std::vector<TargetIndex> &due) const;
    std::optional<TimePoint> nextCheck() const;
    /** Returns the time for which requests to the target have been unanswered. */
    Duration unansweredFor(TargetIndex target, TimePoint now) const;
    std::size_t checkedServers(TargetIndex target) const; ///< of the last check
    Duration unreachableFor(TargetIndex target, TimePoint now) const; ///< since the target last became unreachable

private:
    struct Target {
        bool isUsed = false;
        std::uint32_t running = 0;
        std::optional<TimePoint> unansweredSince;
        bool hasLostConnection = false; // since the last check
        bool hasFailure = false; // since the last check and the last contact
        std::optional<TimePoint> contactAt; // the last one
        bool isUrgent = false; // whether the next check does not wait for the interval
        bool hasContact = false; // since the start of the last check
        Duration holdTime = minHoldTime; // of the next check
        bool isUnreachable = false;
        TimePoint unreachableSince;
        std::uint64_t round = 0;
        std::size_t servers = 0; // connections of the last check
        std::size_t pending = 0; // of which the result is not known; 0 once the check is decided
        std::size_t reached = 0; // of which succeeded
        std::optional<TimePoint> checkedAt; // start of the last check
        Duration interval = minCheckInterval;
    };

    Target &target(TargetIndex index);
    /** Returns when the target has to be checked; nothing if there is no reason. */
    std::optional<TimePoint> dueAt(const Target &target) const;
    /** Returns whether connections were lost or requests failed, and nothing was received, since the start of a check that found
     * the target reachable. */
    static bool isContradicted(const Target &target);
    void setUnreachable(Target &target, bool isUnreachable, TimePoint now);

    std::vector<Target> targets; // by index
    std::size_t unreachableCount = 0;
};

} // namespace flamingosaddle
