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
 * Which instances there are, as one of them sees it from heartbeats and from the platform's lagging list.
 *
 * The list only says whom to contact; it neither brings an instance to life nor ends one. Views of two instances may
 * differ; nothing that needs agreement is decided by them.
 */
namespace flamingosaddle
{

enum class MemberState {
    Joining, ///< started, does not take requests yet
    Serving,
    Draining, ///< takes no new requests
    Gone, ///< said farewell, fell silent or was replaced
};

const char *toString(MemberState state);

/**
 * What an instance says of itself at short intervals.
 */
struct Heartbeat {
    Incarnation from;
    std::uint64_t sequence = 0; ///< counts the heartbeats of the incarnation
    MemberState state = MemberState::Joining; ///< Gone is a farewell, and final
    Endpoint address; ///< where its peers reach it
    DataCentre dataCentre;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

struct Member {
    Heartbeat last; ///< the newest heartbeat
    MemberState state = MemberState::Joining;
    bool isFinal = false; ///< no heartbeat brings this incarnation back
    TimePoint heardAt; ///< when the newest heartbeat came, or when it was found to be gone

    friend bool operator==(const Member &, const Member &) = default;
};

/**
 * An entry of the platform's list.
 */
struct Seed {
    InstanceId instance;
    Endpoint address;
    bool leaving = false;

    friend bool operator==(const Seed &, const Seed &) = default;
};

enum class HeartbeatResult {
    Accepted,
    Stale, ///< an older sequence or incarnation, or of one that is gone for good
    Own, ///< carries the name of this instance
};

struct MembershipTiming {
    Duration silentAfter = std::chrono::seconds(3); ///< without a heartbeat a member counts as gone
    Duration forgetAfter = std::chrono::minutes(10); ///< longer than any heartbeat is under way
    Duration hearsayLife = std::chrono::seconds(30); ///< how long an instance is looked for that only a peer told of

    friend bool operator==(const MembershipTiming &, const MembershipTiming &) = default;
};

class Membership
{
public:
    /** @p self is the first heartbeat of this instance. */
    Membership(Heartbeat self, MembershipTiming timing);

    // Commands.

    /** Changes what this instance says of itself. */
    void setOwnState(MemberState state);

    /** The next heartbeat to send. */
    Heartbeat nextHeartbeat();

    /**
     * Takes in a heartbeat. The first one of an incarnation ends an older incarnation of the instance, for good, and
     * every other member on the same address, until that one is heard again: an old heartbeat that comes late must not
     * end for good the member that has its address now.
     */
    HeartbeatResult apply(const Heartbeat &heartbeat, TimePoint now);

    /** Replaces what the platform's list says. */
    void setSeeds(std::vector<Seed> seeds);

    /** A peer hears an instance at @p address. Like the list, this only says whom to contact. */
    void noteHearsay(const InstanceId &instance, const Endpoint &address, TimePoint now);

    /**
     * Ends members that have been silent too long, and forgets those gone for long. After a pause of the process, take
     * in the heartbeats that have come before calling this.
     */
    void advance(TimePoint now);

    // Queries.

    const Heartbeat &self() const;

    /** The newest incarnation known of an instance; nullptr for this one and for unknown ones. */
    const Member *find(const InstanceId &instance) const;

    /** Whether an instance is heard: known and not gone. */
    bool isLive(const InstanceId &instance) const;

    /** All members that are known, without this instance. */
    const std::map<InstanceId, Member> &members() const;

    /** Members that take requests and that the platform does not list as leaving. */
    std::vector<Heartbeat> serving() const;

    /** Where to look for instances: those that the list or a peer told of and that are no live member. */
    std::vector<Endpoint> contacts() const;

    /**
     * The @p count instances of a data centre that relay for it, this one included: those of the highest rendezvous weight
     * that are heard and do not leave. Instances whose views differ choose more of them for a while, or others.
     */
    std::vector<Incarnation> relays(const DataCentre &dataCentre, std::size_t count) const;

    /** When advance() has something to do; nothing without members. */
    std::optional<TimePoint> nextDeadline() const;

private:
    // What a peer told of an instance.
    struct Hearsay {
        Endpoint address;
        TimePoint until;
    };

    void endOthersAt(const Endpoint &address, const InstanceId &except, TimePoint now);
    bool isLeaving(const InstanceId &instance) const;
    TimePoint deadlineOf(const Member &member) const;

    Heartbeat own;
    MembershipTiming timing;
    std::map<InstanceId, Member> table;
    std::vector<Seed> seeds;
    std::map<InstanceId, Hearsay> hearsay;
};

} // namespace flamingosaddle
