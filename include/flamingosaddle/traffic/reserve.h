#pragma once

#include <cstdint>

namespace flamingosaddle
{

/**
 * What the slots kept free for some tiers depend on.
 */
struct ReserveSituation {
    double startsPerSecond = 0.0; ///< at which slots come free, all of them in use
    double arrivalsPerSecond = 0.0; ///< of the tiers that the slots are kept for
    double slackSeconds = 0.0; ///< that their requests may wait for a slot

    friend bool operator==(const ReserveSituation &, const ReserveSituation &) = default;
};

/**
 * How many slots lower tiers have to leave free, so that of the requests of higher tiers at most missedPart waits longer
 * than its slack.
 *
 * Running requests are never ended for others, so a higher tier waits for the next slot to come free; where an instance
 * has few slots that can take long. The waiting time is that of a queue with one server (arrivals and ends at random),
 * reached only when the reserve is used up: `u^r * u * exp(-(s - a) * slack)` with s starts and a arrivals a second and
 * u = a / s. Where higher tiers take most of the slots anyway, nothing is kept: lower ones then run by floors alone.
 *
 * @param most the answer is never above this
 */
std::uint32_t reservedSlots(const ReserveSituation &situation, std::uint32_t most);

} // namespace flamingosaddle
