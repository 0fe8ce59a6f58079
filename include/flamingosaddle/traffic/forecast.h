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
 * Events per second over the last moments, weighted towards the newest.
 */
class RateMeter
{
public:
    static constexpr Duration horizon = std::chrono::seconds(10);

    // Commands.

    void add(TimePoint now);

    // Queries.

    double perSecond(TimePoint now) const;

private:
    double decayed(TimePoint now) const;

    double level = 0.0;
    TimePoint last;
};

/**
 * What this instance measured of its own requests: how long they hold a slot, how soon the first token comes, how long
 * answers are and how many arrive.
 */
class Forecast
{
public:
    static constexpr std::uint64_t minSamples = 10; ///< below it nothing is known
    static constexpr double unknownOutputTokens = 200.0;

    // Commands.

    void noteArrival(LaneIndex lane, TimePoint now);
    void noteFirstToken(TargetIndex target, Duration sinceStart);

    /** A request ended after it held its slot for @p held and gave @p tokens. */
    void noteEnd(TargetIndex target, ClassIndex requestClass, Duration held, std::uint64_t tokens);

    // Queries.

    /** Seconds that a request holds a slot; nothing while too few have ended. */
    std::optional<double> holdSeconds(TargetIndex target) const;

    /** Seconds from the start on a server to the first token; 0 while unknown. */
    double firstTokenSeconds(TargetIndex target) const;

    double outputTokens(ClassIndex requestClass) const;
    double arrivalsPerSecond(LaneIndex lane, TimePoint now) const;

private:
    struct Target {
        MovingAverage hold{0.05};
        MovingAverage firstToken{0.05};
    };

    Target &targetOf(TargetIndex target);

    std::vector<Target> targets;
    std::vector<MovingAverage> outputs; // by class
    std::vector<RateMeter> arrivals; // by lane
};

} // namespace flamingosaddle
