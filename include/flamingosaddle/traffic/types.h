#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/state/config.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace flamingosaddle
{

/**
 * What the decisions know of one request.
 */
struct RequestProfile {
    ClientAccountId clientAccount; ///< empty on a route open to all
    double clientAccountShare = 1.0;
    RequestClass requestClass;
    ModelName model; ///< empty for a plain service
    ServiceName service; ///< empty for a model
    std::uint64_t prefixHash = 0; ///< of the beginning of the prompt; 0 when there is none
    std::uint64_t fingerprint = 0; ///< of the whole request, for quarantine
    std::uint32_t promptTokens = 0; ///< estimate
    std::uint32_t sharedTokens = 0; ///< of the beginning that prefixHash stands for; 0 where it is not known
    std::uint32_t outputTokens = 0; ///< at most; 0 where it is not known
    bool idempotent = true; ///< of this request: its class, its route and its method together
    std::uint32_t maxAttempts = 0; ///< backend servers that it may be sent to; 0 for the dispatcher's limit
    TimePoint arrival;

    friend bool operator==(const RequestProfile &, const RequestProfile &) = default;
};

/**
 * Whether a refused request can have run.
 */
enum class RunState {
    NotRun, ///< no byte of it reached a backend server
    Unknown,
};

enum class RefusalReason {
    Overloaded, ///< the forecast or the queue leaves no chance to meet the target
    Evicted, ///< gave its place in the queue to a higher tier
    DeadlineMissed,
    NoServer, ///< no backend server can take it at present
    Quarantined, ///< this request was running when backend servers died
    RetriesExhausted,
    Draining,
    Cancelled,
};

const char *toString(RefusalReason reason);

/**
 * The final answer to a request that is not carried out.
 */
struct Refusal {
    RefusalReason reason = RefusalReason::Overloaded;
    RunState runState = RunState::NotRun;
    std::chrono::seconds retryAfter{1}; ///< when to come back

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

/**
 * Names a request inside the dispatcher, from submit() until finish() or its refusal.
 */
enum class Ticket : std::uint64_t {
};

struct Assignment {
    Ticket ticket{};
    BackendServerId server;
    bool suspect = false; ///< a backend server died of it before: tell the peers through noteSuspect() before it is sent

    friend bool operator==(const Assignment &, const Assignment &) = default;
};

struct Rejection {
    Ticket ticket{};
    Refusal refusal;

    friend bool operator==(const Rejection &, const Rejection &) = default;
};

/**
 * Requests that may start now, and waiting ones that are given up.
 */
struct Decisions {
    std::vector<Assignment> assignments;
    std::vector<Rejection> rejections;

    friend bool operator==(const Decisions &, const Decisions &) = default;
};

/**
 * How an attempt on a backend server ended.
 */
enum class AttemptEnd {
    Completed, ///< the whole answer was read
    NotSent, ///< failed before a byte was written
    Rejected, ///< the server proved that it did not run the request
    ServerError, ///< the server answered with an error status and lives on
    ServerFailed, ///< the server broke off or fell silent, so it may have died of the request
    CallerGone,
};

/**
 * Load of a backend server as the engine, with a lag, and peers report it.
 */
struct ServerReport {
    BackendServerId server;
    std::uint32_t peersInFlight = 0; ///< requests that other instances run there
    std::uint64_t waitingTokens = 0; ///< as the engine reports it
    TimePoint measuredAt;
    std::uint64_t peersUnread = 0; ///< tokens of peers' prompts that the server has not read

    friend bool operator==(const ServerReport &, const ServerReport &) = default;
};

/**
 * Tokens that instances served to a client account, the unit in which they tell each other of used shares.
 */
struct ServiceReport {
    ClientAccountId clientAccount;
    ModelName model; ///< empty for a plain service
    ServiceName service; ///< empty for a model
    int tier = 0;
    double weight = 1.0; ///< share of the client account
    std::uint64_t tokens = 0; ///< of prompts and answers

    friend bool operator==(const ServiceReport &, const ServiceReport &) = default;
};

/**
 * How long one more request of a tier would wait for a slot.
 */
struct TierWait {
    int tier = 0;
    double seconds = 0.0;

    friend bool operator==(const TierWait &, const TierWait &) = default;
};

} // namespace flamingosaddle
