#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>

#include <cstdint>
#include <map>
#include <optional>

namespace flamingosaddle
{

/**
 * Server time that the requests of a service demand, before any saving through cached prefixes is deducted.
 */
struct ServiceDemand {
    ServiceName service;
    std::uint64_t serverMilliseconds = 0;

    friend bool operator==(const ServiceDemand &, const ServiceDemand &) = default;
};

/**
 * Number of backend servers that the requests of a service keep busy.
 */
struct BusyServers {
    double steady = 0.0; ///< average of the last tens of seconds
    double peak = 0.0; ///< recent maximum of the average of a few seconds

    friend bool operator==(const BusyServers &, const BusyServers &) = default;
};

/**
 * Estimates how many backend servers the requests of a service keep busy, from the demand reported by all instances. For
 * bursty load, an increase counts within seconds and a decrease only after it has lasted.
 */
class DemandMeter
{
public:
    static constexpr Duration steadyTimeConstant = std::chrono::seconds(15); ///< time constant of the steady load's average
    static constexpr Duration riseTimeConstant
        = std::chrono::seconds(3); ///< time constant of the average whose maximum is the peak
    static constexpr Duration fallTimeConstant
        = std::chrono::seconds(40); ///< of a peak's decay; longer than the gap between bursts
    static constexpr Duration minMeasurementTime = std::chrono::seconds(3); ///< the load is unknown until this time has passed

    // Commands.
    /** Records demand that an instance reported. */
    void record(const ServiceDemand &demand, TimePoint now);

    // Queries.
    /** Returns the load of a service, or nothing while it is not known. */
    std::optional<BusyServers> busyServers(const ServiceName &service, TimePoint now) const;

private:
    struct ServiceLoad {
        TimePoint since;
        TimePoint updatedAt;
        double steadyMilliseconds = 0.0; // server time, decayed with steadyTimeConstant
        double recentMilliseconds = 0.0; // server time, decayed with riseTimeConstant
        double peak = 0.0; // busy servers, decayed with fallTimeConstant

        BusyServers busyServersAt(TimePoint now) const;
    };

    std::map<ServiceName, ServiceLoad> services;
};

} // namespace flamingosaddle
