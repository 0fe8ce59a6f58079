#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/traffic/fairshares.h>
#include <flamingosaddle/traffic/floors.h>
#include <flamingosaddle/traffic/movingaverage.h>

#include <optional>
#include <vector>

namespace flamingosaddle
{

/**
 * Exponentially decaying event rate per second.
 */
class RateMeter
{
public:
    static constexpr Duration timeConstant = std::chrono::seconds(10);

    // Commands.

    void add(TimePoint now);

    // Queries.

    double perSecond(TimePoint now) const;

private:
    double decayed(TimePoint now) const;

    double decayedCount = 0.0;
    TimePoint lastEventId;
};

/**
 * Statistics of the requests of this instance, on which forecasts are based: slot holding time, time to first token, response
 * length and arrival rate.
 */
class RequestStatistics
{
public:
    static constexpr std::uint64_t minSamples = 10; ///< samples needed before a value is used
    static constexpr double defaultOutputTokens = 200.0;

    // Commands.

    void recordArrival(LaneIndex lane, TimePoint now);
    void recordFirstToken(TargetIndex target, Duration sinceStart);

    /** Records that a request completed with @p tokens after holding its slot for @p held. */
    void recordCompletion(TargetIndex target, ClassIndex requestClass, Duration held, std::uint64_t tokens);

    // Queries.

    /** Returns the mean time that a request holds a slot, or nothing until enough requests have completed. */
    std::optional<double> holdSeconds(TargetIndex target) const;

    /** Returns the mean time from the start on a server to the first token, or 0 while unknown. */
    double firstTokenSeconds(TargetIndex target) const;

    /** Returns a time in which nearly all requests of the class complete on a server, or 0 until one has completed. */
    Duration longHold(ClassIndex requestClass) const;

    double outputTokens(ClassIndex requestClass) const;
    double arrivalsPerSecond(LaneIndex lane, TimePoint now) const;

private:
    struct Target {
        MovingAverage hold{0.05};
        MovingAverage firstToken{0.05};
    };

    // Slot holding times in seconds and their squares.
    struct HoldTimes {
        MovingAverage mean{0.05};
        MovingAverage meanSquare{0.05};
    };

    Target &findOrAddTarget(TargetIndex target);

    std::vector<Target> targets;
    std::vector<HoldTimes> holdTimesByClass; // by class
    std::vector<MovingAverage> outputTokensByClass; // by class
    std::vector<RateMeter> arrivals; // by lane
};

} // namespace flamingosaddle
