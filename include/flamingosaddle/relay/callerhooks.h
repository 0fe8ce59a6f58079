#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/control/claim.h>
#include <flamingosaddle/relay/requeststep.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace flamingosaddle
{

/**
 * What one request used.
 */
struct UsageEvent {
    ClientAccountId clientAccount;
    ModelName model;
    std::string requestId;
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    bool reported = false; ///< whether the engine reported the figures; otherwise they are counted and estimated here

    friend bool operator==(const UsageEvent &, const UsageEvent &) = default;
};

/**
 * What became of one request.
 */
struct RequestOutcome {
    std::string requestId;
    ClientAccountId clientAccount;
    ClassName className;
    int tier = 0;
    RouteId route; ///< empty for a model, and where none was found
    BackendServerId server; ///< the last one that was asked; empty when none was
    std::uint32_t promptTokens = 0; ///< as its placement takes them; 0 where it has no prompt
    std::uint32_t sharedTokens = 0; ///< of the beginning that other requests share
    std::uint64_t prefixHash = 0; ///< of that beginning; 0 where there is none
    std::uint64_t configOffset = 0; ///< of the configuration that decided
    std::optional<Duration> configAge; ///< since that configuration was last known to be current
    std::string error; ///< why it failed, where no decision of the dispatcher ended it
    int status = 0; ///< of the answer; 0 when the caller left before it
    std::optional<RunState> runState; ///< of a refusal or of a stream that broke off
    std::optional<RefusalReason> refusal; ///< when a decision of the dispatcher ended the request
    bool whole = false; ///< whether the caller received a whole answer
    TimePoint arrival;
    TimePoint sent; ///< when the last backend server was asked
    std::optional<TimePoint> firstToken;
    std::optional<TimePoint> end;
    std::uint64_t tokens = 0; ///< passed on to the caller
    std::uint64_t wastedTokens = 0; ///< generated and not part of a whole answer
    std::uint32_t attempts = 0; ///< backend servers that were asked

    friend bool operator==(const RequestOutcome &, const RequestOutcome &) = default;
};

/**
 * Where the rest of the daemon takes part in a request. All hooks may be empty; they run on the traffic threads.
 */
struct CallerHooks {
    std::function<void(RequestStep)> step; ///< fault injection
    std::function<void(const UsageEvent &)> usage; ///< once for each request that an engine worked on for a client account
    /** Once for each request of a client account that a backend server began to run, @p ago before now. */
    std::function<void(const ClientAccountId &account, Duration ago)> begun;
    std::function<void(const RequestOutcome &)> outcome; ///< once for each request
    ClaimHook claim; ///< when it is empty, every named request runs
};

} // namespace flamingosaddle
