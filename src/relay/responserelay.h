#pragma once

#include "callerenvironment.h"
#include "completionrequest.h"

#include <flamingosaddle/relay/ssesplitter.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace flamingosaddle
{

/**
 * Result of one attempt at a backend server.
 */
struct AttemptResult {
    enum class Outcome {
        Completed, ///< the caller received the complete response
        CallerDisconnected,
        Failed,
    };

    Outcome outcome = Outcome::Failed;
    AttemptOutcome end = AttemptOutcome::NotSent;
    bool anyByteSent = false;
    Error error; ///< set for a failed attempt
};

/**
 * Relays the responses of backend servers to the caller of one request: streams event by event, other responses after
 * buffering. Spans all attempts of the request and tracks how much the caller has received.
 */
class ResponseRelay
{
public:
    ResponseRelay(
        const CallerEnvironment &environment, HttpExchange &exchange, const RoutedRequest &routed, RequestOutcome &outcome);

    // Commands.
    /** Relays the response of one attempt. A response that leads to a retry is withheld from the caller. */
    boost::asio::awaitable<AttemptResult> relay(BackendCall &call, ServerGrant &grant);
    /** Sets the header fields that are added to every response to the caller. */
    void setCallerHeaders(HttpHeaders headers);
    /** Captures a copy of the complete response, up to the buffer limit. */
    void captureResponse();

    // Queries.
    /** Returns whether the caller has received a part of the stream, from this response or before. */
    bool hasSentEvents() const;
    bool hasStarted() const; ///< whether any of the response was sent to the caller
    bool isResumable() const; ///< whether another server can continue at resumePosition()
    std::uint64_t resumePosition() const; ///< tokens sent to the caller, or the id of the last event
    /** Returns the last response that was withheld because the request was to be retried. */
    const std::optional<HttpResponse> &withheldResponse() const;
    /** Returns the complete response if captureResponse() was called and it did not exceed the limit. */
    const std::optional<HttpResponse> &capturedResponse() const;
    const std::optional<TokenUsage> &reportedUsage() const;
    /** Returns the timeout of the next read of the response body. */
    Duration progressTimeout() const;
    Duration remainingTime() const; ///< until the deadline of the request's class

private:
    boost::asio::awaitable<AttemptResult> relayStream(BackendCall &call, ServerGrant &grant);
    boost::asio::awaitable<AttemptResult> relayBuffered(BackendCall &call, ServerGrant &grant);
    boost::asio::awaitable<AttemptResult> relayOversized(BackendCall &call, HttpResponse partial);
    boost::asio::awaitable<AttemptResult> sendBuffered(HttpResponse response);
    boost::asio::awaitable<AttemptResult> endEvents(const BackendCall &call);
    boost::asio::awaitable<Result<void>> beginStream(int status, HttpHeaders headers);

    AttemptResult failure(const Error &error) const;
    boost::asio::awaitable<AttemptResult> classifiedFailure(BackendCall &call, Error error) const;
    bool continuesStream(const SseSplitter::Batch &batch);
    void recordFirstToken(ServerGrant &grant);
    void recordReceived(std::string_view piece);
    void notifyStarted() const;
    HttpHeaders responseHeaders(const HttpHeaders &fromBackend) const;
    void capture(std::string_view piece);

    const CallerEnvironment &environment;
    HttpExchange &exchange;
    const RoutedRequest &routed;
    RequestOutcome &outcome;
    HttpHeaders callerHeaders;
    bool streamStarted = false;
    bool eventStream = false;
    bool midStreamReported = false;
    std::optional<std::uint64_t> lastEventId; // id of the last event sent to the caller
    bool capturing = false;
    std::optional<HttpResponse> withheld;
    std::optional<HttpResponse> captured;
    std::optional<TokenUsage> usage;
};

} // namespace flamingosaddle
