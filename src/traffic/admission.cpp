#include <flamingosaddle/traffic/admission.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

namespace
{

constexpr double minRatePart = 0.05; // of the rate of starts that higher tiers are taken to leave
constexpr double minRetrySeconds = 1.0;
constexpr double maxRetrySeconds = 60.0;

double targetSeconds(std::chrono::milliseconds target)
{
    return std::chrono::duration<double>(target).count();
}

} // namespace

WaitForecast forecastWait(const QueueSituation &situation)
{
    const double ahead = situation.higherWaiting + situation.tierWaiting;
    const bool startsAtOnce = situation.freeSlots > ahead;
    if (startsAtOnce || !situation.holdSeconds.has_value() || situation.slots <= 0.0) {
        return WaitForecast{0.0, situation.firstTokenSeconds};
    }
    const double startsPerSecond = situation.slots / std::max(*situation.holdSeconds, 1e-3);
    const double left = std::max(startsPerSecond - situation.higherArrivalsPerSecond, startsPerSecond * minRatePart);
    const double rounds = situation.ownWaiting + situation.ownLead;
    const double tierAhead = std::min(situation.tierWaiting, rounds * situation.weightRatio + situation.weightRatio - 1.0);
    double wait = std::max(0.0, situation.higherWaiting + tierAhead + 1.0 - situation.freeSlots) / left;
    if (situation.floorShare > 0.0) {
        wait = std::min(wait, (situation.classWaiting + 1.0) / (situation.floorShare * startsPerSecond));
    }
    return WaitForecast{wait, wait + situation.firstTokenSeconds};
}

bool meetsTarget(const WaitForecast &forecast, std::chrono::milliseconds firstTokenTarget)
{
    // A request that starts at once has the best chance it can get.
    return forecast.waitSeconds <= 0.0 || forecast.firstTokenSeconds <= targetSeconds(firstTokenTarget);
}

std::chrono::seconds retryAfter(const WaitForecast &forecast, std::chrono::milliseconds firstTokenTarget)
{
    const double excess = forecast.firstTokenSeconds - targetSeconds(firstTokenTarget);
    return std::chrono::seconds(static_cast<std::int64_t>(std::clamp(std::ceil(excess), minRetrySeconds, maxRetrySeconds)));
}

} // namespace flamingosaddle
