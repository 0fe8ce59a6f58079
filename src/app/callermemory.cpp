#include <flamingosaddle/app/callermemory.h>

#include <flamingosaddle/base/log.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::size_t bytesPerMegabyte = std::size_t{1024} * 1024;
constexpr std::size_t reservedDescriptors = 200; // for files, as the platform's machines have it
// Of the descriptors, in parts of 32; the rest is for connections to backend servers and the store.
constexpr std::size_t descriptorParts = 32;
constexpr std::size_t callerParts = 12;
constexpr std::size_t instanceParts = 4;
constexpr std::size_t forwardedParts = 2;
constexpr std::size_t operatorParts = 1;
constexpr std::size_t readinessParts = 1;
constexpr std::size_t maxOperatorConnections = 128;
// Bodies at the addresses of which each request is a line or two.
constexpr std::size_t maxOperatorBodyBytes = std::size_t{64} * 1024;
constexpr std::size_t maxReadinessBodyBytes = std::size_t{4} * 1024;
// Beyond the time that an operator gives a head: for the way here, and for a machine that is slow for a moment.
constexpr std::chrono::milliseconds headerAllowance(1500);

std::size_t machineBytes(const Settings &settings)
{
    if (settings.memoryMegabytes > 0) {
        return settings.memoryMegabytes * bytesPerMegabyte;
    }
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    constexpr std::size_t unknownMachine = 512 * bytesPerMegabyte;
    return pages > 0 && pageBytes > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes) : unknownMachine;
}

} // namespace

MemoryLimits memoryLimitsOf(std::size_t memoryBytes, std::size_t maxBodyBytes)
{
    constexpr std::size_t budgetPart = 2;
    constexpr std::size_t reservePart = 8;
    constexpr std::size_t headBytes = bytesPerMegabyte; // of very many fields
    MemoryLimits limits;
    limits.budgetBytes = memoryBytes / budgetPart;
    // A body in chunks grows to twice its size.
    limits.reserveBytes = std::min(2 * maxBodyBytes + headBytes, memoryBytes / reservePart);
    return limits;
}

ConnectionLimits connectionLimitsOf(const Settings &settings, const MemoryLimits &memory)
{
    const std::size_t byMemory = std::max<std::size_t>(memory.budgetBytes / 2 / memory.connectionBytes, 1);
    ConnectionLimits limits;
    limits.callers = std::min(settings.maxConnections, byMemory);
    limits.forwarded = limits.callers;
    limits.instances = PeerServerLimits().maxConnections;
    limits.operators = maxOperatorConnections;
    limits.readiness = maxOperatorConnections;
    if (settings.maxDescriptors == 0) {
        return limits;
    }
    const std::size_t descriptors
        = settings.maxDescriptors > reservedDescriptors ? settings.maxDescriptors - reservedDescriptors : descriptorParts;
    const auto share = [descriptors](std::size_t limit, std::size_t parts) {
        return std::min(limit, std::max<std::size_t>(descriptors * parts / descriptorParts, 1));
    };
    limits.callers = share(limits.callers, callerParts);
    limits.forwarded = share(limits.forwarded, forwardedParts);
    limits.instances = share(limits.instances, instanceParts);
    limits.operators = share(limits.operators, operatorParts);
    limits.readiness = share(limits.readiness, readinessParts);
    return limits;
}

CallerLimits callerLimitsOf(const PublishedLimits &published)
{
    CallerLimits limits;
    limits.maxHeaderBytes = static_cast<std::size_t>(published.maxHeaderBytes);
    limits.maxBodyBytes = static_cast<std::size_t>(published.maxBodyBytes);
    limits.headerTimeout
        = published.headerTimeout.count() > 0 ? Duration(published.headerTimeout + headerAllowance) : Duration::zero();
    limits.idleTimeout = published.idleTimeout;
    return limits;
}

CallerMemory::CallerMemory(const Settings &settings, MetricsRegistry &metrics, boost::asio::io_context &context)
    : metrics(metrics)
    , limits(memoryLimitsOf(machineBytes(settings), settings.maxBodyBytes))
    , connections(connectionLimitsOf(settings, this->limits))
    , guard(std::make_shared<MemoryGuard>(
          this->limits, context, [this](MemoryOwner owner, const std::string &address, std::size_t bytes, MemoryRefusal reason) {
              this->onRefused(owner, address, bytes, reason);
          }))
{
}

HttpServer::Builder &CallerMemory::configure(HttpServer::Builder &builder, HttpServerLimits serverLimits, MemoryOwner owner)
{
    switch (owner) {
    case MemoryOwner::Callers:
        serverLimits.maxConnections = this->connections.callers;
        break;
    case MemoryOwner::Forwarded:
        serverLimits.maxConnections = this->connections.forwarded;
        break;
    case MemoryOwner::Operators:
        serverLimits.maxConnections = this->connections.operators;
        serverLimits.maxBodyBytes = maxOperatorBodyBytes;
        break;
    case MemoryOwner::Readiness:
        serverLimits.maxConnections = this->connections.readiness;
        serverLimits.maxBodyBytes = maxReadinessBodyBytes;
        break;
    case MemoryOwner::Instances:
        break;
    }
    return builder.limits(serverLimits).memory(this->guard, owner).onConnectionClosed([this, owner] {
        this->onConnectionClosed(owner);
    });
}

PeerServerLimits CallerMemory::peerLimits() const
{
    return {this->connections.instances, this->guard};
}

void CallerMemory::onRefused(MemoryOwner owner, const std::string &address, std::size_t bytes, MemoryRefusal reason)
{
    const std::string why(toString(reason));
    this->metrics
        .counter("flamingosaddle_memory_refusals_total", "Requests refused and answers cut off because memory was short.",
            {{"owner", std::string(toString(owner))}, {"reason", why}})
        .add();
    if (this->refusalLimit.mayLog(RuntimeClock::now())) {
        logEvent(LogLevel::Warning, "http", "a connection gives up its memory",
            {{"owner", std::string(toString(owner))}, {"address", address}, {"bytes", std::to_string(bytes)}, {"reason", why},
                {"held_bytes", std::to_string(this->guard->heldBytes())},
                {"budget_bytes", std::to_string(this->limits.budgetBytes)},
                {"paused", std::to_string(this->guard->pausedCount())}});
    }
}

void CallerMemory::onConnectionClosed(MemoryOwner owner)
{
    this->metrics
        .counter("flamingosaddle_connections_displaced_total",
            "Connections closed while they waited for their caller, to make room for new ones.",
            {{"owner", std::string(toString(owner))}})
        .add();
    if (this->closeLimit.mayLog(RuntimeClock::now())) {
        logEvent(LogLevel::Warning, "http", "the connection that waited longest was closed for a new one",
            {{"owner", std::string(toString(owner))}});
    }
}

void CallerMemory::updateMetrics()
{
    constexpr std::array owners{
        MemoryOwner::Callers, MemoryOwner::Forwarded, MemoryOwner::Operators, MemoryOwner::Readiness, MemoryOwner::Instances};
    for (const MemoryOwner owner : owners) {
        this->metrics
            .gauge("flamingosaddle_held_bytes",
                "Bytes of requests, answers and frames held beyond those that each connection "
                "counts for.",
                {{"owner", std::string(toString(owner))}})
            .set(static_cast<double>(this->guard->heldBytes(owner)));
    }
    this->metrics.gauge("flamingosaddle_held_bytes_total", "Bytes held for others, with those that each connection counts for.")
        .set(static_cast<double>(this->guard->heldBytes()));
    this->metrics.gauge("flamingosaddle_memory_budget_bytes", "Bytes that may be held for others.")
        .set(static_cast<double>(this->limits.budgetBytes));
    this->metrics.gauge("flamingosaddle_paused_reads", "Connections whose reading pauses because memory is short.")
        .set(static_cast<double>(this->guard->pausedCount()));
}

} // namespace flamingosaddle
