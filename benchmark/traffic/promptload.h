#pragma once

#include <flamingosaddle/traffic/dispatcher.h>

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace flamingosaddle::simulation
{

/**
 * Steady-state load on a dispatcher with the servers of one model at the planned deployment size. In each step one prompt is
 * placed by the servers' cached prefixes and prefill backlogs, another prefill completes, and a third response ends.
 */
class PromptLoad
{
public:
    static constexpr std::uint32_t servers = 72; ///< 571 for eight models
    static constexpr std::uint32_t prefixCount = 500;

    PromptLoad();

    // Commands.

    /** Runs one step: one request is placed, one prefill completes, one request completes. */
    void step();

    // Queries.

    std::uint64_t starts() const
    {
        return this->startCount;
    }

private:
    Dispatcher dispatcher;
    std::mt19937_64 random;
    std::vector<RequestProfile> profiles; // by tier
    std::deque<Ticket> prefilling;
    std::deque<Ticket> generating;
    Decisions decisions;
    std::vector<PromptPrefill> prefills;
    std::vector<ServiceDemand> demands;
    TimePoint now;
    std::uint64_t steps = 0;
    std::uint64_t startCount = 0;
};

} // namespace flamingosaddle::simulation
