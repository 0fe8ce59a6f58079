#pragma once

#include <flamingosaddle/traffic/dispatcher.h>

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace flamingosaddle::simulation
{

/**
 * A dispatcher with the servers of one model at the size to come, and one step of its steady state: a prompt is placed by what
 * servers have read and have still to read, another one was read, and a third answer ends.
 */
class PromptLoad
{
public:
    static constexpr std::uint32_t servers = 72; ///< 571 for eight models
    static constexpr std::uint32_t beginnings = 500;

    PromptLoad();

    // Commands.

    /** One request is placed, one is read, one ends. */
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
    std::deque<Ticket> unread;
    std::deque<Ticket> answering;
    Decisions decisions;
    std::vector<PromptRead> reads;
    std::vector<ServiceDemand> demands;
    TimePoint now;
    std::uint64_t steps = 0;
    std::uint64_t startCount = 0;
};

} // namespace flamingosaddle::simulation
