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

BusyServers DemandMeter::ServiceLoad::busyServersAt(TimePoint now) const
{
    const Duration elapsed = now - this->updatedAt;
    const Duration age = now - this->since;
    const double recent = averageBusyServers(this->recentMilliseconds * decay(elapsed, riseTimeConstant), age, riseTimeConstant);
    BusyServers busy;
    busy.steady = averageBusyServers(this->steadyMilliseconds * decay(elapsed, steadyTimeConstant), age, steadyTimeConstant);
    busy.peak = std::max(recent, this->peak * decay(elapsed, fallTimeConstant));
    return busy;
}

void DemandMeter::record(const ServiceDemand &demand, TimePoint now)
{
    ServiceLoad &service = this->services.try_emplace(demand.service, ServiceLoad{now, now}).first->second;
    // The average of the first few seconds is too inaccurate to set a peak.
    service.peak = now - service.since < minMeasurementTime ? 0.0 : service.busyServersAt(now).peak;
    const auto added = static_cast<double>(demand.serverMilliseconds);
    const Duration elapsed = now - service.updatedAt;
    service.steadyMilliseconds = service.steadyMilliseconds * decay(elapsed, steadyTimeConstant) + added;
    service.recentMilliseconds = service.recentMilliseconds * decay(elapsed, riseTimeConstant) + added;
    service.updatedAt = now;
}

std::optional<BusyServers> DemandMeter::busyServers(const ServiceName &service, TimePoint now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || now - found->second.since < minMeasurementTime) {
        return std::nullopt;
    }
    return found->second.busyServersAt(now);
}

} // namespace flamingosaddle
