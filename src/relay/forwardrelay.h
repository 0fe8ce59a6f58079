#pragma once

#include "callerenvironment.h"
#include "forwarding.h"

#include <flamingosaddle/relay/backendpool.h>
#include <flamingosaddle/relay/disconnectsignal.h>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace flamingosaddle
{

/**
 * Result of forwarding a request.
 */
struct ForwardResult {
    enum class Outcome {
        Answered, ///< the caller received the complete response of a peer
        CallerDisconnected,
        NotTaken, ///< no peer took the request, and it has not run
        Failed, ///< the connection to the peer that had the request was lost
    };

    Outcome outcome = Outcome::NotTaken;
    Error error; ///< set if the outcome is Failed
};

/**
 * Forwards the request of one exchange to peers until one takes it, and relays its response unchanged. A request is handed over
 * at most once: if the peer that has it is lost, only the caller can tell whether to send it again.
 */
class ForwardRelay
{
public:
    static constexpr std::size_t maxPeers = 3; ///< peers that are asked for one request

    ForwardRelay(const CallerEnvironment &environment, HttpExchange &exchange, BackendPool &pool, RequestOutcome &outcome);

    /**
     * @param request built by buildForwardedRequest()
     * @param deadline of the request; the peer knows it, too, and answers then
     */
    boost::asio::awaitable<ForwardResult> run(
        const HttpRequest &request, const RequestProfile &profile, TimePoint deadline, DisconnectSignal &caller);

    /** Returns whether any of the response was sent to the caller. */
    bool hasStarted() const;

private:
    boost::asio::awaitable<std::optional<ForwardResult>> tryPeer(const PeerPath &peer, const RequestProfile &profile);
    boost::asio::awaitable<ForwardResult> relayResponse(BackendCall &call);
    /** Records what the response says of the backend server, which this instance may reach directly before long. */
    void recordServer(const HttpHeaders &fromPeer);
    ForwardResult failure(const Error &error) const;
    Duration remainingTime() const;

    const CallerEnvironment &environment;
    HttpExchange &exchange;
    BackendPool &pool;
    RequestOutcome &outcome;
    BackendPool::CallParameters parameters;
    TimePoint deadline;
    DisconnectSignal *caller = nullptr;
    bool started = false;
};

} // namespace flamingosaddle
