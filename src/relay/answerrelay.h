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
 * How one attempt to have a request answered ended.
 */
struct AttemptResult {
    enum class Outcome {
        Answered, ///< the caller has the whole answer
        CallerGone,
        Failed,
    };

    Outcome outcome = Outcome::Failed;
    AttemptEnd end = AttemptEnd::NotSent;
    bool anyByteSent = false;
    Error error; ///< of a failed attempt
};

/**
 * Passes the answers of backend servers on to the caller of one request: a stream event by event, any other answer once it
 * is whole. Lives through all attempts of the request and knows how much the caller has.
 */
class AnswerRelay
{
public:
    AnswerRelay(
        const CallerEnvironment &environment, HttpExchange &exchange, const RoutedRequest &routed, RequestOutcome &outcome);

    // Commands.
    /** Relays the answer of one attempt. Nothing reaches the caller of an answer that will be tried again. */
    boost::asio::awaitable<AttemptResult> relay(BackendCall &call, TrafficGrant &grant);
    /** Fields that every answer to the caller carries. */
    void setCallerHeaders(HttpHeaders headers);
    /** Keeps a copy of the whole answer, up to the buffer's limit. */
    void keepAnswer();

    // Queries.
    bool hasBegun() const; ///< whether the caller has any of the answer
    bool isResumable() const; ///< whether another server can go on at resumePosition()
    std::uint64_t resumePosition() const; ///< tokens that the caller has, or the number of the last event
    /** The last answer that was not passed on because the request would be tried again. */
    const std::optional<HttpResponse> &heldAnswer() const;
    /** The whole answer, when keepAnswer() was called and it is not over the limit. */
    const std::optional<HttpResponse> &keptAnswer() const;
    const std::optional<TokenUsage> &reportedUsage() const;
    /** How long the next piece of the answer may take. */
    Duration pieceTimeout() const;
    Duration timeLeft() const; ///< to the deadline of the request's class

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
    std::optional<std::uint64_t> lastEvent; // number of the last event that the caller has
    bool keepsAnswer = false;
    std::optional<HttpResponse> held;
    std::optional<HttpResponse> kept;
    std::optional<TokenUsage> usage;
};

} // namespace flamingosaddle
