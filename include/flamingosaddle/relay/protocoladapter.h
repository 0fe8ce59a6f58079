#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/base/trace.h>
#include <flamingosaddle/control/routingsnapshot.h>
#include <flamingosaddle/http/client.h>
#include <flamingosaddle/http/message.h>
#include <flamingosaddle/relay/refusal.h>
#include <flamingosaddle/relay/responsecheck.h>
#include <flamingosaddle/relay/routedrequest.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace flamingosaddle
{

/**
 * Inputs for building the request to a backend server.
 */
struct BackendRequestContext {
    const HttpRequest &callerRequest;
    std::string_view requestId;
    const TraceContext &trace;
    const RequestProfile &profile;
    const BackendServerId &server;
    Duration remainingTime; ///< until the request's deadline
    std::optional<std::uint64_t> resumeAfter; ///< position at which an interrupted stream resumes
};

/**
 * Adapts the router to the protocol of callers and backend servers: everything that differs between the project's own
 * protocol and that of a platform. The functions are pure and run on the traffic threads.
 */
struct ProtocolAdapter {
    /** Returns the request's id in logs and towards backend servers: the caller's own or a generated one. */
    std::function<std::string(const HttpRequest &request)> requestId;
    /** Authenticates the request and determines its destination. */
    std::function<Result<RoutedRequest>(const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now)> route;
    /**
     * Decides on the head alone whether a request can be admitted, as route() does, and returns its client account, which is
     * empty for open routes. Fails with NotFound, Unauthorized or Forbidden only where route() would fail, too. May be empty.
     */
    std::function<Result<ClientAccountId>(const RoutingSnapshot &snapshot, const HttpRequest &head, TimePoint now)> admitHead;
    /** Builds the request that is sent to the backend server. */
    std::function<HttpRequest(const BackendRequestContext &context)> buildBackendRequest;
    /** Matches a response head with the request that was sent. */
    std::function<ResponseCheck(const HttpRequest &sent, const HttpResponseHead &head)> checkResponse;
    /** Returns the header fields of a backend server's response that are forwarded to the caller. */
    std::function<HttpHeaders(const HttpHeaders &fromBackend)> responseHeaders;
    /**
     * Returns the requests per second that the backend server states to accept from all instances together, or nothing if it
     * states no valid limit.
     */
    std::function<std::optional<double>(const HttpHeaders &fromBackend)> rateLimit;
    /**
     * Returns how many requests the backend server states to be able to reject in a second before it fails, or nothing if it
     * states no valid limit. May be empty if the servers have no such limits.
     */
    std::function<std::optional<std::uint32_t>(const HttpHeaders &fromBackend)> rejectionLimit;
    /** Returns whether the response says that its backend server leaves, so that it must get no further requests. */
    std::function<bool(const HttpHeaders &fromBackend)> isServerLeaving;
    /** Returns the header fields that the router adds to every response. */
    std::function<HttpHeaders(std::string_view requestId, const TraceContext &trace)> routerHeaders;
    /** Whether a response with @p status is retried at another backend server. */
    std::function<bool(const RequestProfile &profile, int status)> isRetryableStatus;
    /** Returns the HTTP response for a refusal. */
    std::function<HttpResponse(const RefusalResponse &refusal)> renderRefusal;
    /** Returns the event that reports the error of an interrupted stream to its caller, or an empty text if there is none. */
    std::function<std::string(const Error &error)> streamErrorEvent;

    bool streamsEndWithDoneEvent = true; ///< otherwise a stream ends with its body, and its events carry ids
    bool allowBodyUntilClose = false; ///< whether a response without a length may be delimited by connection close
};

/** Parses a rate limit: a decimal number of requests per second, not negative. Returns nothing for any other text. */
std::optional<double> parseRateLimit(std::string_view text);

/** Parses a limit on rejections: a decimal number, not negative, rounded down. Returns nothing for any other text. */
std::optional<std::uint32_t> parseRejectionLimit(std::string_view text);

/**
 * Returns the time for which a backend server that is unavailable (503) asks for no further requests by Retry-After in seconds,
 * which may have a fraction. Returns nothing for any other response.
 */
std::optional<Duration> requestedPause(const HttpResponseHead &head);

/**
 * Returns the adapter for the OpenAI protocol.
 * @param keySecret secret of the keyed hash of callers' keys
 * @param openClass request class of routes that need no key
 */
ProtocolAdapter openAiAdapter(const std::string &keySecret, const RequestClass &openClass);

} // namespace flamingosaddle
