#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstdint>

namespace flamingosaddle
{

/**
 * What it costs to use a server in another data centre, as the time by which its first token would have to be earlier.
 */
struct DistanceCost {
    Duration time = std::chrono::seconds(0); ///< for each request
    Duration timePerMegabyte = std::chrono::seconds(0); ///< for the bytes of prompt and answer

    /** Returns the cost of a request whose prompt and answer have so many tokens. */
    Duration of(std::uint32_t promptTokens, std::uint32_t outputTokens) const;

    friend bool operator==(const DistanceCost &, const DistanceCost &) = default;
};

} // namespace flamingosaddle
