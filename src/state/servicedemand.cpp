#include <flamingosaddle/state/servicedemand.h>

#include <flamingosaddle/base/decay.h>

#include <algorithm>

namespace flamingosaddle
{

namespace
{

/** Servers that a decayed sum stands for, of load that began @p age ago. */
double serversOf(double milliseconds, Duration age, Duration horizon)
{
    const double measured = std::chrono::duration<double, std::milli>(horizon).count() * (1.0 - decay(age, horizon));
    return measured > 0.0 ? milliseconds / measured : 0.0;
}

} // namespace

BusyServers DemandMeter::Service::at(TimePoint now) const
{
    const Duration passed = now - this->notedAt;
    const Duration age = now - this->since;
    const double recent = serversOf(this->shortMilliseconds * decay(passed, riseHorizon), age, riseHorizon);
    BusyServers busy;
    busy.steady = serversOf(this->longMilliseconds * decay(passed, steadyHorizon), age, steadyHorizon);
    busy.peak = std::max(recent, this->peak * decay(passed, fallHorizon));
    return busy;
}

void DemandMeter::note(const ServiceDemand &demand, TimePoint now)
{
    Service &service = this->services.try_emplace(demand.service, Service{now, now}).first->second;
    // The first moments say nothing of a peak.
    service.peak = now - service.since < shortestMeasure ? 0.0 : service.at(now).peak;
    const auto added = static_cast<double>(demand.serverMilliseconds);
    const Duration passed = now - service.notedAt;
    service.longMilliseconds = service.longMilliseconds * decay(passed, steadyHorizon) + added;
    service.shortMilliseconds = service.shortMilliseconds * decay(passed, riseHorizon) + added;
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
