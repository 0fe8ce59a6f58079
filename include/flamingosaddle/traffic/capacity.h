#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>

#include <cstdint>
#include <vector>

namespace flamingosaddle
{

/**
 * What a model needs, measured over all instances.
 */
struct CapacityNeed {
    double slots = 0.0; ///< requests that run or wait, on average
    double reliableSlots = 0.0; ///< of these, of classes that may not run on cheap backend servers
    std::uint32_t slotsPerServer = 8;

    friend bool operator==(const CapacityNeed &, const CapacityNeed &) = default;
};

/**
 * What a data centre offers for the model.
 */
struct DataCentreOffer {
    DataCentre dataCentre;
    bool cheapAvailable = true; ///< cheap servers can be had there, and are not being reclaimed

    friend bool operator==(const DataCentreOffer &, const DataCentreOffer &) = default;
};

struct WantedServers {
    DataCentre dataCentre;
    std::uint32_t reliable = 0;
    std::uint32_t cheap = 0;

    friend bool operator==(const WantedServers &, const WantedServers &) = default;
};

struct CapacityOptions {
    double headroom = 0.2; ///< kept above the need, as a part of it
    double cheapPrice = 0.3; ///< of a cheap server, by that of another
    double minReliablePart = 0.25; ///< of the servers that the need takes, since cheap ones may be had nowhere at times
    Duration shrinkDelay = std::chrono::minutes(10); ///< for which fewer servers must have been enough

    friend bool operator==(const CapacityOptions &, const CapacityOptions &) = default;
};

/**
 * The servers that a need takes, at the least price that satisfies:
 * - all together hold the need and its headroom;
 * - without the cheap servers of any one data centre the others still hold the need;
 * - those that are not cheap hold the classes that may run on no others, with headroom, and minReliablePart of the need.
 *
 * Both kinds are spread evenly over the data centres that offer them.
 */
std::vector<WantedServers> placeServers(
    const CapacityNeed &need, const std::vector<DataCentreOffer> &offers, const CapacityOptions &options);

/**
 * Wanted servers of one model over time. Grows at once; shrinks to the largest need of the last shrinkDelay, so that a
 * load that swings around a step does not start and stop servers.
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
     * Counts what runs as needed at @p now. A planner that starts, for instance with a new holder of the orders, saw no
     * load yet and would stop most servers at once without it.
     */
    void assumeNeeded(std::uint32_t reliable, std::uint32_t cheap, std::uint32_t slotsPerServer, TimePoint now);

    std::vector<WantedServers> plan(const CapacityNeed &need, const std::vector<DataCentreOffer> &offers, TimePoint now);

private:
    struct Seen {
        TimePoint at;
        CapacityNeed need;
    };

    CapacityOptions options;
    std::vector<Seen> recent; // of the last shrinkDelay; none that another covers
};

} // namespace flamingosaddle
