#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>

#include <cstdint>
#include <vector>

namespace flamingosaddle
{

/**
 * Demand for a model, measured over all instances.
 */
struct CapacityDemand {
    double slots = 0.0; ///< average number of running and waiting requests
    double ordinarySlots = 0.0; ///< the part of `slots` from classes that may not run on cheap servers
    std::uint32_t slotsPerServer = 8;

    friend bool operator==(const CapacityDemand &, const CapacityDemand &) = default;
};

/**
 * Availability of cheap servers in a data centre.
 */
struct DataCentreAvailability {
    DataCentre dataCentre;
    bool cheapAvailable = true; ///< whether cheap servers can be started there and are not being reclaimed

    friend bool operator==(const DataCentreAvailability &, const DataCentreAvailability &) = default;
};

struct DesiredServers {
    DataCentre dataCentre;
    std::uint32_t ordinary = 0;
    std::uint32_t cheap = 0;

    friend bool operator==(const DesiredServers &, const DesiredServers &) = default;
};

struct CapacityOptions {
    double headroom = 0.2; ///< capacity above the demand, as a fraction of it
    double cheapPriceRatio = 0.3; ///< price of a cheap server relative to an ordinary one
    /** Minimum of ordinary servers, as a fraction of the demand, since cheap ones may be unavailable everywhere. */
    double minOrdinaryFraction = 0.25;
    Duration scaleDownDelay = std::chrono::minutes(10); ///< time for which demand must stay lower before servers are stopped

    friend bool operator==(const CapacityOptions &, const CapacityOptions &) = default;
};

/**
 * Returns the cheapest set of servers that meets these conditions:
 * - The total covers the demand plus headroom.
 * - If any one data centre loses its cheap servers, the remaining servers cover the demand.
 * - The ordinary servers cover, with headroom, the classes that may not run on cheap ones, and at least minOrdinaryFraction of
 *   the demand.
 *
 * Both kinds are spread evenly over the data centres that have them.
 */
std::vector<DesiredServers> allocateServers(
    const CapacityDemand &demand, const std::vector<DataCentreAvailability> &availability, const CapacityOptions &options);

/**
 * Plans the number of servers of one model over time. It scales up immediately and scales down to the peak demand of the last
 * scaleDownDelay, so that demand fluctuating around a server boundary does not start and stop servers repeatedly.
 */
class CapacityPlanner
{
public:
    explicit CapacityPlanner(CapacityOptions options)
        : options(options)
    {
    }

    // Commands.

    /**
     * Records the running servers as demand at @p now. A new planner, such as that of a new leader, has no samples yet and would
     * otherwise stop most servers at once.
     */
    void assumeDemand(std::uint32_t ordinary, std::uint32_t cheap, std::uint32_t slotsPerServer, TimePoint now);

    std::vector<DesiredServers> plan(
        const CapacityDemand &demand, const std::vector<DataCentreAvailability> &availability, TimePoint now);

private:
    struct DemandSample {
        TimePoint time;
        CapacityDemand demand;
    };

    CapacityOptions options;
    std::vector<DemandSample> recentDemand; // samples of the last scaleDownDelay that no later sample dominates
};

} // namespace flamingosaddle
