#pragma once

#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/state/incarnation.h>
#include <flamingosaddle/state/membership.h>
#include <flamingosaddle/state/promptprefill.h>
#include <flamingosaddle/state/servertable.h>
#include <flamingosaddle/state/servicedemand.h>
#include <flamingosaddle/state/storeprogress.h>
#include <flamingosaddle/state/targetname.h>
#include <flamingosaddle/state/waitingtier.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * The messages between instances. No message contains a key, a key digest or any other secret.
 */
namespace flamingosaddle
{

/**
 * The first message on every connection; identifies the sender.
 */
struct HelloMessage {
    Incarnation from;
    DataCentre dataCentre;
    std::uint64_t connection = 0; ///< number of this connection among those that the incarnation opened to this peer, from 1
    std::optional<Endpoint> forwardAddress{}; ///< at which the sender takes forwarded requests; empty if it takes none

    friend bool operator==(const HelloMessage &, const HelloMessage &) = default;
};

/**
 * The load that the sender puts on one backend server.
 */
struct ServerLoad {
    BackendServerId server;
    std::uint32_t inFlight = 0; ///< the sender's requests that run on the server
    std::uint64_t backlogTokens = 0; ///< prompt tokens of these requests that the server has not processed yet

    friend bool operator==(const ServerLoad &, const ServerLoad &) = default;
};

/**
 * Tokens that the sender served for a client account, by model or service and tier.
 */
struct ServedTokens {
    ClientAccountId clientAccount;
    ModelName model; ///< empty for a plain service
    ServiceName service; ///< empty for a model
    std::int32_t tier = 0;
    std::uint64_t weightThousandths = 1000; ///< share of the client account, in thousandths
    std::uint64_t tokens = 0; ///< since the sender's last heartbeat

    friend bool operator==(const ServedTokens &, const ServedTokens &) = default;
};

/**
 * The rate limit that a backend server stated in a response to the sender.
 */
struct RateLimitReport {
    BackendServerId server;
    std::optional<std::uint64_t> requestsPer1000Seconds; ///< empty if the server has stopped stating a limit
    std::chrono::milliseconds age{0}; ///< time since the response arrived

    friend bool operator==(const RateLimitReport &, const RateLimitReport &) = default;
};

/**
 * The lowest limit on rejections that servers of a target stated in responses to the sender.
 */
struct RejectionLimitReport {
    TargetName target;
    std::uint32_t rejectionsPerSecond = 0;
    std::chrono::milliseconds age{0}; ///< time since the last response that stated it arrived

    friend bool operator==(const RejectionLimitReport &, const RejectionLimitReport &) = default;
};

/**
 * A periodic message with the sender's membership state, load and progress.
 */
struct HeartbeatMessage {
    Heartbeat heartbeat;
    std::uint64_t configOffset = 0; ///< next offset of the config stream
    bool hasFreshConfig = false; ///< whether the sender read the config stream to its end within its staleness limit
    bool isLeader = false; ///< whether the sender holds the leader lease, by its own clock
    std::vector<WaitingTier> waitingTiers;
    std::vector<ServerLoad> loads;
    std::vector<ServedTokens> servedTokens; ///< since the sender's last heartbeat
    std::vector<PromptPrefill> prefills; ///< prompts processed since the sender's last heartbeat
    std::vector<ServiceDemand> demands; ///< since the sender's last heartbeat
    std::vector<RateLimitReport> rateLimits; ///< those that the sender was the last to read, as far as it knows
    std::vector<TargetName>
        unreachableTargets; ///< targets whose backend servers the sender does not reach or leaves to its peers
    std::vector<RejectionLimitReport> rejectionLimits;

    friend bool operator==(const HeartbeatMessage &, const HeartbeatMessage &) = default;
};

/**
 * Keys that were withdrawn. The withdrawal may not be in the log yet.
 */
struct TombstonesMessage {
    std::vector<KeyId> keys;

    friend bool operator==(const TombstonesMessage &, const TombstonesMessage &) = default;
};

/**
 * A backend server died while it ran a request, see ServerDeath. A notice without a fingerprint and parts, right before another
 * one about the same server, states when the server died; a build that does not know this takes both for requests that ran there.
 */
struct DeathNotice {
    std::uint64_t fingerprint = 0;
    BackendServerId server;
    std::vector<std::uint64_t> promptParts;
    std::chrono::milliseconds ranFor{0}; ///< from the start of the attempt, or from the death, until this message

    friend bool operator==(const DeathNotice &, const DeathNotice &) = default;
};

/**
 * The sender currently runs a request that one server death has already been attributed to.
 */
struct SuspectNotice {
    std::uint64_t fingerprint = 0;
    std::chrono::milliseconds validFor{0}; ///< how long the notice is valid, counted from its arrival

    friend bool operator==(const SuspectNotice &, const SuspectNotice &) = default;
};

/**
 * How many server deaths the sender attributes to the request with this fingerprint.
 */
struct DeathCountNotice {
    std::uint64_t fingerprint = 0;
    std::uint32_t deaths = 0;
    std::chrono::milliseconds validFor{0}; ///< counted from its arrival

    friend bool operator==(const DeathCountNotice &, const DeathCountNotice &) = default;
};

/**
 * A part of prompts is quarantined, see PromptPartChange.
 */
struct PromptPartNotice {
    std::uint64_t part = 0;
    std::chrono::milliseconds validFor{0}; ///< counted from its arrival

    friend bool operator==(const PromptPartNotice &, const PromptPartNotice &) = default;
};

/**
 * Server deaths and suspect requests, for the quarantine of requests and parts of prompts that kill backend servers.
 */
struct QuarantinesMessage {
    std::vector<DeathNotice> deaths;
    std::vector<SuspectNotice> suspects;
    std::vector<DeathCountNotice> deathCounts; ///< for an instance that may have missed earlier notices
    std::vector<PromptPartNotice> quarantinedParts;
    std::vector<std::uint64_t> clearedParts; ///< parts of prompts of requests that completed

    friend bool operator==(const QuarantinesMessage &, const QuarantinesMessage &) = default;
};

/**
 * An instance that the sender receives heartbeats from.
 */
struct KnownInstance {
    InstanceId id;
    Endpoint address; ///< at which its peers reach it

    friend bool operator==(const KnownInstance &, const KnownInstance &) = default;
};

/**
 * The instances that the sender receives heartbeats from. The platform's list may be incomplete, but every instance has to
 * know all others.
 */
struct InstancesMessage {
    std::vector<KnownInstance> instances;

    friend bool operator==(const InstancesMessage &, const InstancesMessage &) = default;
};

/**
 * The sender's complete configuration, for a receiver that lags behind and cannot read the log.
 */
struct ConfigSnapshotMessage {
    std::string text; ///< result of encodeConfigSnapshot()

    friend bool operator==(const ConfigSnapshotMessage &, const ConfigSnapshotMessage &) = default;
};

/**
 * The sender shuts down. Its remaining state is either in the log or lost.
 */
struct LeaveMessage {
    Incarnation from;

    friend bool operator==(const LeaveMessage &, const LeaveMessage &) = default;
};

/**
 * Acknowledges received frames, which shows their sender that the connection is alive.
 */
struct AckMessage {
    std::uint64_t sequence = 0; ///< of the newest frame received; acknowledges all frames before it, too
    StoreProgress progress{}; ///< of the acknowledging instance at that moment; empty unless the instance is a relay

    friend bool operator==(const AckMessage &, const AckMessage &) = default;
};

/**
 * Requests the changes of backend servers' entries, starting at an offset, from a relay.
 */
struct ServersRequestMessage {
    std::uint64_t fromOffset = 0;

    friend bool operator==(const ServersRequestMessage &, const ServersRequestMessage &) = default;
};

/**
 * A relay's reply to a ServersRequestMessage.
 */
struct ServersMessage {
    std::uint64_t fromOffset = 0; ///< offset of the first change
    std::uint64_t nextOffset = 0; ///< offset after the last record that the sender has read
    bool isComplete = false; ///< whether the changes contain all existing entries
    std::vector<ServerChange> changes; ///< oldest first
    std::chrono::milliseconds gracePeriod{0}; ///< how much longer removed entries are kept after an outage of the store

    friend bool operator==(const ServersMessage &, const ServersMessage &) = default;
};

/**
 * A record of usage counts for the receiver to append to the log, batched with others.
 */
struct UsageCountsMessage {
    std::uint64_t sequence = 0; ///< number of the record, assigned by its writer
    std::string record; ///< result of encodeUsageRecord()

    friend bool operator==(const UsageCountsMessage &, const UsageCountsMessage &) = default;
};

/**
 * Confirms that a record of usage counts is in the log.
 */
struct UsageCountsAckMessage {
    std::uint64_t sequence = 0; ///< number of the receiver's record

    friend bool operator==(const UsageCountsAckMessage &, const UsageCountsAckMessage &) = default;
};

using PeerMessage
    = std::variant<HelloMessage, HeartbeatMessage, TombstonesMessage, QuarantinesMessage, InstancesMessage, LeaveMessage,
        AckMessage, ConfigSnapshotMessage, ServersRequestMessage, ServersMessage, UsageCountsMessage, UsageCountsAckMessage>;

} // namespace flamingosaddle
