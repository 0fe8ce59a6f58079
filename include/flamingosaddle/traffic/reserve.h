#pragma once

#include <cstdint>

namespace flamingosaddle
{

/**
 * Rates and slack from which the reserve for some tiers is calculated.
 */
struct ReserveInputs {
    double startsPerSecond = 0.0; ///< rate at which slots become free when all are in use
    double arrivalsPerSecond = 0.0; ///< arrival rate of the tiers for which slots are reserved
    double slackSeconds = 0.0; ///< time that their requests may wait for a slot

    friend bool operator==(const ReserveInputs &, const ReserveInputs &) = default;
};

/**
 * Returns the number of slots that lower tiers must leave free so that at most a fraction maxMissedFraction of the requests of
 * higher tiers waits longer than its slack.
 *
 * Running requests are never preempted, so a higher tier waits for the next slot to become free, which can take long if an
 * instance has few slots. The wait is modelled as that of an M/M/1 queue (random arrivals and ends, one server) that is entered
 * only when the reserve is used up: `u^r * u * exp(-(s - a) * slack)` with s starts and a arrivals per second, u = a / s and r
 * reserved slots. If higher tiers use most of the slots anyway, nothing is reserved and lower tiers run only through their
 * floors.
 *
 * @param limit upper bound of the result
 */
std::uint32_t reservedSlots(const ReserveInputs &inputs, std::uint32_t limit);

} // namespace flamingosaddle
