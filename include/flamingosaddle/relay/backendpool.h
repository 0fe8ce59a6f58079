#pragma once

#include <flamingosaddle/http/client.h>
#include <flamingosaddle/relay/disconnectsignal.h>
#include <flamingosaddle/relay/requeststep.h>
#include <flamingosaddle/relay/responsecheck.h>
#include <flamingosaddle/traffic/types.h>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace flamingosaddle
{

/**
 * Timeouts and limits of a BackendPool.
 */
struct BackendPoolOptions {
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration idleTimeout = std::chrono::seconds(15); ///< idle connections are not reused after this time
    std::size_t maxIdlePerServer = 32;
    /**
     * Whether a server whose connection was lost counts as failed only when a new connection to it fails as well. If
     * false, every lost connection counts as a server failure.
     */
    bool confirmDeathByReconnect = false;
    bool allowBodyUntilClose = false; ///< whether a response without a length may be delimited by connection close

    friend bool operator==(const BackendPoolOptions &, const BackendPoolOptions &) = default;
};

/**
 * Why a call received no response, and how the failure counts against the backend server.
 */
struct BackendFailure {
    Error error;
    bool anyByteSent = false; ///< whether the server may have received any of the request
    AttemptOutcome end = AttemptOutcome::NotSent;

    friend bool operator==(const BackendFailure &, const BackendFailure &) = default;
};

class BackendPool;

using ActiveConnections = std::set<HttpConnection *>;

/** Closes a connection that is in use, and removes it from those of its pool, which may have been destroyed meanwhile. */
struct ActiveConnectionDeleter {
    std::shared_ptr<ActiveConnections> connections;

    void operator()(HttpConnection *connection) const;
};

/** A connection that carries a call. */
using ActiveConnection = std::unique_ptr<HttpConnection, ActiveConnectionDeleter>;

/**
 * A request whose response head has been received. The connection returns to the pool after the complete response was
 * read and is closed in all other cases, so that no remaining bytes can be taken for the response to another request.
 */
class BackendCall
{
public:
    /** @param deadline see BackendPool::CallParameters */
    BackendCall(BackendPool &pool, Endpoint endpoint, ActiveConnection connection, HttpResponseHead head, TimePoint deadline,
        DisconnectSignal &caller);

    // Queries.
    const HttpResponseHead &head() const;
    /** Returns whether the body was ended by the server's close, so that its end alone does not show that it is complete. */
    bool bodyEndedWithConnection() const;

    // Commands.
    /** Reads as HttpConnection::readBody() does. Fails with Cancelled when the caller disconnects. */
    boost::asio::awaitable<Result<bool>> readBody(std::string &piece, Duration timeout);
    /** Reads the rest of a response that nobody needs, for a short time, and returns the connection to the pool if it ends. */
    boost::asio::awaitable<void> discard();
    /** Returns the connection to the pool, after readBody() has returned false. */
    void releaseConnection();
    /** Returns how a failure of readBody() counts against the backend server. */
    boost::asio::awaitable<AttemptOutcome> classifyFailure(Error error);

private:
    BackendPool &pool;
    Endpoint endpoint;
    ActiveConnection connection;
    HttpResponseHead responseHead;
    TimePoint deadline;
    std::unique_ptr<DisconnectSignal::Listener> listener;
};

/**
 * Connection pool for backend servers, used from one executor. A connection carries one request at a time. Idle connections
 * are probed before reuse and closed after a short idle timeout, since a middlebox may have dropped their state. Failures
 * count against a backend server only on a new connection: a request that fails on a reused one is sent again on a new
 * connection to the same server if no byte was written, or if the request is idempotent and the limit on resends allows it.
 *
 * Must outlive its calls and be destroyed before its executor's context.
 */
class BackendPool
{
public:
    using CallResult = std::variant<BackendCall, BackendFailure>;
    using StepHook = std::function<void(RequestStep)>;

    explicit BackendPool(BackendPoolOptions options);

    // Commands.

    /** One request, its destination and its limits. */
    struct CallParameters {
        Endpoint endpoint;
        HttpRequest request;
        bool idempotent = false;
        /** Whether the request was sent before. It gets a new connection, since a kept one may hold a copy of the earlier
         * response. */
        bool isRepetition = false;
        Duration headTimeout = std::chrono::seconds(30); ///< from the last byte sent to the response head
        TimePoint deadline = TimePoint::max(); ///< for the whole call, with what follows on other connections
        /** Takes a resend from a limit, if it has one left; when empty, resends have no limit. */
        std::function<bool()> tryResend;
        /** Matches a response head with the request; when empty, every response is valid. */
        std::function<ResponseCheck(const HttpRequest &sent, const HttpResponseHead &head)> checkResponse;
        /**
         * Called with the head of the called server's response to this request. @p isRejection is true if it proves that the
         * request did not run. May be empty.
         */
        std::function<void(const HttpResponseHead &head, bool isRejection)> onResponseHead;
    };

    /** Sends a request and reads its response head. */
    boost::asio::awaitable<CallResult> call(const CallParameters &order, DisconnectSignal &caller, const StepHook &step);

    /** Lets no call, whether it runs or is made later, go on beyond @p deadline. */
    void limitDeadlines(TimePoint deadline);

    /** Closes connections that were idle for longer than the idle timeout. */
    void closeExpired();

    // Queries.
    std::size_t idleConnectionCount() const;

private:
    friend class BackendCall;

    struct IdleConnection {
        std::unique_ptr<HttpConnection> connection;
        TimePoint usableUntil;
    };

    std::unique_ptr<HttpConnection> takeIdleConnection(const Endpoint &endpoint);
    ActiveConnection activate(std::unique_ptr<HttpConnection> connection);
    void addIdleConnection(const Endpoint &endpoint, ActiveConnection connection, const HttpHeaders &response);
    boost::asio::awaitable<Result<HttpResponseHead>> readMatchingHead(
        HttpConnection &connection, const CallParameters &order, bool isReused);
    void addIfReusable(const Endpoint &endpoint, ActiveConnection connection);
    boost::asio::awaitable<AttemptOutcome> classifyFailure(Error error, bool anyByteSent, Endpoint endpoint, TimePoint deadline);
    /** Returns how long a connection to a server may take to open in a call with that deadline. */
    Duration connectTimeout(TimePoint deadline) const;
    boost::asio::awaitable<CallResult> callOnNewConnection(
        const CallParameters &order, DisconnectSignal &caller, const StepHook &step);
    /** @param isReused whether the connection has carried other requests */
    boost::asio::awaitable<CallResult> callOn(
        ActiveConnection connection, bool isReused, const CallParameters &order, DisconnectSignal &caller, const StepHook &step);

    BackendPoolOptions options;
    std::map<Endpoint, std::deque<IdleConnection>> idleConnections; // most recently used last
    std::shared_ptr<ActiveConnections> activeConnections = std::make_shared<ActiveConnections>();
    TimePoint latestDeadline = TimePoint::max(); // of any call
    TimePoint nextSweep;
};

} // namespace flamingosaddle
