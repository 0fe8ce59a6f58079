#pragma once

#include <flamingosaddle/app/settings.h>
#include <flamingosaddle/base/loglimit.h>
#include <flamingosaddle/base/memoryguard.h>
#include <flamingosaddle/base/metrics.h>
#include <flamingosaddle/http/server.h>
#include <flamingosaddle/peer/peerserver.h>
#include <flamingosaddle/state/publishedconfig.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace flamingosaddle
{

/**
 * Connections that each address of a daemon takes at a time.
 */
struct ConnectionLimits {
    std::size_t callers = 0;
    std::size_t forwarded = 0;
    std::size_t instances = 0;
    std::size_t operators = 0;
    std::size_t readiness = 0;

    friend bool operator==(const ConnectionLimits &, const ConnectionLimits &) = default;
};

/** Returns what may be held for others on a machine of @p memoryBytes whose longest body has @p maxBodyBytes. */
MemoryLimits memoryLimitsOf(std::size_t memoryBytes, std::size_t maxBodyBytes);

/** Divides the descriptors and the memory of the machine among the addresses. */
ConnectionLimits connectionLimitsOf(const Settings &settings, const MemoryLimits &memory);

/** Returns the limits that a configuration sets; those that it doesn't set are zero. */
CallerLimits callerLimitsOf(const PublishedLimits &published);

/**
 * The memory and the descriptors that a daemon spends on callers and other instances: their limits, log and metrics.
 */
class CallerMemory
{
public:
    static constexpr std::uint32_t maxLines = 5; ///< of each kind, a second

    /** @param context runs the reviews of the account */
    CallerMemory(const Settings &settings, MetricsRegistry &metrics, boost::asio::io_context &context);

    // Commands.
    /** Sets up a server at the address of @p owner. */
    HttpServer::Builder &configure(HttpServer::Builder &builder, HttpServerLimits limits, MemoryOwner owner);
    /** Sets the gauges to their present values. */
    void updateMetrics();

    // Queries.
    PeerServerLimits peerLimits() const;

private:
    void onRefused(MemoryOwner owner, const std::string &address, std::size_t bytes, MemoryRefusal reason);
    void onConnectionClosed(MemoryOwner owner);

    MetricsRegistry &metrics;
    MemoryLimits limits;
    ConnectionLimits connections;
    LogLimit refusalLimit{maxLines, "http", "refusals for want of memory were not logged"};
    LogLimit closeLimit{maxLines, "http", "closed connections were not logged"};
    std::shared_ptr<MemoryGuard> guard;
};

} // namespace flamingosaddle
