#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstdint>
#include <deque>

namespace flamingosaddle::simulation
{

/**
 * Model of an engine with continuous batching: each concurrent request slows all of them slightly. Requests beyond the slots
 * are queued inside the engine, higher tiers first.
 */
struct FakeEngine {
    static constexpr double promptTokensPerSecond = 4000.0;
    static constexpr double secondsPerToken = 0.03;
    static constexpr double fullBatchSlowdown = 0.3; ///< additional time per token of a full engine, relative to an idle one

    std::uint32_t slots = 8;
    double slowdown = 1.0; ///< time factor; 4 is a quarter of the speed
    bool failing = false; ///< closes the connection of each request soon after its start
    std::uint32_t running = 0;
    std::deque<std::uint32_t> waiting; ///< indices of queued requests

    double factor() const
    {
        return this->slowdown * (1.0 + fullBatchSlowdown * this->running / this->slots);
    }

    Duration prefillTime(std::uint32_t promptTokens) const
    {
        const double seconds = 0.05 + promptTokens / promptTokensPerSecond;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * this->factor()));
    }

    Duration generationTime(std::uint32_t tokens) const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(secondsPerToken * tokens * this->factor()));
    }
};

} // namespace flamingosaddle::simulation
