#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/state/publishedconfig.h>
#include <flamingosaddle/state/servicedemand.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace flamingosaddle
{

/**
 * Servers of one service in one data centre that serve and are not leaving.
 */
struct FleetCount {
    std::uint32_t ordinary = 0;
    std::uint32_t cheap = 0;

    friend bool operator==(const FleetCount &, const FleetCount &) = default;
};

/**
 * That a service is to have so many servers of a kind in a data centre.
 */
struct FleetOrder {
    DataCentre dataCentre;
    std::uint32_t count = 0;
    bool cheap = false;

    friend bool operator==(const FleetOrder &, const FleetOrder &) = default;
};

enum class FleetAnswer {
    Accepted,
    NoneThere, ///< the data centre has none of the kind at present
    Unknown, ///< no answer: the order may be carried out seconds later
};

/**
 * How a data centre's servers are divided. Ordinary ones are not taken away at short notice.
 */
struct FleetMix {
    double steadyHeadroom = 3.0; ///< servers for each one that the steady load keeps busy: failures, starts, uneven parts
    /** Servers for each ordinary one that there is at first: operators size these for a common load, and bursts double it. */
    double firstHeadroom = 2.0;
    double peakHeadroom = 1.6; ///< servers for each one that a peak keeps busy; what is beyond waits
    double ordinaryPart = 0.125; ///< rounded down, but one at least
    double substitutePart = 0.5; ///< ordinary ones more, in a data centre that has no cheap ones to give

    friend bool operator==(const FleetMix &, const FleetMix &) = default;
};

/**
 * Which orders for the servers of one service are due. It answers the reclaim of all cheap servers of a data centre at once:
 * they are spread evenly over the data centres beside a few ordinary ones, and where none are to be had, ordinary ones take
 * their place until they are. What is to serve is ordered first; ordinary servers are given up only where cheap ones serve
 * already. As many are kept as the load needs; while that is not known, as many as the ordinary ones
 * at first call for. Pure: the time is an
 * argument.
 */
class FleetPlan
{
public:
    static constexpr Duration retryDelay = std::chrono::seconds(2); ///< after a refusal or an unknown outcome
    /** Between a newly known server and the first orders: the list of a large fleet comes in parts. */
    static constexpr Duration settleTime = std::chrono::milliseconds(1500);
    /** From the first look on, before the load is known, for a data centre of which no server is known: it may not be read yet.
     */
    static constexpr Duration emptyPatience = std::chrono::seconds(5);
    /** Part of the servers that has to be too many before some are given up: each change costs starts. */
    static constexpr double slack = 0.25;
    static constexpr Duration fallDelay = std::chrono::seconds(10); ///< from the first look at the load to the first fall
    static constexpr Duration repeatDelay = std::chrono::seconds(8); ///< while what serves differs from what was ordered

    explicit FleetPlan(FleetMix mix = {});

    // Commands.
    /** @param busy nothing while the load is not known */
    std::vector<FleetOrder> due(const ScalingRules &rules, const std::map<DataCentre, FleetCount> &serving,
        const std::optional<BusyServers> &busy, TimePoint now);
    void answered(const FleetOrder &order, FleetAnswer answer, TimePoint now);

private:
    struct Standing {
        std::optional<std::uint32_t> ordered; // nothing while the outcome of the last order is not known
        TimePoint nextTry;
    };

    struct Zone {
        Standing ordinary;
        Standing cheap;
        bool hasNoCheap = false; // as the last answer says
        std::uint32_t servers = 0; // of both kinds that there are to be
        std::optional<TimePoint> loadKnownSince; // from then on they are as many as the load needs
    };

    void sizeAtFirst(Zone &zone, const FleetCount &present, TimePoint now);
    static void sizeByLoad(Zone &zone, const FleetCount &present, double wanted, TimePoint now);
    void addDueIn(const DataCentre &dataCentre, const ScalingRules &rules, const FleetCount &present, TimePoint now,
        std::vector<FleetOrder> &orders);
    void addDue(const DataCentre &dataCentre, bool cheap, std::uint32_t wanted, std::uint32_t serving, TimePoint now,
        std::vector<FleetOrder> &orders);

    FleetMix mix;
    std::map<DataCentre, Zone> zones;
    std::optional<TimePoint> firstLook;
    TimePoint settledAt; // before it servers that were there from the start may still become known
};

} // namespace flamingosaddle
