#pragma once

#include <flamingosaddle/http/client.h>
#include <flamingosaddle/relay/answerverdict.h>
#include <flamingosaddle/relay/callersignal.h>
#include <flamingosaddle/relay/requeststep.h>
#include <flamingosaddle/traffic/types.h>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace flamingosaddle
{

struct BackendPoolOptions {
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration idleLimit = std::chrono::seconds(15); ///< an idle connection is not used after this long
    std::size_t maxIdlePerServer = 32;
    /**
     * Whether a server whose connection broke counts as dead only once it takes no new connection either. Otherwise
     * every broken connection is one.
     */
    bool confirmsDeath = false;
    bool answersMayEndWithConnection = false; ///< whether an answer without a length counts as whole when it is closed

    friend bool operator==(const BackendPoolOptions &, const BackendPoolOptions &) = default;
};

/**
 * Why a request got no answer, and what that says of the backend server.
 */
struct BackendFailure {
    Error error;
    bool anyByteSent = false; ///< whether the server may have seen any of the request
    AttemptEnd end = AttemptEnd::NotSent;

    friend bool operator==(const BackendFailure &, const BackendFailure &) = default;
};

class BackendPool;

/**
 * A request whose answer has begun. The connection goes back to the pool when the answer was read whole, and is closed in
 * every other case, so that nothing of the answer can reach another request.
 */
class BackendCall
{
public:
    BackendCall(BackendPool &pool, Endpoint endpoint, std::unique_ptr<HttpConnection> connection, HttpResponseHead head,
        CallerSignal &caller);

    // Queries.
    const HttpResponseHead &head() const;

    // Commands.
    /** As HttpConnection::readBody(). Fails with Cancelled when the caller goes. */
    boost::asio::awaitable<Result<bool>> readBody(std::string &piece, Duration timeout);
    /** Gives the connection back after readBody() has answered false. */
    void release();
    /** What the failure of readBody() says of the backend server. */
    boost::asio::awaitable<AttemptEnd> endOf(Error error);

private:
    BackendPool &pool;
    Endpoint endpoint;
    std::unique_ptr<HttpConnection> connection;
    HttpResponseHead responseHead;
    std::unique_ptr<CallerSignal::Listener> listener;
};

/**
 * Connections to backend servers, for one executor. A connection carries one request at a time. An idle one is probed before
 * it is used and dropped after a short time, since something between the two ends may have lost track of it. A backend
 * server is judged by a fresh connection: what fails on a reused one is sent again on a fresh one of the same server when
 * no byte was written or the request may run twice.
 *
 * Outlives its calls; destroyed before its executor's context.
 */
class BackendPool
{
public:
    using Answer = std::variant<BackendCall, BackendFailure>;
    using StepHook = std::function<void(RequestStep)>;

    explicit BackendPool(BackendPoolOptions options);

    // Commands.

    struct Order {
        Endpoint endpoint;
        HttpRequest request;
        bool idempotent = false;
        Duration headTimeout = std::chrono::seconds(30); ///< from the last byte sent to the head of the answer
        std::function<AnswerVerdict(const HttpRequest &sent, const HttpResponseHead &head)> judge; ///< empty: all genuine
    };

    /** Sends a request and reads the head of its answer. */
    boost::asio::awaitable<Answer> call(const Order &order, CallerSignal &caller, const StepHook &step);

    /** Closes the idle connections that are over the idle limit. */
    void dropExpired();

    // Queries.
    std::size_t idleCount() const;

private:
    friend class BackendCall;

    struct Idle {
        std::unique_ptr<HttpConnection> connection;
        TimePoint usableUntil;
    };

    std::unique_ptr<HttpConnection> takeIdle(const Endpoint &endpoint);
    void putIdle(const Endpoint &endpoint, std::unique_ptr<HttpConnection> connection, const HttpHeaders &answer);
    boost::asio::awaitable<Result<HttpResponseHead>> readOwnHead(HttpConnection &connection, const Order &order);
    boost::asio::awaitable<Result<void>> skipBody(HttpConnection &connection);
    void keepIfWhole(const Endpoint &endpoint, std::unique_ptr<HttpConnection> connection);
    boost::asio::awaitable<AttemptEnd> endAfter(Error error, bool anyByteSent, Endpoint endpoint);
    boost::asio::awaitable<Answer> callOnFresh(const Order &order, CallerSignal &caller, const StepHook &step);
    boost::asio::awaitable<Answer> callOn(
        std::unique_ptr<HttpConnection> connection, const Order &order, CallerSignal &caller, const StepHook &step);

    BackendPoolOptions options;
    std::map<Endpoint, std::deque<Idle>> idle; // newest last
    TimePoint nextSweep;
};

} // namespace flamingosaddle
