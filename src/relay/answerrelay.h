#pragma once

#include "callerenvironment.h"
#include "modelcall.h"

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
        Answered, ///< the caller received the complete response
        CallerGone,
        Failed,
    };

    Outcome outcome = Outcome::Failed;
    AttemptEnd end = AttemptEnd::NotSent;
    bool anyByteSent = false;
    Error error; ///< set for a failed attempt
};

/**
 * Relays the responses of backend servers to the caller of one request: streams event by event, other responses after
 * buffering. Spans all attempts of the request and tracks how much the caller has received.
 */
class AnswerRelay
{
public:
    AnswerRelay(
        const CallerEnvironment &environment, HttpExchange &exchange, const RoutedRequest &routed, RequestOutcome &outcome);

    // Commands.
    /** Relays the response of one attempt. A response that leads to a retry is withheld from the caller. */
    boost::asio::awaitable<AttemptResult> relay(BackendCall &call, TrafficGrant &grant);
    /** Sets the header fields that are added to every response to the caller. */
    void setCallerHeaders(HttpHeaders headers);
    /** Captures a copy of the complete response, up to the buffer limit. */
    void keepAnswer();

    // Queries.
    bool hasBegun() const; ///< whether any of the response was sent to the caller
    bool isResumable() const; ///< whether another server can continue at resumePosition()
    std::uint64_t resumePosition() const; ///< tokens sent to the caller, or the id of the last event
    /** Returns the last response that was withheld because the request was to be retried. */
    const std::optional<HttpResponse> &heldAnswer() const;
    /** Returns the complete response if captureResponse() was called and it did not exceed the limit. */
    const std::optional<HttpResponse> &keptAnswer() const;
    const std::optional<TokenUsage> &reportedUsage() const;
    /** Returns the timeout of the next read of the response body. */
    Duration pieceTimeout() const;
    Duration timeLeft() const; ///< until the deadline of the request's class

private:
    boost::asio::awaitable<AttemptResult> relayStream(BackendCall &call, TrafficGrant &grant);
    boost::asio::awaitable<AttemptResult> relayWhole(BackendCall &call, TrafficGrant &grant);
    boost::asio::awaitable<AttemptResult> relayLarge(BackendCall &call, HttpResponse begun);
    boost::asio::awaitable<AttemptResult> answerWhole(HttpResponse response);
    boost::asio::awaitable<AttemptResult> endEvents(const BackendCall &call);
    boost::asio::awaitable<Result<void>> beginStream(int status, HttpHeaders headers);

    AttemptResult failed(const Error &error) const;
    boost::asio::awaitable<AttemptResult> failedAt(BackendCall &call, Error error) const;
    bool followsOn(const SseSplitter::Batch &batch);
    void noteFirstToken(TrafficGrant &grant);
    void noteBegun() const;
    HttpHeaders answerHeaders(const HttpHeaders &fromBackend) const;
    void keep(std::string_view piece);

    const CallerEnvironment &environment;
    HttpExchange &exchange;
    const RoutedRequest &routed;
    RequestOutcome &outcome;
    HttpHeaders callerHeaders;
    bool streamBegun = false;
    bool eventStream = false;
    bool midStreamNoted = false;
    std::optional<std::uint64_t> lastEvent; // id of the last event sent to the caller
    bool keepsAnswer = false;
    std::optional<HttpResponse> held;
    std::optional<HttpResponse> kept;
    std::optional<TokenUsage> usage;
};

} // namespace flamingosaddle
