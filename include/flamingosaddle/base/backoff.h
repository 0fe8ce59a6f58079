#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstdint>
#include <random>

namespace flamingosaddle
{

/**
 * Delays between retries: doubled after each failure up to a limit, each one drawn from its upper half, so that instances
 * that failed together do not come back together.
 */
class Backoff
{
public:
    Backoff(Duration first, Duration limit, std::uint64_t seed);

    /** The delay before the next retry; longer with every call until reset(). */
    Duration next();

    /** The last try succeeded. */
    void reset();

private:
    Duration first;
    Duration limit;
    Duration step;
    std::minstd_rand random;
};

} // namespace flamingosaddle
