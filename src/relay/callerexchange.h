#pragma once

#include "callerenvironment.h"
#include "forwarding.h"
#include "responserelay.h"

#include <flamingosaddle/relay/disconnectsignal.h>
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
    /** @param forwarded set if a peer forwards the request */
    CallerExchange(const CallerEnvironment &environment, HttpExchange &exchange, BackendPool &pool, DecisionWaits &decisionWaits,
        std::optional<ForwardedRequest> forwarded);
    ~CallerExchange();
    CallerExchange(const CallerExchange &) = delete;
    CallerExchange &operator=(const CallerExchange &) = delete;

    boost::asio::awaitable<void> run();

private:
    Result<void> admit();
    Result<void> registerKey();
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<void> sendModelList();
    boost::asio::awaitable<bool> claim();
    /** Determines at which software version a resumed stream continues. Returns false if the request was refused. */
    boost::asio::awaitable<bool> determineStreamVersion();
    bool isResumption() const;
    boost::asio::awaitable<bool> handleClaimResult(ClaimDecision decision);
    boost::asio::awaitable<void> acquireAndRun();
    boost::asio::awaitable<void> runAttempts(ServerGrant grant);
    boost::asio::awaitable<AttemptResult> runAttempt(ServerGrant &grant);
    /** Returns whether peers may be asked to serve a request that was refused here. */
    bool mayForward(const Refusal &refusal) const;
    /** Forwards the request to a peer. If none takes it, sends @p refusal. */
    boost::asio::awaitable<void> forward(Refusal refusal);
    /** Returns whether the peer that forwarded the request should ask another one. */
    bool isLeftToOthers(const RefusalResponse &refusal) const;
    boost::asio::awaitable<void> failRequest(AttemptResult result, Refusal refusal);
    boost::asio::awaitable<void> sendRefusal(RefusalResponse refusal);
    boost::asio::awaitable<void> sendResponse(HttpResponse response);

    bool mayRetry() const;
    BackendPool::CallParameters callParameters(const BackendServer &server, const TraceContext &trace) const;
    void finishCompleted();
    void settleClaim(ClaimOutcome::State state);
    void reportUsage() const;

    const CallerEnvironment &environment;
    HttpExchange &exchange;
    BackendPool &pool;
    DecisionWaits &decisionWaits;
    std::optional<ForwardedRequest> forwarded;
    HttpRequest forwardedRequest; // the caller's request, if a peer forwards it
    const HttpRequest &request; // the caller's request
    bool isConfigBehind = false; // whether the instance that forwarded the request has a newer configuration
    std::uint32_t sentAttempts = 0; // attempts that a backend server may have seen, rejected ones included
    DisconnectSignal disconnectSignal;
    RequestOutcome outcome;
    ActiveSpan span;
    RoutedRequest routed;
    ResponseRelay relay;
    std::function<void(ClaimOutcome)> settle;
};

} // namespace flamingosaddle
