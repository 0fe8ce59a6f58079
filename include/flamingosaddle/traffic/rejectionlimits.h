#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/traffic/fairqueue.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace flamingosaddle
{

/**
 * What an instance may do at a server that fails after too many rejections.
 */
struct RejectionShare {
    std::uint32_t starts = 0; ///< requests that may be sent in confirmationTime; 0 leaves the server to other instances
    Duration pause{0}; ///< without requests after a rejection
    std::optional<std::uint32_t> maxInFlight; ///< requests of this instance at the server, if its slots are divided

    friend bool operator==(const RejectionShare &, const RejectionShare &) = default;
};

/**
 * Place of a backend server among those of its target.
 */
struct ServerPlace {
    std::size_t position = 0; ///< in the order of the servers' ids
    std::size_t count = 0; ///< servers of the target
    std::uint32_t slots = 0; ///< of the server

    friend bool operator==(const ServerPlace &, const ServerPlace &) = default;
};

/**
 * The limits of backend servers on their own rejections: how many requests a server can turn away in a second, for all instances
 * together, before it fails.
 *
 * An instance only knows of a rejection when it has happened, and not at all of those of others. So each instance gets a share of
 * the limit in advance: it sends so many requests to the server within the time in which a rejection arrives, and after a
 * rejection none for longer than a second. All of these may be rejected without exceeding the limit. If there are more instances
 * than the limit has rejections, each server is used by a few of them, assigned in turn. If the servers are too few for that,
 * their slots are divided among the instances, so that none is rejected as long as a server runs what its slots allow. An
 * instance without a slot leaves its requests to those that have one.
 *
 * A server whose statement is not known, as after its restart or while other instances use it, is treated like the others of its
 * target. A statement holds until a response says otherwise, since servers that get no requests state nothing. One that was not
 * repeated for statementValidity is unconfirmed: a response of any server of the target without a limit ends it, and an instance
 * that leaves all servers to others tries one of them.
 */
class RejectionLimits
{
public:
    /** What instances tell each other of a target, since an instance with few requests sees few responses. */
    struct PeerReport {
        std::uint32_t rejectionsPerSecond = 0;
        TimePoint statedAt;

        friend bool operator==(const PeerReport &, const PeerReport &) = default;
    };

    static constexpr Duration window = std::chrono::seconds(1); ///< in which a server counts its rejections
    /** Time in which a rejection arrives. A request that was not rejected by then runs or waits at the server. */
    static constexpr Duration confirmationTime = std::chrono::milliseconds(50);
    static constexpr double pauseMargin = 1.2; ///< ratio of the pause to the window, for requests that travel at different speeds
    /** Time after which a statement that was not repeated is unconfirmed, and is not told to other instances. */
    static constexpr Duration statementValidity = std::chrono::seconds(10);
    static constexpr std::uint32_t assumedInstances = 8; ///< until setInstances() is called

    // Commands.

    /** Applies what a server states in a response. Returns whether a known limit changed, ended or was confirmed. */
    bool applyResponse(TargetIndex target, const ServerRejectionLimit &stated);

    /** Applies what servers of the target stated to a peer. Returns whether the target had no limit before. */
    bool applyPeerReport(TargetIndex target, std::uint32_t rejectionsPerSecond, TimePoint statedAt);

    /** Sets the instances that share the limits. */
    void setInstances(const InstanceId &self, const std::vector<InstanceId> &peers);

    // Queries.

    bool isEmpty() const
    {
        return this->entries.empty() && this->peerReports.empty();
    }

    /** Returns whether any server of the target has a limit. */
    bool hasLimit(TargetIndex target) const;

    /**
     * Returns the position of the server that this instance tries, of @p count servers of the target that it leaves to others;
     * nothing while a statement is confirmed.
     */
    std::optional<std::size_t> serverToTry(TargetIndex target, std::size_t count, TimePoint now) const;

    /** Returns the lowest limit that servers of the target stated in responses to this instance, if any. */
    std::optional<PeerReport> ownReport(TargetIndex target, TimePoint now) const;

    /**
     * Returns this instance's share of the server's limit, or nothing if it has none.
     */
    std::optional<RejectionShare> share(TargetIndex target, const BackendServerId &server, const ServerPlace &place) const;

private:
    /** Returns how much of @p amount of a server this instance has, if it is assigned in turn over servers and instances. */
    std::uint32_t ownPart(std::size_t amount, std::size_t position) const;
    std::optional<std::uint32_t> limitOf(TargetIndex target, const BackendServerId &server) const;
    /** Returns whether a server of the target stated a limit within statementValidity, here or to a peer. */
    bool isConfirmed(TargetIndex target, TimePoint now) const;
    /** Removes the target's unconfirmed statements. Returns whether there were any. */
    bool removeUnconfirmed(TargetIndex target, TimePoint now);

    std::map<TargetIndex, std::map<BackendServerId, ServerRejectionLimit>> entries; // read in responses
    std::map<TargetIndex, PeerReport> peerReports;
    std::size_t ownPosition = 0; // among the instances in the order of their ids
    std::size_t instances = assumedInstances;
};

} // namespace flamingosaddle
