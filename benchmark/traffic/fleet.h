#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/traffic/capacity.h>

#include <cstdint>
#include <vector>

namespace flamingosaddle::simulation
{

enum class FleetRule {
    Fixed, ///< all servers run all the time
    Planned, ///< as many as CapacityPlanner wants; the emptiest are drained and stopped
    WhenIdle, ///< a server that had nothing to do for a while is stopped
};

/**
 * Which servers run, and what that costs.
 */
class Fleet
{
public:
    static constexpr Duration startTime = std::chrono::seconds(60);
    static constexpr Duration idleTime = std::chrono::seconds(60);

    Fleet(FleetRule rule, std::uint32_t servers, std::uint32_t slots);

    // Commands.

    /** Follows the load, given the requests of each server; answers whether another set of servers takes work. */
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
        TimePoint since; // of the state, or when it last had work
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
