#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstdint>
#include <deque>

namespace flamingosaddle::simulation
{

/**
 * A model engine with continuous batching: every request that runs beside others slows all a little, requests beyond
 * the slots wait inside the engine, higher tiers first.
 */
struct FakeEngine {
    static constexpr double promptTokensPerSecond = 4000.0;
    static constexpr double secondsPerToken = 0.03;
    static constexpr double fullBatchSlowdown = 0.3; ///< of a full engine against an idle one

    std::uint32_t slots = 8;
    double slowness = 1.0; ///< 4 at a quarter of the speed
    bool fails = false; ///< breaks off each request soon after it began
    std::uint32_t running = 0;
    std::deque<std::uint32_t> waiting; ///< requests

    double factor() const
    {
        return this->slowness * (1.0 + fullBatchSlowdown * this->running / this->slots);
    }

    Duration prefill(std::uint32_t promptTokens) const
    {
        const double seconds = 0.05 + promptTokens / promptTokensPerSecond;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * this->factor()));
    }

    Duration generate(std::uint32_t tokens) const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(secondsPerToken * tokens * this->factor()));
    }
};

} // namespace flamingosaddle::simulation
