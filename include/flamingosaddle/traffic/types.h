#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/state/config.h>
#include <flamingosaddle/state/targetname.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace flamingosaddle
{

/**
 * Properties of a request on which dispatching decisions are based.
 */
struct RequestProfile {
    ClientAccountId clientAccount; ///< empty on a route open to all
    double clientAccountShare = 1.0;
    RequestClass requestClass;
    ModelName model; ///< empty for a plain service
    ServiceName service; ///< empty for a model
    std::uint64_t prefixHash = 0; ///< hash of the prompt's prefix; 0 if none
    std::uint64_t fingerprint = 0; ///< hash of the whole request, for quarantine
    std::vector<std::uint64_t> promptParts; ///< hashes of the prompt's parts that other requests may share, in order
    std::uint32_t promptTokens = 0; ///< estimate
    std::uint32_t sharedTokens = 0; ///< length of the prefix hashed in prefixHash; 0 if unknown
    std::uint32_t outputTokens = 0; ///< upper bound; 0 if unknown
    std::string softwareVersion; ///< if set, only servers of this version may run it, because it continues a stream of theirs
    Homes homes; ///< only servers in these regions may run it
    bool idempotent = true; ///< determined by class, route and method together
    std::uint32_t maxAttempts = 0; ///< maximum number of backend servers to send it to; 0 for the dispatcher's limit
    bool isForwarded = false; ///< whether another instance forwarded it to this one
    std::uint32_t earlierAttempts
        = 0; ///< attempts of the instance that forwarded it that a backend server has seen or may have seen
    TimePoint arrival;

    friend bool operator==(const RequestProfile &, const RequestProfile &) = default;
};

/**
 * Tells whether a refused request may have run.
 */
enum class RunState {
    NotRun, ///< no byte reached a backend server
    Unknown,
};

enum class RefusalReason {
    Overloaded, ///< the target cannot be met according to the forecast, or the queue is full
    Evicted, ///< evicted from the queue in favour of a higher tier
    DeadlineMissed,
    NoServer, ///< no usable backend server at present
    NoHomeServer, ///< no usable backend server in the homes of the request
    DataCentreEvacuated, ///< no usable backend server outside the evacuated data centres
    Quarantined, ///< the request was running when backend servers died
    PromptQuarantined, ///< requests with a part of this prompt were running when backend servers died
    RetriesExhausted,
    Unreachable, ///< this instance has no path to the backend servers, but others may
    Draining,
    Cancelled,
};

const char *toString(RefusalReason reason);

/**
 * Final outcome of a request that is not carried out.
 */
struct Refusal {
    RefusalReason reason = RefusalReason::Overloaded;
    RunState runState = RunState::NotRun;
    std::chrono::seconds retryAfter{1}; ///< suggested delay before the caller retries

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

/**
 * Identifies a request in the dispatcher, from submit() until finish() or its refusal.
 */
enum class Ticket : std::uint64_t {
};

struct Assignment {
    Ticket ticket{};
    BackendServerId server;
    /** A backend server died while running it before. Peers must be notified, see applyPeerSuspect(), before it is sent. */
    bool suspect = false;

    friend bool operator==(const Assignment &, const Assignment &) = default;
};

struct Rejection {
    Ticket ticket{};
    Refusal refusal;

    friend bool operator==(const Rejection &, const Rejection &) = default;
};

/**
 * Requests that may start now, and waiting ones that are rejected.
 */
struct Decisions {
    std::vector<Assignment> assignments;
    std::vector<Rejection> rejections;

    friend bool operator==(const Decisions &, const Decisions &) = default;
};

/**
 * Outcome of an attempt on a backend server.
 */
enum class AttemptOutcome {
    Completed, ///< the complete response was read
    NotSent, ///< failed before a byte was written
    Rejected, ///< the server proved that it did not run the request
    ServerError, ///< the server responded with an error status and is still alive
    ServerFailed, ///< the server closed the connection or stopped responding, so the request may have killed it
    CallerDisconnected,
};

const char *toString(AttemptOutcome outcome);

/**
 * A backend server died while it ran a request. Each request that it ran gives one such report.
 */
struct ServerDeath {
    BackendServerId server;
    std::uint64_t fingerprint = 0; ///< of the request
    std::vector<std::uint64_t> promptParts; ///< of the request, see RequestProfile
    Duration ranFor{0}; ///< from the start of the attempt to the failure
    Duration ago{0}; ///< from the failure to this report; 0 if the death was confirmed at once

    friend bool operator==(const ServerDeath &, const ServerDeath &) = default;
};

/**
 * A part of prompts was quarantined, or is no longer suspected of crashing backend servers.
 */
struct PromptPartChange {
    std::uint64_t part = 0; ///< see RequestProfile::promptParts
    std::optional<TimePoint> quarantinedUntil; ///< empty if the part was cleared
    bool isLocal = true; ///< whether this instance decided it, so that peers have to be told

    friend bool operator==(const PromptPartChange &, const PromptPartChange &) = default;
};

/**
 * Load of a backend server as reported by peers and, with a lag, by the engine.
 */
struct ServerLoadReport {
    BackendServerId server;
    std::uint32_t peersInFlight = 0; ///< requests that other instances run on the server
    std::uint64_t waitingTokens = 0; ///< as reported by the engine
    TimePoint measuredAt;
    std::uint64_t peerBacklogTokens = 0; ///< tokens of peers' prompts that the server has not processed yet

    friend bool operator==(const ServerLoadReport &, const ServerLoadReport &) = default;
};

/**
 * Tokens that an instance served to a client account. Instances exchange these reports for fair sharing.
 */
struct ServedTokensReport {
    ClientAccountId clientAccount;
    ModelName model; ///< empty for a plain service
    ServiceName service; ///< empty for a model
    int tier = 0;
    double weight = 1.0; ///< share of the client account
    std::uint64_t tokens = 0; ///< prompt and response tokens

    friend bool operator==(const ServedTokensReport &, const ServedTokensReport &) = default;
};

/**
 * The rate limit of a backend server: how many requests per second it accepts from all instances together.
 */
struct ServerRateLimit {
    BackendServerId server;
    std::optional<double> requestsPerSecond; ///< empty if the server states no limit
    TimePoint statedAt; ///< arrival of the response that stated it

    friend bool operator==(const ServerRateLimit &, const ServerRateLimit &) = default;
};

/**
 * The limit of a backend server on its own rejections: how many requests it can turn away in a second before it fails.
 */
struct ServerRejectionLimit {
    BackendServerId server;
    std::optional<std::uint32_t> rejectionsPerSecond; ///< empty if the server states no limit
    TimePoint statedAt; ///< arrival of the response that stated it

    friend bool operator==(const ServerRejectionLimit &, const ServerRejectionLimit &) = default;
};

/**
 * The lowest limit on rejections that backend servers of a target state.
 */
struct TargetRejectionLimit {
    TargetName target;
    std::uint32_t rejectionsPerSecond = 0;
    TimePoint statedAt; ///< arrival of the last response that stated it

    friend bool operator==(const TargetRejectionLimit &, const TargetRejectionLimit &) = default;
};

/**
 * Forecast wait for a slot of one more request of a tier.
 */
struct TierWait {
    int tier = 0;
    double seconds = 0.0;

    friend bool operator==(const TierWait &, const TierWait &) = default;
};

} // namespace flamingosaddle
