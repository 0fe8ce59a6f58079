#pragma once

#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/state/incarnation.h>
#include <flamingosaddle/state/membership.h>
#include <flamingosaddle/state/promptread.h>
#include <flamingosaddle/state/servertable.h>
#include <flamingosaddle/state/servicedemand.h>
#include <flamingosaddle/state/storeprogress.h>
#include <flamingosaddle/state/waitingtier.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * What instances tell each other. No message holds a key, a digest of one, or another secret.
 */
namespace flamingosaddle
{

/**
 * The first message on every connection: who speaks.
 */
struct HelloMessage {
    Incarnation from;
    DataCentre dataCentre;
    std::uint64_t connection = 0; ///< counts the connections that the incarnation opened to this peer, from 1

    friend bool operator==(const HelloMessage &, const HelloMessage &) = default;
};

struct ServerLoad {
    BackendServerId server;
    std::uint32_t inFlight = 0; ///< requests that the sender runs there
    std::uint64_t unreadTokens = 0; ///< of their prompts, which the server has not read

    friend bool operator==(const ServerLoad &, const ServerLoad &) = default;
};

struct ServiceCount {
    ClientAccountId clientAccount;
    ModelName model; ///< empty for a plain service
    ServiceName service; ///< empty for a model
    std::int32_t tier = 0;
    std::uint64_t weightThousandths = 1000; ///< share of the client account
    std::uint64_t tokens = 0; ///< served since the sender's last heartbeat

    friend bool operator==(const ServiceCount &, const ServiceCount &) = default;
};

struct HeartbeatMessage {
    Heartbeat member;
    std::uint64_t configOffset = 0; ///< next offset of the config stream
    bool readsLog = false; ///< whether the sender read the config stream to its end within its freshness limit
    bool leads = false; ///< whether the sender does the duties of one instance at a time, by its own clock
    std::vector<WaitingTier> waiting;
    std::vector<ServerLoad> loads;
    std::vector<ServiceCount> services;
    std::vector<PromptRead> reads; ///< since the sender's last heartbeat
    std::vector<ServiceDemand> demands; ///< since the sender's last heartbeat

    friend bool operator==(const HeartbeatMessage &, const HeartbeatMessage &) = default;
};

/**
 * Keys that were withdrawn, perhaps before the log has the record.
 */
struct TombstonesMessage {
    std::vector<KeyId> keys;

    friend bool operator==(const TombstonesMessage &, const TombstonesMessage &) = default;
};

/**
 * A backend server died while it ran the request of this fingerprint.
 */
struct DeathNotice {
    std::uint64_t fingerprint = 0;
    BackendServerId server;

    friend bool operator==(const DeathNotice &, const DeathNotice &) = default;
};

/**
 * A request that one death was seen of runs at the sender.
 */
struct SuspectNotice {
    std::uint64_t fingerprint = 0;
    std::chrono::milliseconds remaining{0}; ///< how long the notice holds, from its arrival on

    friend bool operator==(const SuspectNotice &, const SuspectNotice &) = default;
};

struct QuarantinesMessage {
    std::vector<DeathNotice> deaths;
    std::vector<SuspectNotice> suspects;

    friend bool operator==(const QuarantinesMessage &, const QuarantinesMessage &) = default;
};

struct KnownInstance {
    InstanceId id;
    Endpoint address; ///< where its peers reach it

    friend bool operator==(const KnownInstance &, const KnownInstance &) = default;
};

/**
 * Instances that the sender hears. The platform's list may leave some out; every instance is to know all others.
 */
struct InstancesMessage {
    std::vector<KnownInstance> instances;

    friend bool operator==(const InstancesMessage &, const InstancesMessage &) = default;
};

/**
 * The sender's whole configuration, for a receiver that is behind and cannot read the log.
 */
struct ConfigSnapshotMessage {
    std::string text; ///< of encodeConfigSnapshot()

    friend bool operator==(const ConfigSnapshotMessage &, const ConfigSnapshotMessage &) = default;
};

/**
 * The sender ends. What it holds is in the log or lost.
 */
struct LeaveMessage {
    Incarnation from;

    friend bool operator==(const LeaveMessage &, const LeaveMessage &) = default;
};

/**
 * Sent back for frames, so that their sender knows that the connection is alive.
 */
struct AckMessage {
    std::uint64_t sequence = 0; ///< of the newest frame that was taken; those before it were taken too
    StoreProgress progress{}; ///< of whoever acknowledges, at that moment; empty when nobody relies on it

    friend bool operator==(const AckMessage &, const AckMessage &) = default;
};

/**
 * Asks a relay for the changes of backend servers' entries from an offset on.
 */
struct ServersRequestMessage {
    std::uint64_t from = 0;

    friend bool operator==(const ServersRequestMessage &, const ServersRequestMessage &) = default;
};

/**
 * A relay's answer to a ServersRequestMessage.
 */
struct ServersMessage {
    std::uint64_t from = 0; ///< where the changes begin
    std::uint64_t next = 0; ///< up to where the sender has read
    bool isComplete = false; ///< whether the changes are all entries that there are
    std::vector<ServerChange> changes; ///< oldest first
    std::chrono::milliseconds grace{0}; ///< how much longer an entry that vanished is kept, after an outage of the store

    friend bool operator==(const ServersMessage &, const ServersMessage &) = default;
};

/**
 * A record of usage counts that the receiver appends to the log together with others.
 */
struct CountsMessage {
    std::uint64_t sequence = 0; ///< of the record, by its writer
    std::string record; ///< of encodeMeterRecord()

    friend bool operator==(const CountsMessage &, const CountsMessage &) = default;
};

/**
 * The record of usage counts is in the log.
 */
struct CountsTakenMessage {
    std::uint64_t sequence = 0; ///< of the receiver's record

    friend bool operator==(const CountsTakenMessage &, const CountsTakenMessage &) = default;
};

using PeerMessage = std::variant<HelloMessage, HeartbeatMessage, TombstonesMessage, QuarantinesMessage, InstancesMessage,
    LeaveMessage, AckMessage, ConfigSnapshotMessage, ServersRequestMessage, ServersMessage, CountsMessage, CountsTakenMessage>;

} // namespace flamingosaddle
