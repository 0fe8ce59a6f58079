#pragma once

#include <flamingosaddle/traffic/dispatcher.h>

#include <cstdint>
#include <random>
#include <vector>

namespace flamingosaddle::simulation
{

/**
 * A dispatcher at the size to come, with all slots in use and requests waiting, and one step of its steady state: a
 * request ends, another is submitted, and what may start is decided.
 */
class DecisionLoad
{
public:
    static constexpr std::uint32_t accounts = 690;
    static constexpr std::uint32_t servers = 571;
    static constexpr std::uint32_t models = 8;
    static constexpr int tiers = 3;

    /** Builds the dispatcher, fills it and goes on until nothing is met for the first time any more. */
    DecisionLoad();

    // Commands.

    /** One decision: a request ends, one is submitted, or two while too few wait, and one starts. */
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
    void finishOne();

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
