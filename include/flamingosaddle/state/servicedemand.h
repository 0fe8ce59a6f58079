#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>

#include <cstdint>
#include <map>
#include <optional>

namespace flamingosaddle
{

/**
 * Time of backend servers that requests of a service asked for, before anything that a server may keep is taken off.
 */
struct ServiceDemand {
    ServiceName service;
    std::uint64_t serverMilliseconds = 0;

    friend bool operator==(const ServiceDemand &, const ServiceDemand &) = default;
};

/**
 * Backend servers that the requests of a service would always keep busy.
 */
struct BusyServers {
    double steady = 0.0; ///< over the last tens of seconds
    double peak = 0.0; ///< over a few seconds, at its highest lately

    friend bool operator==(const BusyServers &, const BusyServers &) = default;
};

/**
 * How many backend servers all requests of a service keep busy, from what every instance tells. It answers load that comes in
 * waves: a rise counts within seconds, a fall only once it has lasted.
 */
class DemandMeter
{
public:
    static constexpr Duration steadyHorizon = std::chrono::seconds(15); ///< over which the steady load is measured
    static constexpr Duration riseHorizon = std::chrono::seconds(3); ///< over which a peak is measured
    static constexpr Duration fallHorizon = std::chrono::seconds(40); ///< of a peak, longer than the pause between two bursts
    static constexpr Duration shortestMeasure = std::chrono::seconds(3); ///< before it the load is not known

    // Commands.
    void note(const ServiceDemand &demand, TimePoint now);

    // Queries.
    /** Nothing while it is not known. */
    std::optional<BusyServers> busyServers(const ServiceName &service, TimePoint now) const;

private:
    struct Service {
        TimePoint since;
        TimePoint notedAt;
        double longMilliseconds = 0.0; // of servers, decayed over steadyHorizon
        double shortMilliseconds = 0.0; // decayed over riseHorizon
        double peak = 0.0; // servers, decayed over fallHorizon

        BusyServers at(TimePoint now) const;
    };

    std::map<ServiceName, Service> services;
};

} // namespace flamingosaddle
