#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/traffic/capacity.h>

#include <cstdint>
#include <vector>

namespace flamingosaddle::simulation
{

/**
 * How servers are started and stopped.
 */
enum class ScalingPolicy {
    Fixed, ///< all servers run all the time
    Planned, ///< as many as CapacityPlanner wants; the least loaded are drained and stopped
    StopWhenIdle, ///< a server that was idle for Fleet::idleTimeout is stopped
};

/**
 * PowerState states of the simulated servers and their accumulated running time.
 */
class Fleet
{
public:
    static constexpr Duration startupTime = std::chrono::seconds(60);
    static constexpr Duration idleTimeout = std::chrono::seconds(60);

    Fleet(ScalingPolicy rule, std::uint32_t servers, std::uint32_t slots);

    // Commands.

    /** Starts and stops servers according to the load. Returns whether the set of servers that accept requests changed. */
    bool tick(const std::vector<std::uint32_t> &inFlight, std::uint32_t waiting, TimePoint now);

    // Queries.

    bool acceptsRequests(std::uint32_t server) const
    {
        return this->servers[server].state == PowerState::On;
    }

    double serverSeconds() const
    {
        return this->totalServerSeconds;
    }

private:
    enum class PowerState {
        Off,
        Starting,
        On,
        Draining,
    };

    struct Server {
        PowerState state = PowerState::On;
        TimePoint since; // start of the state, or when it last had a request
    };

    void accumulateServerSeconds(TimePoint now);
    void updateStates(const std::vector<std::uint32_t> &inFlight, TimePoint now);
    void applyPlan(const std::vector<std::uint32_t> &inFlight, std::uint32_t waiting, TimePoint now);
    void stopIdleServers(const std::vector<std::uint32_t> &inFlight, std::uint32_t waiting, TimePoint now);
    void startServer(TimePoint now);
    void drainLeastLoaded(const std::vector<std::uint32_t> &inFlight, TimePoint now);
    std::uint32_t countInState(PowerState state) const;
    void setState(Server &server, PowerState state, TimePoint now);

    ScalingPolicy policy;
    std::uint32_t slots;
    std::vector<Server> servers;
    CapacityPlanner planner;
    TimePoint lastTick;
    double totalServerSeconds = 0.0;
    bool serversChanged = false;
};

} // namespace flamingosaddle::simulation
