#include <flamingosaddle/traffic/admission.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

namespace
{

constexpr double minRateFraction = 0.05; // minimum fraction of the start rate assumed to be left by higher tiers
constexpr double minRetrySeconds = 1.0;
constexpr double maxRetrySeconds = 60.0;

double targetSeconds(std::chrono::milliseconds target)
{
    return std::chrono::duration<double>(target).count();
}

} // namespace

WaitForecast forecastWait(const QueueSnapshot &snapshot)
{
    if (snapshot.pausedSeconds > 0.0) {
        return WaitForecast{snapshot.pausedSeconds, snapshot.pausedSeconds + snapshot.firstTokenSeconds};
    }
    const double ahead = snapshot.higherWaiting + snapshot.tierWaiting;
    const bool startsAtOnce = snapshot.freeSlots > ahead;
    const bool isRateUnknown = snapshot.slots > 0.0 && !snapshot.holdSeconds.has_value();
    const double slotStartsPerSecond = snapshot.slots / std::max(snapshot.holdSeconds.value_or(0.0), 1e-3);
    const double startsPerSecond = slotStartsPerSecond + snapshot.rateLimitedStartsPerSecond;
    if (startsAtOnce || isRateUnknown || startsPerSecond <= 0.0) {
        return WaitForecast{0.0, snapshot.firstTokenSeconds};
    }
    const double availableRate = std::max(startsPerSecond - snapshot.higherArrivalsPerSecond, startsPerSecond * minRateFraction);
    const double rounds = snapshot.accountWaiting + snapshot.accountLead;
    const double tierAhead = std::min(snapshot.tierWaiting, rounds * snapshot.weightRatio + snapshot.weightRatio - 1.0);
    double wait = std::max(0.0, snapshot.higherWaiting + tierAhead + 1.0 - snapshot.freeSlots) / availableRate;
    if (snapshot.floorShare > 0.0) {
        wait = std::min(wait, (snapshot.classWaiting + 1.0) / (snapshot.floorShare * startsPerSecond));
    }
    return WaitForecast{wait, wait + snapshot.firstTokenSeconds};
}

bool meetsTarget(const WaitForecast &forecast, std::chrono::milliseconds firstTokenTarget)
{
    // A request that starts immediately cannot be served any sooner.
    return forecast.waitSeconds <= 0.0 || forecast.firstTokenSeconds <= targetSeconds(firstTokenTarget);
}

std::chrono::seconds retryAfter(const WaitForecast &forecast, std::chrono::milliseconds firstTokenTarget)
{
    const double excess = forecast.firstTokenSeconds - targetSeconds(firstTokenTarget);
    return std::chrono::seconds(static_cast<std::int64_t>(std::clamp(std::ceil(excess), minRetrySeconds, maxRetrySeconds)));
}

} // namespace flamingosaddle
