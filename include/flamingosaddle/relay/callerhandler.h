#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/base/trace.h>
#include <flamingosaddle/control/routingsnapshot.h>
#include <flamingosaddle/http/server.h>
#include <flamingosaddle/relay/backendpool.h>
#include <flamingosaddle/relay/callerhooks.h>
#include <flamingosaddle/relay/callerinterface.h>
#include <flamingosaddle/relay/keyregistry.h>
#include <flamingosaddle/relay/trafficgate.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * Limits of the way between a caller and a backend server.
 */
struct CallerOptions {
    BackendPoolOptions pool;
    Duration headTimeout = std::chrono::seconds(30); ///< for a backend server to begin a streamed or a service's answer
    Duration pieceTimeout = std::chrono::seconds(15); ///< between two pieces of an answer
    Duration freshnessLimit = std::chrono::seconds(5); ///< of a configuration; to tell its age in logs
    bool cutsWithdrawnKeys = true; ///< whether a withdrawn key ends the exchanges that run with it
    std::size_t maxBufferedAnswerBytes = std::size_t{4} * 1024 * 1024; ///< a larger answer is passed on as it comes

    friend bool operator==(const CallerOptions &, const CallerOptions &) = default;
};

/**
 * Serves callers' requests from end to end: route, key, class, claim, wait for a backend server, relay of the answer. Every
 * refusal has the OpenAI error shape, says what to do, and says truly whether the request can have run.
 *
 * Outlives the server that it handles requests for; destroyed before the contexts.
 */
class CallerHandler
{
public:
    class Builder;

    ~CallerHandler();
    CallerHandler(const CallerHandler &) = delete;
    CallerHandler &operator=(const CallerHandler &) = delete;

    /** Handles one exchange, on one of the contexts that were given to the builder. */
    boost::asio::awaitable<void> handle(HttpExchange &exchange) const;

    /** handle() as an HttpServer takes it. */
    HttpHandler handler() const;

private:
    class Implementation;
    explicit CallerHandler(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

/**
 * The objects that are passed by pointer have to outlive the handler.
 */
class CallerHandler::Builder
{
public:
    Builder &board(const SnapshotBoard *board);
    Builder &gate(TrafficGate *gate);
    Builder &keys(KeyRegistry *keys);
    /** How callers and backend servers speak. */
    Builder &interface(CallerInterface interface);
    Builder &options(CallerOptions options);
    Builder &hooks(CallerHooks hooks);
    Builder &tracer(Tracer tracer);
    /** The contexts of the server whose requests are handled; one thread each. */
    Builder &contexts(std::vector<boost::asio::io_context *> contexts);

    /** Fails with Internal when an object that is needed was not given. */
    Result<std::unique_ptr<CallerHandler>> build();

private:
    const SnapshotBoard *snapshotBoard = nullptr;
    TrafficGate *trafficGate = nullptr;
    KeyRegistry *keyRegistry = nullptr;
    CallerInterface callerInterface;
    CallerOptions callerOptions;
    CallerHooks callerHooks;
    Tracer requestTracer;
    std::vector<boost::asio::io_context *> executionContexts;
};

} // namespace flamingosaddle
