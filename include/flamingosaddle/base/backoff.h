#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstdint>
#include <random>

namespace flamingosaddle
{

/**
 * Computes exponential backoff delays with jitter.
 *
 * The delay doubles after each failure up to a maximum. Each delay is drawn from the upper half of its range, so that
 * instances that failed at the same time do not retry at the same time.
 */
class Backoff
{
public:
    Backoff(Duration first, Duration limit, std::uint64_t seed);

    /** Returns the delay before the next retry. The range doubles with every call until reset(). */
    Duration next();

    /** Returns to the initial delay; called after a successful attempt. */
    void reset();

private:
    Duration initialDelay;
    Duration maxDelay;
    Duration currentDelay;
    std::minstd_rand random;
};

} // namespace flamingosaddle
