#include <flamingosaddle/state/servicedemand.h>

#include <flamingosaddle/base/decay.h>

#include <algorithm>

namespace flamingosaddle
{

namespace
{

/** Converts an exponentially decayed sum of server time, which began @p age ago, to the average number of busy servers. */
double averageBusyServers(double milliseconds, Duration age, Duration timeConstant)
{
    const double weight = std::chrono::duration<double, std::milli>(timeConstant).count() * (1.0 - decay(age, timeConstant));
    return weight > 0.0 ? milliseconds / weight : 0.0;
}

} // namespace

BusyServers DemandMeter::Service::at(TimePoint now) const
{
    const Duration elapsed = now - this->notedAt;
    const Duration age = now - this->since;
    const double recent = averageBusyServers(this->shortMilliseconds * decay(elapsed, riseHorizon), age, riseHorizon);
    BusyServers busy;
    busy.steady = averageBusyServers(this->longMilliseconds * decay(elapsed, steadyHorizon), age, steadyHorizon);
    busy.peak = std::max(recent, this->peak * decay(elapsed, fallHorizon));
    return busy;
}

void DemandMeter::note(const ServiceDemand &demand, TimePoint now)
{
    Service &service = this->services.try_emplace(demand.service, Service{now, now}).first->second;
    // The average of the first few seconds is too inaccurate to set a peak.
    service.peak = now - service.since < shortestMeasure ? 0.0 : service.at(now).peak;
    const auto added = static_cast<double>(demand.serverMilliseconds);
    const Duration elapsed = now - service.notedAt;
    service.longMilliseconds = service.longMilliseconds * decay(elapsed, steadyHorizon) + added;
    service.shortMilliseconds = service.shortMilliseconds * decay(elapsed, riseHorizon) + added;
    service.notedAt = now;
}

std::optional<BusyServers> DemandMeter::busyServers(const ServiceName &service, TimePoint now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || now - found->second.since < shortestMeasure) {
        return std::nullopt;
    }
    return found->second.at(now);
}

} // namespace flamingosaddle
