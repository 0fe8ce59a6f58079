#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/state/publishedconfig.h>

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

struct FleetGoal {
    std::uint32_t ordinary = 1; ///< in each data centre; these are not taken away at short notice
    std::uint32_t cheap = 7; ///< in each data centre
    std::uint32_t substitutes = 4; ///< ordinary ones more, in a data centre that has no cheap ones to give

    friend bool operator==(const FleetGoal &, const FleetGoal &) = default;
};

/**
 * Which orders for the servers of one service are due. It answers the reclaim of all cheap servers of a data centre at once:
 * they are spread evenly over the data centres beside a few ordinary ones, and where none are to be had, ordinary ones take
 * their place until they are. What is to serve is ordered first; ordinary servers are given up only where cheap ones serve
 * already. Pure: the time is an argument.
 */
class FleetPlan
{
public:
    static constexpr Duration retryDelay = std::chrono::seconds(2); ///< after a refusal or an unknown outcome
    static constexpr Duration repeatDelay = std::chrono::seconds(8); ///< while what serves differs from what was ordered

    explicit FleetPlan(FleetGoal goal = {});

    // Commands.
    std::vector<FleetOrder> due(const ScalingRules &rules, const std::map<DataCentre, FleetCount> &serving, TimePoint now);
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
    };

    void addDue(const DataCentre &dataCentre, bool cheap, std::uint32_t wanted, std::uint32_t serving, TimePoint now,
        std::vector<FleetOrder> &orders);

    FleetGoal goal;
    std::map<DataCentre, Zone> zones;
};

} // namespace flamingosaddle
