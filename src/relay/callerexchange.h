#pragma once

#include "answerrelay.h"
#include "callerenvironment.h"

#include <flamingosaddle/relay/callersignal.h>
#include <flamingosaddle/relay/refusal.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace flamingosaddle
{

/**
 * Serves one exchange with a caller, from its request to the end of the response.
 */
class CallerExchange
{
public:
    CallerExchange(const CallerEnvironment &environment, HttpExchange &exchange, BackendPool &pool);
    ~CallerExchange();
    CallerExchange(const CallerExchange &) = delete;
    CallerExchange &operator=(const CallerExchange &) = delete;

    boost::asio::awaitable<void> run();

private:
    Result<void> admit();
    Result<void> registerKey();
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<void> answerModels();
    boost::asio::awaitable<bool> claim();
    boost::asio::awaitable<bool> takeClaimAnswer(ClaimAnswer answer);
    boost::asio::awaitable<void> waitAndRun();
    boost::asio::awaitable<void> runAttempts(TrafficGrant grant);
    boost::asio::awaitable<AttemptResult> attempt(TrafficGrant &grant);
    boost::asio::awaitable<void> giveUp(AttemptResult result, Refusal refusal);
    boost::asio::awaitable<void> refuse(RefusalAnswer answer);
    boost::asio::awaitable<void> respond(HttpResponse response);

    bool mayRunAgain() const;
    BackendPool::Order orderFor(const BackendServer &server, const TraceContext &trace) const;
    void finishAnswered();
    void settleClaim(ClaimOutcome::State state);
    void reportUsage() const;

    const CallerEnvironment &environment;
    HttpExchange &exchange;
    BackendPool &pool;
    CallerSignal signal;
    RequestOutcome outcome;
    ActiveSpan span;
    RoutedRequest routed;
    AnswerRelay relay;
    std::function<void(ClaimOutcome)> settle;
};

} // namespace flamingosaddle
