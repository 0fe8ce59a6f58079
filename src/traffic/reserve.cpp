#include <flamingosaddle/traffic/reserve.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

namespace
{

constexpr double maxMissedFraction = 0.0005; // accepted fraction of requests of higher tiers that wait longer than their slack
constexpr double maxUtilisation = 0.8; // utilisation by higher tiers above which nothing is reserved

} // namespace

std::uint32_t reservedSlots(const ReserveInputs &inputs, std::uint32_t limit)
{
    if (inputs.startsPerSecond <= 0.0 || inputs.arrivalsPerSecond <= 0.0) {
        return 0;
    }
    const double utilisation = inputs.arrivalsPerSecond / inputs.startsPerSecond;
    if (utilisation >= maxUtilisation) {
        return 0;
    }
    const double spareRate = inputs.startsPerSecond - inputs.arrivalsPerSecond;
    const double missedWithoutReserve = utilisation * std::exp(-spareRate * std::max(0.0, inputs.slackSeconds));
    if (missedWithoutReserve <= maxMissedFraction) {
        return 0;
    }
    const double slots = std::ceil(std::log(maxMissedFraction / missedWithoutReserve) / std::log(utilisation));
    return std::min(limit, static_cast<std::uint32_t>(std::min(slots, static_cast<double>(limit))));
}

} // namespace flamingosaddle
