#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <functional>
#include <optional>

namespace flamingosaddle
{

/**
 * What the wait of a new request depends on. Lower tiers appear in it nowhere: they do not make a higher one late.
 */
struct QueueSituation {
    double slots = 0.0; ///< slots that the instance fills at its target, those that are free included
    double freeSlots = 0.0; ///< that the class may use
    std::optional<double> holdSeconds; ///< for which a request holds a slot; nothing while unknown
    double higherArrivalsPerSecond = 0.0;
    double higherWaiting = 0.0; ///< requests of higher tiers
    double tierWaiting = 0.0; ///< requests of the same tier that can still meet their targets
    double ownWaiting = 0.0; ///< of these, of the same client account
    double ownLead = 0.0; ///< requests by which the account is ahead of its share
    double weightRatio = 1.0; ///< weights of all accounts that wait in the tier, this one's included, by its own
    double classWaiting = 0.0; ///< requests of the same class
    double floorShare = 0.0; ///< fraction of the starts that the class's floor earns
    double firstTokenSeconds = 0.0; ///< from the start to the first token

    friend bool operator==(const QueueSituation &, const QueueSituation &) = default;
};

/**
 * Forecasts of a new request's wait.
 */
struct WaitForecast {
    double waitSeconds = 0.0; ///< until it starts
    double firstTokenSeconds = 0.0; ///< until its first token

    friend bool operator==(const WaitForecast &, const WaitForecast &) = default;
};

/**
 * The wait under the queue's order of service. Slots come free at `slots / holdSeconds`; arrivals of higher tiers take
 * theirs off. Ahead are all waiting requests of higher tiers and, in its tier, one round of all accounts for each
 * request of its own account before it, but never more than wait. A class with a floor waits no longer than its floor
 * takes. Nothing is forecast while too little was measured or a slot is free.
 */
WaitForecast forecastWait(const QueueSituation &situation);

/**
 * Whether a request may wait, given its forecast and its class's target for the first token.
 */
using AdmitRequest = std::function<bool(const WaitForecast &forecast, std::chrono::milliseconds firstTokenTarget)>;

/** Admits what is forecast to meet the target. */
bool meetsTarget(const WaitForecast &forecast, std::chrono::milliseconds firstTokenTarget);

/** When to come back: once the queue will have shrunk enough to meet the target; 1 s to 60 s. */
std::chrono::seconds retryAfter(const WaitForecast &forecast, std::chrono::milliseconds firstTokenTarget);

} // namespace flamingosaddle
