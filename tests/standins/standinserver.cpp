#include "standinserver.h"

#include "json.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace flamingosaddle::standins
{

namespace
{

HttpServerLimits generousLimits()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = 64UL * 1024 * 1024;
    limits.idleTimeout = std::chrono::hours(1);
    limits.writeTimeout = std::chrono::hours(1);
    return limits;
}

/**
 * Turns a body that lacks a field, or has it with a wrong type, into an answer.
 */
boost::asio::awaitable<void> answerFaultyBodies(HttpHandler handler, HttpExchange &exchange)
{
    std::string problem;
    try {
        co_await handler(exchange);
        co_return;
    } catch (const Json::exception &exception) {
        problem = exception.what();
    }
    if (!exchange.isStarted()) {
        const Result<void> ignored = co_await exchange.respond(errorResponse(400, "invalid_request", problem));
    }
}

} // namespace

int runStandin(const Endpoint &endpoint, HttpHandler handler)
{
    boost::asio::io_context context(1);
    auto server = HttpServer::Builder()
                      .listenOn(endpoint)
                      .limits(generousLimits())
                      .contexts({&context})
                      .errorResponse([](const Error &error) {
                          return errorResponse(400, toString(error.kind()), error.text());
                      })
                      .handler([handler = std::move(handler)](HttpExchange &exchange) {
                          return answerFaultyBodies(handler, exchange);
                      })
                      .start();
    if (server.has_error()) {
        std::cerr << server.error().text() << std::endl;
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&server](const boost::system::error_code &, int) {
        server.value()->stop();
    });
    std::cout << "listening " << server.value()->localEndpoint().text() << std::endl;
    context.run();
    return 0;
}

HttpResponse errorResponse(int status, const std::string &kind, const std::string &message)
{
    const Json body = {{"error", {{"kind", kind}, {"message", message}}}};
    return jsonResponse(status, body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

} // namespace flamingosaddle::standins
