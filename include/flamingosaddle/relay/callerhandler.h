#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/base/trace.h>
#include <flamingosaddle/control/routingsnapshot.h>
#include <flamingosaddle/http/server.h>
#include <flamingosaddle/relay/asyncdispatcher.h>
#include <flamingosaddle/relay/backendpool.h>
#include <flamingosaddle/relay/callerhooks.h>
#include <flamingosaddle/relay/connectionregistry.h>
#include <flamingosaddle/relay/protocoladapter.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * Timeouts and limits of the proxied exchange between a caller and a backend server.
 */
struct CallerOptions {
    BackendPoolOptions pool;
    Duration headTimeout = std::chrono::seconds(30); ///< for the response head of streams and services
    Duration progressTimeout = std::chrono::seconds(15); ///< between two reads of a response body
    Duration freshnessLimit = std::chrono::seconds(5); ///< of the configuration; used to compute its age for logs
    bool closeOnKeyWithdrawal = true; ///< whether withdrawing a key aborts its exchanges in flight
    std::size_t maxBufferedResponseBytes = std::size_t{4} * 1024 * 1024; ///< larger responses are streamed
    InstanceId instance; ///< name of this instance towards the peers that it forwards requests to

    friend bool operator==(const CallerOptions &, const CallerOptions &) = default;
};

/**
 * Handles callers' requests end to end: routing, authentication, request class, idempotency claim, queueing for a backend
 * server and relaying of the response. Every refusal has the OpenAI error format, a remedy and the request's run state.
 *
 * Must outlive the server whose requests it handles and be destroyed before the contexts.
 */
class CallerHandler
{
public:
    class Builder;

    ~CallerHandler();
    CallerHandler(const CallerHandler &) = delete;
    CallerHandler &operator=(const CallerHandler &) = delete;

    /** Handles one exchange. Runs on one of the builder's contexts. */
    boost::asio::awaitable<void> handle(HttpExchange &exchange) const;

    /** Handles one exchange with a peer that forwards a caller's request. Runs on one of the builder's contexts. */
    boost::asio::awaitable<void> handleForwarded(HttpExchange &exchange) const;

    /**
     * Lets no exchange with a backend server or a peer, and no wait for a decision of the platform, go on beyond @p deadline, so
     * that the callers get an answer then. Any thread.
     */
    void limitDeadlines(TimePoint deadline);

    /** Decides on the head of a request whose body is still to come: answers those that no route or no key admits. */
    HeadDecision checkHead(const HttpRequest &head) const;

    /** Returns handle() as a handler for HttpServer. */
    HttpHandler handler() const;
    /** Returns handleForwarded() as a handler for the HttpServer that only peers reach. */
    HttpHandler forwardedHandler() const;

private:
    class Implementation;
    explicit CallerHandler(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

/**
 * Builds a CallerHandler. Objects that are passed by pointer must outlive the handler.
 */
class CallerHandler::Builder
{
public:
    Builder &snapshots(const SharedRoutingSnapshot *board);
    Builder &dispatcher(AsyncDispatcher *dispatcher);
    Builder &connections(ConnectionRegistry *keys);
    /** Sets the protocol between callers and backend servers. */
    Builder &adapter(ProtocolAdapter interface);
    Builder &options(CallerOptions options);
    Builder &hooks(CallerHooks hooks);
    Builder &tracer(Tracer tracer);
    /** Sets the contexts of the server whose requests are handled; each is run by one thread. */
    Builder &contexts(std::vector<boost::asio::io_context *> contexts);

    /** Builds the handler. Fails with Internal when a required object is missing. */
    Result<std::unique_ptr<CallerHandler>> build();

private:
    const SharedRoutingSnapshot *routingSnapshots = nullptr;
    AsyncDispatcher *asyncDispatcher = nullptr;
    ConnectionRegistry *connectionRegistry = nullptr;
    ProtocolAdapter protocolAdapter;
    CallerOptions callerOptions;
    CallerHooks callerHooks;
    Tracer requestTracer;
    std::vector<boost::asio::io_context *> executionContexts;
};

} // namespace flamingosaddle
