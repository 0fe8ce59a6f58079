#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/memoryguard.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/http/message.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace flamingosaddle
{

/**
 * Limits on what one connection may send and how slowly.
 */
struct HttpServerLimits {
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maxHeldBackBytes = std::size_t{8} * 1024 * 1024; ///< of an answer that is kept until it is whole (HTTP/1.0)
    std::size_t maxConnections = 4096;
    Duration headerTimeout = std::chrono::seconds(10); ///< from the first byte of a request to the end of its header
    Duration bodyTimeout = std::chrono::seconds(30); ///< from the end of the header to the end of the body
    Duration idleTimeout = std::chrono::seconds(120); ///< between two requests of one connection
    Duration writeTimeout = std::chrono::seconds(30); ///< for the caller to take one piece of the answer

    friend bool operator==(const HttpServerLimits &, const HttpServerLimits &) = default;
};

/**
 * One request and its answer on a connection. Lives as long as the handler's coroutine; used from the connection's
 * executor only, but for abort(), which any thread may call through the handle of abortHandle().
 */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    // Queries.
    virtual const HttpRequest &request() const = 0;
    /** Returns when the last byte of the request was received, which may be long before the answer to the request before it. */
    virtual TimePoint receivedAt() const = 0;
    virtual bool isStarted() const = 0; ///< whether a byte of the answer may have been written
    virtual bool isPeerGone() const = 0; ///< whether the caller closed the connection

    // Commands. A failed write means that the caller is gone; the exchange then takes no more.
    virtual boost::asio::awaitable<Result<void>> respond(HttpResponse response) = 0;
    virtual boost::asio::awaitable<Result<void>> beginStream(int status, HttpHeaders headers) = 0;
    /** Writes @p piece as one chunk. */
    virtual boost::asio::awaitable<Result<void>> writePiece(std::string_view piece) = 0;
    /** Writes the end mark. A stream that is not ended reaches the caller as a broken one. */
    virtual boost::asio::awaitable<Result<void>> endStream() = 0;
    /** Closes the connection after this exchange instead of keeping it alive. */
    virtual void closeAfter() = 0;
    /**
     * Called once, on the connection's executor, when the caller closes the connection while the handler runs or when
     * abort() is called.
     */
    virtual void onGone(std::function<void()> handler) = 0;
    /**
     * A function that closes the connection at once, from any thread, and does nothing once the connection has ended.
     */
    virtual std::function<void()> abortHandle() = 0;
    /**
     * What a handler keeps on the connection from one exchange to the next; destroyed with the connection.
     */
    virtual std::shared_ptr<void> &connectionState() = 0;
    /**
     * Records that the handler keeps @p bytes of an answer that is not written yet. Returns whether it may keep more; if not, it
     * should write what it has.
     */
    virtual bool holdAnswer(std::size_t bytes)
    {
        static_cast<void>(bytes);
        return true;
    }
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

/**
 * What a server decides on the head of a request whose body is still to come.
 */
struct HeadDecision {
    std::optional<HttpResponse> refusal; ///< answered at once, without reading the body
    std::string clientAccount; ///< that the request belongs to; empty if it is not known

    HeadDecision() = default;
};

using HeadCheck = std::function<HeadDecision(const HttpRequest &head)>;

/**
 * Limits that an operator can change while the server runs.
 */
struct CallerLimits {
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    Duration headerTimeout = Duration::zero();
    Duration idleTimeout = Duration::zero();

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/**
 * Accepts connections on one address and runs the handler once for each request. Malformed, oversized and slow requests
 * are answered by the server itself through the errorResponse hook and the connection is closed.
 */
class HttpServer
{
public:
    class Builder;

    virtual ~HttpServer() = default;

    // Queries.
    virtual Endpoint localEndpoint() const = 0;
    virtual std::size_t connectionCount() const = 0;
    virtual std::size_t activeExchangeCount() const = 0;
    /** Returns whether a drain has ended: nothing listens any more, and every connection that was accepted is closed. */
    virtual bool isDrained() const = 0;

    // Commands; any thread.
    /** Goes on accepting and serving, but closes each connection after its next answer. */
    virtual void announceDrain() = 0;
    /** Stops accepting, closes idle connections and closes each other one after its exchange. */
    virtual void drain() = 0;
    /** Closes everything at once. */
    virtual void stop() = 0;
    /** Replaces the limits, for requests that begin from now on. Those that are zero stay as they are. */
    virtual void setCallerLimits(const CallerLimits &limits) = 0;
};

class HttpServer::Builder
{
public:
    Builder &listenOn(Endpoint endpoint); ///< port 0 takes a free one
    Builder &limits(HttpServerLimits limits);
    Builder &handler(HttpHandler handler);
    /** Turns an error of the server itself (malformed, too large, timeout) into its answer. */
    Builder &errorResponse(std::function<HttpResponse(const Error &)> hook);
    /** Called with the head of a request whose body does not come with it, on the connection's executor. */
    Builder &headCheck(HeadCheck check);
    /**
     * Lets the server close the connection that waits longest for its caller, for a new one at the limit of connections, and
     * calls
     * @p hook then, on any thread. Without it, or if all connections carry requests, the new one is turned away.
     */
    Builder &onConnectionClosed(std::function<void()> hook);
    /** Accounts for the memory of all connections. Servers without a guard have no limit on them together. */
    Builder &memory(std::shared_ptr<MemoryGuard> guard, MemoryOwner owner);
    /**
     * The contexts that connections are spread over, one thread each. The caller runs them and keeps them alive longer
     * than the server.
     */
    Builder &contexts(std::vector<boost::asio::io_context *> contexts);

    /** Binds and starts. Fails with InvalidSetting when the address cannot be bound. */
    Result<std::unique_ptr<HttpServer>> start();

private:
    Endpoint endpoint;
    HttpServerLimits serverLimits;
    HttpHandler requestHandler;
    std::function<HttpResponse(const Error &)> errorHook;
    std::function<void()> closedHook;
    HeadCheck checkHead;
    std::shared_ptr<MemoryGuard> memoryGuard;
    MemoryOwner memoryOwner = MemoryOwner::Callers;
    std::vector<boost::asio::io_context *> executionContexts;
};

} // namespace flamingosaddle
