#pragma once

#include <flamingosaddle/base/metrics.h>
#include <flamingosaddle/control/controller.h>
#include <flamingosaddle/http/server.h>
#include <flamingosaddle/traffic/coldservers.h>

#include <functional>
#include <vector>

namespace flamingosaddle
{

/**
 * What the admin address needs to know of the traffic side.
 */
struct TrafficStatus {
    std::size_t callerConnections = 0;
    std::size_t activeExchanges = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t rateLimitedServers = 0; ///< backend servers with a known rate limit
    std::vector<ColdServerStatus> coldServers; ///< backend servers that are treated as cold
    std::size_t quarantinedPromptParts = 0;
    bool draining = false;

    friend bool operator==(const TrafficStatus &, const TrafficStatus &) = default;
};

/**
 * Answers the admin address: health, metrics, queries of the control state and the withdrawal of keys. Runs on the control
 * thread, so that it reads control state directly. docs/PROTOCOL.md lists its calls.
 */
class AdminHandler
{
public:
    /** @param inFlight requests that this instance runs at a backend server */
    AdminHandler(Controller &controller, MetricsRegistry &metrics, std::function<TrafficStatus()> trafficStatus,
        std::function<std::uint32_t(const BackendServerId &)> inFlight);

    boost::asio::awaitable<void> handle(HttpExchange &exchange);
    /** Answers whether the instance takes requests, and nothing else. */
    boost::asio::awaitable<void> handleReadiness(HttpExchange &exchange);

private:
    HttpResponse answer(const HttpRequest &request);
    HttpResponse query(const HttpRequest &request) const;
    HttpResponse statusResponse() const;
    HttpResponse readinessResponse() const;
    HttpResponse leasesResponse() const;
    HttpResponse usageResponse() const;
    HttpResponse backendsResponse() const;
    HttpResponse historyResponse() const;
    HttpResponse changeResponse(const ChangeId &id) const;
    HttpResponse withdraw(const HttpRequest &request);

    Controller &controller;
    MetricsRegistry &metrics;
    std::function<TrafficStatus()> trafficStatus;
    std::function<std::uint32_t(const BackendServerId &)> inFlight;
};

} // namespace flamingosaddle
