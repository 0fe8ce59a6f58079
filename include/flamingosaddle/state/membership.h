#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/state/incarnation.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/**
 * The set of instances as one of them sees it from heartbeats and from the platform's list, which lags behind.
 *
 * The list only names instances to contact; it neither adds nor removes members. The views of two instances may differ, so
 * nothing that requires agreement is decided by them.
 */
namespace flamingosaddle
{

enum class MemberState {
    Joining, ///< started, but does not accept requests yet
    Serving,
    Draining, ///< accepts no new requests
    Gone, ///< announced its shutdown, stopped sending heartbeats or was replaced
};

const char *toString(MemberState state);

/**
 * The state that an instance sends to its peers at short intervals.
 */
struct Heartbeat {
    Incarnation from;
    std::uint64_t sequence = 0; ///< number of the heartbeat among those of the incarnation
    MemberState state = MemberState::Joining; ///< Gone announces a shutdown and is final
    Endpoint address; ///< address at which peers reach the instance
    DataCentre dataCentre;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

struct Member {
    Heartbeat lastHeartbeat;
    MemberState state = MemberState::Joining;
    bool isTerminated = false; ///< whether the incarnation announced its shutdown; later heartbeats of it are ignored
    TimePoint updatedAt; ///< time of the last heartbeat, or of the change to Gone
    TimePoint lastHeartbeatAt;
    std::optional<TimePoint> predecessorHeartbeatAt{}; ///< last heartbeat of the incarnation before

    friend bool operator==(const Member &, const Member &) = default;
};

/**
 * An entry of the platform's list of instances.
 */
struct Seed {
    InstanceId instance;
    Endpoint address;
    bool leaving = false;

    friend bool operator==(const Seed &, const Seed &) = default;
};

enum class HeartbeatResult {
    Accepted,
    Stale, ///< has an old sequence or incarnation, or belongs to an incarnation that announced its shutdown
    Own, ///< carries the name of this instance
};

struct MembershipTiming {
    Duration heartbeatTimeout = std::chrono::seconds(3); ///< time without a heartbeat after which a member counts as gone
    Duration goneRetention = std::chrono::minutes(10); ///< how long gone members are kept; longer than any heartbeat is delayed
    Duration unverifiedTimeout = std::chrono::seconds(30); ///< how long an unverified member is contacted
    /** How long a member that stopped sending heartbeats may still be running, out of contact with this instance only. */
    Duration outOfContactTime = std::chrono::seconds(30);
    Duration silenceTime = std::chrono::milliseconds(1500); ///< time without a heartbeat after which a member may have stopped

    friend bool operator==(const MembershipTiming &, const MembershipTiming &) = default;
};

/**
 * The members known to one instance.
 */
class Membership
{
public:
    /** @p self is the initial heartbeat of this instance. */
    Membership(Heartbeat self, MembershipTiming timing);

    // Commands.

    /** Sets the state that this instance announces. */
    void setOwnState(MemberState state);

    /** Returns the next heartbeat to send. */
    Heartbeat nextHeartbeat();

    /**
     * Applies a received heartbeat. The first heartbeat of an incarnation permanently replaces an older incarnation of the
     * same instance. It also marks any other member with the same address as gone, but only until that member's next
     * heartbeat: a delayed heartbeat of an old member must not permanently remove the current owner of the address.
     */
    HeartbeatResult apply(const Heartbeat &heartbeat, TimePoint now);

    /** Replaces the platform's list. */
    void setSeeds(std::vector<Seed> seeds);

    /** Records that a peer knows an instance at @p address. Like the list, this only names an address to contact. */
    void recordUnverifiedMember(const InstanceId &instance, const Endpoint &address, TimePoint now);

    /**
     * Marks members without recent heartbeats as gone and removes those that have been gone for long. After a pause of the
     * process, apply the heartbeats that have arrived before calling this.
     */
    void expire(TimePoint now);

    // Queries.

    const Heartbeat &self() const;

    /** Returns the newest known incarnation of an instance; nullptr for this instance and unknown ones. */
    const Member *find(const InstanceId &instance) const;

    /** Returns whether an instance is a known member and not gone. */
    bool isLive(const InstanceId &instance) const;

    /** Returns all known members except this instance. */
    const std::map<InstanceId, Member> &members() const;

    /** Returns the members that accept requests and that the platform does not list as leaving. */
    std::vector<Heartbeat> serving() const;

    /**
     * Returns the members that share limits common to all instances: those that may be sending requests to backend servers. A
     * member that stopped sending heartbeats while it was not draining keeps its share for outOfContactTime.
     */
    std::vector<InstanceId> sharingInstances(TimePoint now) const;

    /**
     * Returns when an incarnation of another instance that may have stopped since, or has ended, was last heard, of the one that
     * was heard last; nothing if there is none.
     */
    std::optional<TimePoint> latestLossOfContact(TimePoint now) const;

    /** Returns the addresses to contact: those of listed instances and unverified members that are not live members. */
    std::vector<Endpoint> contactAddresses() const;

    /**
     * Returns the @p count relays of a data centre: its live instances with the highest rendezvous weights that are not
     * leaving, this instance included. Instances whose views differ may temporarily choose different relays or more of them.
     */
    std::vector<Incarnation> relays(const DataCentre &dataCentre, std::size_t count) const;

    /** Returns when expire() is next due; nothing without members. */
    std::optional<TimePoint> nextDeadline() const;

private:
    // An instance that is known only through a peer.
    struct UnverifiedMember {
        Endpoint address;
        TimePoint expiresAt;
    };

    void evictOthersAt(const Endpoint &address, const InstanceId &except, TimePoint now);
    bool isLeaving(const InstanceId &instance) const;
    TimePoint deadlineOf(const Member &member) const;

    Heartbeat ownHeartbeat;
    MembershipTiming timing;
    std::map<InstanceId, Member> memberTable;
    std::vector<Seed> seeds;
    std::map<InstanceId, UnverifiedMember> unverifiedMembers;
};

} // namespace flamingosaddle
