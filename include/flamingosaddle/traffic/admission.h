#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <functional>
#include <optional>

namespace flamingosaddle
{

/**
 * Queue and server state from which the wait of a new request is forecast. Lower tiers are left out because they never delay a
 * higher one.
 */
struct QueueSnapshot {
    double slots = 0.0; ///< slots available to this instance, in use or free, on servers without a rate limit
    double rateLimitedStartsPerSecond = 0.0; ///< starts that the rate limits of the other servers allow
    double freeSlots = 0.0; ///< free slots that the class may use
    double pausedSeconds = 0.0; ///< time until the first server takes requests again if all servers are paused
    std::optional<double> holdSeconds; ///< mean time that a request occupies a slot; empty while unknown
    double higherArrivalsPerSecond = 0.0;
    double higherWaiting = 0.0; ///< waiting requests of higher tiers
    double tierWaiting = 0.0; ///< waiting requests of the same tier that can still meet their targets
    double accountWaiting = 0.0; ///< requests in tierWaiting from the same client account
    double accountLead = 0.0; ///< account's lead over its fair share, in requests
    /** Total weight of the accounts waiting in the tier, this one included, divided by the weight of this account. */
    double weightRatio = 1.0;
    double classWaiting = 0.0; ///< waiting requests of the same class
    double floorShare = 0.0; ///< fraction of starts guaranteed to the class by its floor
    double firstTokenSeconds = 0.0; ///< time from start to first token

    friend bool operator==(const QueueSnapshot &, const QueueSnapshot &) = default;
};

/**
 * Forecast wait of a new request.
 */
struct WaitForecast {
    double waitSeconds = 0.0; ///< time until the request starts
    double firstTokenSeconds = 0.0; ///< time until its first token

    friend bool operator==(const WaitForecast &, const WaitForecast &) = default;
};

/**
 * Forecasts the wait of a new request from the queue's order of service. Slots become free at a rate of `slots / holdSeconds`,
 * plus the rate of starts on rate-limited servers, less the arrival rate of higher tiers. All waiting requests of higher tiers
 * are served first. Within the tier, each request of the same account that is served earlier costs one round over all accounts,
 * up to the number of requests that wait. A floor bounds the wait of its class. The forecast wait is zero when a slot is free or
 * when there are too few measurements.
 */
WaitForecast forecastWait(const QueueSnapshot &snapshot);

/**
 * Decides whether a request may wait, given its forecast and the first-token target of its class.
 */
using AdmissionPolicy = std::function<bool(const WaitForecast &forecast, std::chrono::milliseconds firstTokenTarget)>;

/** Returns whether the forecast meets the first-token target. */
bool meetsTarget(const WaitForecast &forecast, std::chrono::milliseconds firstTokenTarget);

/** Returns the time after which the queue is expected to be short enough to meet the target, from 1 s to 60 s. */
std::chrono::seconds retryAfter(const WaitForecast &forecast, std::chrono::milliseconds firstTokenTarget);

} // namespace flamingosaddle
