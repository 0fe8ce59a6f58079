#include <flamingosaddle/traffic/forecast.h>

#include <cmath>

namespace flamingosaddle
{

namespace
{

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void RateMeter::add(TimePoint now)
{
    this->level = this->decayed(now) + 1.0;
    this->last = now;
}

double RateMeter::perSecond(TimePoint now) const
{
    return this->decayed(now) / secondsOf(horizon);
}

double RateMeter::decayed(TimePoint now) const
{
    return this->level * std::exp(-secondsOf(now - this->last) / secondsOf(horizon));
}

void Forecast::noteArrival(LaneIndex lane, TimePoint now)
{
    if (lane >= this->arrivals.size()) {
        this->arrivals.resize(lane + 1);
    }
    this->arrivals[lane].add(now);
}

void Forecast::noteFirstToken(TargetIndex target, Duration sinceStart)
{
    this->targetOf(target).firstToken.add(secondsOf(sinceStart));
}

void Forecast::noteEnd(TargetIndex target, ClassIndex requestClass, Duration held, std::uint64_t tokens)
{
    this->targetOf(target).hold.add(secondsOf(held));
    if (requestClass >= this->outputs.size()) {
        this->outputs.resize(requestClass + 1, MovingAverage(0.05));
    }
    this->outputs[requestClass].add(static_cast<double>(tokens));
}

std::optional<double> Forecast::holdSeconds(TargetIndex target) const
{
    if (target >= this->targets.size() || this->targets[target].hold.count() < minSamples) {
        return std::nullopt;
    }
    return this->targets[target].hold.value();
}

double Forecast::firstTokenSeconds(TargetIndex target) const
{
    return target < this->targets.size() ? this->targets[target].firstToken.value() : 0.0;
}

double Forecast::outputTokens(ClassIndex requestClass) const
{
    const bool known = requestClass < this->outputs.size() && this->outputs[requestClass].count() >= minSamples;
    return known ? this->outputs[requestClass].value() : unknownOutputTokens;
}

double Forecast::arrivalsPerSecond(LaneIndex lane, TimePoint now) const
{
    return lane < this->arrivals.size() ? this->arrivals[lane].perSecond(now) : 0.0;
}

Forecast::Target &Forecast::targetOf(TargetIndex target)
{
    if (target >= this->targets.size()) {
        this->targets.resize(target + 1);
    }
    return this->targets[target];
}

} // namespace flamingosaddle
