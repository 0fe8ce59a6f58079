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
enum class FleetRule {
    Fixed, ///< all servers run all the time
    Planned, ///< as many as CapacityPlanner wants; the least loaded are drained and stopped
    WhenIdle, ///< a server that was idle for Fleet::idleTimeout is stopped
};

/**
 * Power states of the simulated servers and their accumulated running time.
 */
class Fleet
{
public:
    static constexpr Duration startTime = std::chrono::seconds(60);
    static constexpr Duration idleTime = std::chrono::seconds(60);

    Fleet(FleetRule rule, std::uint32_t servers, std::uint32_t slots);

    // Commands.

    /** Starts and stops servers according to the load. Returns whether the set of servers that accept requests changed. */
    bool tick(const std::vector<std::uint32_t> &inFlight, std::uint32_t waiting, TimePoint now);

    // Queries.

    bool takesWork(std::uint32_t server) const
    {
        return this->servers[server].power == Power::On;
    }

    double serverSeconds() const
    {
        return this->spent;
    }

private:
    enum class Power {
        Off,
        Starting,
        On,
        Draining,
    };

    struct Server {
        Power power = Power::On;
        TimePoint since; // start of the state, or when it last had a request
    };

    void spend(TimePoint now);
    void settle(const std::vector<std::uint32_t> &inFlight, TimePoint now);
    void followPlan(const std::vector<std::uint32_t> &inFlight, std::uint32_t waiting, TimePoint now);
    void stopIdle(const std::vector<std::uint32_t> &inFlight, std::uint32_t waiting, TimePoint now);
    void startOne(TimePoint now);
    void drainEmptiest(const std::vector<std::uint32_t> &inFlight, TimePoint now);
    std::uint32_t count(Power power) const;
    void change(Server &server, Power power, TimePoint now);

    FleetRule rule;
    std::uint32_t slots;
    std::vector<Server> servers;
    CapacityPlanner planner;
    TimePoint last;
    double spent = 0.0;
    bool changed = false;
};

} // namespace flamingosaddle::simulation
