#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/control/claim.h>
#include <flamingosaddle/control/streamregistry.h>
#include <flamingosaddle/relay/requeststep.h>
#include <flamingosaddle/state/targetname.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * Token usage of one request.
 */
struct UsageEvent {
    ClientAccountId clientAccount;
    ModelName model;
    std::string requestId;
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    bool reportedByEngine = false; ///< whether the engine reported the counts; otherwise counted and estimated by the router

    friend bool operator==(const UsageEvent &, const UsageEvent &) = default;
};

/**
 * What an attempt at a backend server carried.
 */
struct AttemptTraffic {
    DataCentre dataCentre; ///< of the server
    std::uint64_t sentBytes = 0; ///< body of the request
    std::uint64_t receivedBytes = 0; ///< body of the response

    friend bool operator==(const AttemptTraffic &, const AttemptTraffic &) = default;
};

/**
 * Outcome of one request, for logs, metrics and traces.
 */
struct RequestOutcome {
    std::string requestId;
    ClientAccountId clientAccount;
    ClassName className;
    int tier = 0;
    RouteId route; ///< empty for model requests and when no route matched
    BackendServerId server; ///< of the last attempt; empty without an attempt
    std::string softwareVersion; ///< of that server
    TargetName target; ///< empty if the request was not routed
    std::vector<AttemptTraffic> traffic; ///< of each attempt
    std::string resumedRequest; ///< see RoutedRequest
    std::uint64_t resumeAfter = 0; ///< see RoutedRequest
    std::uint32_t promptTokens = 0; ///< as used for placement; 0 without a prompt
    std::uint32_t sharedTokens = 0; ///< tokens of the prefix that other requests share
    std::uint64_t prefixHash = 0; ///< hash of that prefix; 0 without a prefix
    std::vector<std::uint64_t> promptParts; ///< see RequestProfile
    std::uint64_t configOffset = 0; ///< of the configuration that the request was routed by
    std::optional<Duration> configAge; ///< time since that configuration was last known to be current
    Homes homes; ///< see RequestProfile
    std::vector<DataCentre> evacuated; ///< data centres whose backend servers were left out at its admission
    std::string error; ///< why the request failed, unless the dispatcher refused it
    int status = 0; ///< of the response; 0 when the caller disconnected before it
    std::optional<RunState> runState; ///< of a refusal or an interrupted stream
    std::optional<RefusalReason> refusal; ///< when the dispatcher refused the request
    bool complete = false; ///< whether the caller received the complete response
    TimePoint arrival;
    std::optional<TimePoint> deadline; ///< nothing if the request was not routed
    TimePoint sentAt; ///< time of the last attempt
    std::optional<TimePoint> attemptEndedAt; ///< when the last attempt at a backend server ended
    std::optional<TimePoint> firstTokenAt;
    std::optional<TimePoint> end;
    std::uint64_t relayedTokens = 0; ///< relayed to the caller
    std::uint64_t wastedTokens = 0; ///< generated but not part of a complete response
    std::uint32_t attempts = 0; ///< number of attempts at backend servers
    std::optional<AttemptOutcome> lastAttempt; ///< outcome of the last of them
    InstanceId forwardedTo; ///< the peer that the request was last forwarded to; empty if to none
    InstanceId forwardedBy; ///< the instance that forwarded the request to this one; empty for a caller's own

    friend bool operator==(const RequestOutcome &, const RequestOutcome &) = default;
};

/**
 * Callbacks of a CallerHandler. Each hook may be empty. All hooks run on the traffic threads.
 */
struct CallerHooks {
    std::function<void(RequestStep)> onStep; ///< fault injection
    std::function<void(const UsageEvent &)>
        onUsage; ///< called once for each request of a client account that an engine worked on
    /** Called once for each request of a client account that a backend server started to run, @p ago before now. */
    std::function<void(const ClientAccountId &account, Duration ago)> onStarted;
    /** Called when the first event of a resumable stream reaches this instance. */
    std::function<void(const std::string &request, const ServiceName &service, const std::string &softwareVersion)>
        onStreamStarted;
    std::function<void(const std::string &request)>
        onStreamCompleted; ///< called when the caller received such a stream as a whole
    StreamVersionHook streamVersion; ///< when empty, streams are resumed at any server of their service
    /** Called for each response, to a request that was sent at @p sentAt, that says that its backend server leaves. */
    std::function<void(const BackendServerId &server, TimePoint sentAt)> onServerLeaving;
    std::function<void(const RequestOutcome &)> onOutcome; ///< called once for each request
    ClaimHook claim; ///< when empty, every request with an idempotency key runs
};

} // namespace flamingosaddle
