#include <flamingosaddle/traffic/reserve.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

namespace
{

constexpr double missedPart = 0.0005; // of the higher tiers' requests
constexpr double mostUse = 0.8; // by the higher tiers, above which nothing is kept for them

} // namespace

std::uint32_t reservedSlots(const ReserveSituation &situation, std::uint32_t most)
{
    if (situation.startsPerSecond <= 0.0 || situation.arrivalsPerSecond <= 0.0) {
        return 0;
    }
    const double use = situation.arrivalsPerSecond / situation.startsPerSecond;
    if (use >= mostUse) {
        return 0;
    }
    const double spare = situation.startsPerSecond - situation.arrivalsPerSecond;
    const double missedWithout = use * std::exp(-spare * std::max(0.0, situation.slackSeconds));
    if (missedWithout <= missedPart) {
        return 0;
    }
    const double slots = std::ceil(std::log(missedPart / missedWithout) / std::log(use));
    return std::min(most, static_cast<std::uint32_t>(std::min(slots, static_cast<double>(most))));
}

} // namespace flamingosaddle
