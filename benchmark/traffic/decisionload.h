#pragma once

#include <flamingosaddle/traffic/dispatcher.h>

#include <cstdint>
#include <random>
#include <vector>

namespace flamingosaddle::simulation
{

/**
 * Steady-state load on a dispatcher of the planned deployment size, with all slots in use and a backlog of requests. In each
 * step a request completes, another one is submitted, and waiting requests are dispatched.
 */
class DecisionLoad
{
public:
    static constexpr std::uint32_t accounts = 690;
    static constexpr std::uint32_t servers = 571;
    static constexpr std::uint32_t models = 8;
    static constexpr int tiers = 3;

    /** Builds and fills the dispatcher, then runs it until its tables have reached their final size. */
    DecisionLoad();

    // Commands.

    /** Runs one decision: one request completes, one is submitted (two while the backlog is short), and one starts. */
    void step();

    // Queries.

    std::uint64_t starts() const
    {
        return this->startCount;
    }

    std::size_t waiting() const
    {
        return this->dispatcher.waitingCount();
    }

private:
    void addServers();
    void addProfiles();
    void submit();
    void dispatch();
    void finishRandomRequest();

    Dispatcher dispatcher;
    std::mt19937_64 random;
    std::vector<RequestProfile> profiles;
    std::vector<Ticket> running;
    Decisions decisions;
    TimePoint now;
    std::uint64_t startCount = 0;
    std::size_t nextProfile = 0;
};

} // namespace flamingosaddle::simulation
