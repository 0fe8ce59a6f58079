#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/state/publishedconfig.h>
#include <flamingosaddle/state/servicedemand.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace flamingosaddle
{

/**
 * Number of servers of one service in one data centre that are serving and not leaving.
 */
struct ServerCounts {
    std::uint32_t ordinary = 0;
    std::uint32_t cheap = 0;
    std::uint32_t coldCheap = 0; ///< cheap servers that are still cold, included in `cheap`

    friend bool operator==(const ServerCounts &, const ServerCounts &) = default;
};

/**
 * An order to the platform for a total number of servers of one kind in a data centre.
 */
struct FleetOrder {
    DataCentre dataCentre;
    std::uint32_t count = 0;
    bool cheap = false;

    friend bool operator==(const FleetOrder &, const FleetOrder &) = default;
};

enum class FleetOrderResult {
    Accepted,
    Unavailable, ///< the data centre has no servers of this kind to give at present
    Unknown, ///< no response arrived; the order may still be carried out seconds later
};

/**
 * How many servers a data centre gets and how they are divided into ordinary and cheap ones. Ordinary servers are not
 * reclaimed at short notice.
 */
struct FleetPolicy {
    /** Servers per server that the steady load keeps busy. Covers failures, server starts and uneven distribution. */
    double steadyHeadroom = 3.0;
    /** Servers per initial ordinary server. Operators size these for a common load, and bursts double it. */
    double initialHeadroom = 2.0;
    double peakHeadroom = 1.6; ///< servers per server that a peak keeps busy; load beyond that waits
    double ordinaryFraction = 0.125; ///< fraction of ordinary servers; rounded down, at least one server
    double substituteFraction = 0.5; ///< additional fraction of ordinary servers while a data centre has no cheap ones to give

    friend bool operator==(const FleetPolicy &, const FleetPolicy &) = default;
};

/**
 * Plans the server orders of one service so that it survives the reclaim of all cheap servers of a data centre at once.
 *
 * Cheap servers are spread evenly over the data centres, next to a few ordinary ones. Where no cheap servers are available,
 * ordinary ones replace them for that time. Ordinary servers are given up only after cheap ones serve in their place. The
 * number of servers follows the load; while the load is not known, it follows from the initial number of ordinary servers.
 *
 * The class does no I/O and reads no clock: the time is an argument.
 */
class FleetPlanner
{
public:
    static constexpr Duration retryDelay = std::chrono::seconds(2); ///< delay after a refusal or an unknown outcome
    /** Delay of orders for ordinary servers after the initial size grew: the list of a large fleet arrives in parts. */
    static constexpr Duration settleDelay = std::chrono::milliseconds(1500);
    /** Delay, while the load is not known, of orders for a data centre without known servers: its list may not be read yet. */
    static constexpr Duration emptyDataCentreDelay = std::chrono::seconds(5);
    /** Fraction of the servers that must be in excess before any are given up, since each change costs server starts. */
    static constexpr double shrinkThreshold = 0.25;
    static constexpr Duration scaleDownDelay
        = std::chrono::seconds(10); ///< delay from the first known load to the first decrease
    static constexpr Duration repeatOrderDelay = std::chrono::seconds(8); ///< interval at which an unfulfilled order is repeated

    explicit FleetPlanner(FleetPolicy policy = {});

    // Commands.
    /**
     * Returns the orders to send now.
     * @param serving servers by data centre
     * @param busy the load, or nothing while it is not known
     * @param evacuated data centres that take no requests, and for which nothing is ordered
     */
    std::vector<FleetOrder> dueOrders(const ScalingRules &rules, const std::map<DataCentre, ServerCounts> &serving,
        const std::optional<BusyServers> &busy, TimePoint now, const std::set<DataCentre> &evacuated = {});
    /** Records the result of an order. */
    void onOrderResult(const FleetOrder &order, FleetOrderResult result, TimePoint now);

private:
    struct OrderState {
        std::optional<std::uint32_t> ordered; // number accepted last; nothing while the outcome of the last order is unknown
        TimePoint nextAttemptAt;
    };

    struct DataCentreState {
        OrderState ordinary;
        OrderState cheap;
        bool cheapUnavailable = false; // according to the last order of cheap servers
        std::uint32_t targetServers = 0; // ordinary and cheap ones together
        std::optional<TimePoint> loadKnownSince; // from then on the load determines targetServers
    };

    void setInitialSize(DataCentreState &state, const ServerCounts &present, TimePoint now);
    static void resizeByLoad(DataCentreState &state, const ServerCounts &present, double wanted, TimePoint now);
    void addDueOrders(const DataCentre &dataCentre, const ScalingRules &rules, const ServerCounts &present, TimePoint now,
        std::vector<FleetOrder> &orders);
    void addDueOrder(const DataCentre &dataCentre, bool cheap, std::uint32_t wanted, std::uint32_t serving, TimePoint now,
        std::vector<FleetOrder> &orders);

    FleetPolicy policy;
    std::map<DataCentre, DataCentreState> dataCentres;
    std::optional<TimePoint> firstEvaluatedAt;
    TimePoint settledAt; // until then, initial servers may still become known
};

} // namespace flamingosaddle
