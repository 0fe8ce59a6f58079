#include <flamingosaddle/traffic/requeststatistics.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

namespace
{

// Of holding times above their mean; one request in forty takes longer if they are spread normally.
constexpr double longHoldDeviations = 2.0;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void RateMeter::add(TimePoint now)
{
    this->decayedCount = this->decayed(now) + 1.0;
    this->lastEventId = now;
}

double RateMeter::perSecond(TimePoint now) const
{
    return this->decayed(now) / secondsOf(timeConstant);
}

double RateMeter::decayed(TimePoint now) const
{
    return this->decayedCount * std::exp(-secondsOf(now - this->lastEventId) / secondsOf(timeConstant));
}

void RequestStatistics::recordArrival(LaneIndex lane, TimePoint now)
{
    if (lane >= this->arrivals.size()) {
        this->arrivals.resize(lane + 1);
    }
    this->arrivals[lane].add(now);
}

void RequestStatistics::recordFirstToken(TargetIndex target, Duration sinceStart)
{
    this->findOrAddTarget(target).firstToken.add(secondsOf(sinceStart));
}

void RequestStatistics::recordCompletion(TargetIndex target, ClassIndex requestClass, Duration held, std::uint64_t tokens)
{
    this->findOrAddTarget(target).hold.add(secondsOf(held));
    if (requestClass >= this->holdTimesByClass.size()) {
        this->holdTimesByClass.resize(requestClass + 1);
    }
    this->holdTimesByClass[requestClass].mean.add(secondsOf(held));
    this->holdTimesByClass[requestClass].meanSquare.add(secondsOf(held) * secondsOf(held));
    if (requestClass >= this->outputTokensByClass.size()) {
        this->outputTokensByClass.resize(requestClass + 1, MovingAverage(0.05));
    }
    this->outputTokensByClass[requestClass].add(static_cast<double>(tokens));
}

std::optional<double> RequestStatistics::holdSeconds(TargetIndex target) const
{
    if (target >= this->targets.size() || this->targets[target].hold.count() < minSamples) {
        return std::nullopt;
    }
    return this->targets[target].hold.value();
}

Duration RequestStatistics::longHold(ClassIndex requestClass) const
{
    if (requestClass >= this->holdTimesByClass.size()) {
        return Duration::zero();
    }
    const double mean = this->holdTimesByClass[requestClass].mean.value();
    const double variance = std::max(0.0, this->holdTimesByClass[requestClass].meanSquare.value() - mean * mean);
    const std::chrono::duration<double> hold(mean + longHoldDeviations * std::sqrt(variance));
    return std::chrono::duration_cast<Duration>(hold);
}

double RequestStatistics::firstTokenSeconds(TargetIndex target) const
{
    return target < this->targets.size() ? this->targets[target].firstToken.value() : 0.0;
}

double RequestStatistics::outputTokens(ClassIndex requestClass) const
{
    const bool known
        = requestClass < this->outputTokensByClass.size() && this->outputTokensByClass[requestClass].count() >= minSamples;
    return known ? this->outputTokensByClass[requestClass].value() : defaultOutputTokens;
}

double RequestStatistics::arrivalsPerSecond(LaneIndex lane, TimePoint now) const
{
    return lane < this->arrivals.size() ? this->arrivals[lane].perSecond(now) : 0.0;
}

RequestStatistics::Target &RequestStatistics::findOrAddTarget(TargetIndex target)
{
    if (target >= this->targets.size()) {
        this->targets.resize(target + 1);
    }
    return this->targets[target];
}

} // namespace flamingosaddle
