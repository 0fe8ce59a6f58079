#include <flamingosaddle/state/fleetplanner.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

FleetPlanner::FleetPlanner(FleetPolicy policy)
    : policy(policy)
{
}

void FleetPlanner::setInitialSize(DataCentreState &state, const ServerCounts &present, TimePoint now)
{
    const auto wanted = static_cast<std::uint32_t>(std::ceil(present.ordinary * this->policy.initialHeadroom));
    if (wanted > state.targetServers && present.ordinary > 1) {
        // Servers become known one by one. Cheap servers are not counted: they may be replacements ordered by this class.
        state.targetServers = wanted;
        this->settledAt = now + settleDelay;
    }
}

void FleetPlanner::resizeByLoad(DataCentreState &state, const ServerCounts &present, double wanted, TimePoint now)
{
    if (!state.loadKnownSince.has_value()) {
        // A new leader starts from the servers that it finds, so that it gives up none within shrinkThreshold.
        state.loadKnownSince = now;
        state.targetServers = std::max(state.targetServers, present.ordinary + present.cheap);
    }
    const double needed = std::ceil(wanted);
    const bool isTooMany
        = wanted < state.targetServers * (1.0 - shrinkThreshold) && now - *state.loadKnownSince >= scaleDownDelay;
    if (needed > state.targetServers || isTooMany) {
        state.targetServers = static_cast<std::uint32_t>(needed);
    }
}

std::vector<FleetOrder> FleetPlanner::dueOrders(const ScalingRules &rules, const std::map<DataCentre, ServerCounts> &serving,
    const std::optional<BusyServers> &busy, TimePoint now, const std::set<DataCentre> &evacuated)
{
    std::vector<FleetOrder> orders;
    if (!rules.cheapPriceRatio.has_value() || rules.maxServers == 0 || rules.minServers > rules.maxServers) {
        return orders;
    }
    this->firstEvaluatedAt = this->firstEvaluatedAt.value_or(now);
    const auto usedDataCentres
        = std::count_if(rules.ordinaryPrices.begin(), rules.ordinaryPrices.end(), [&evacuated](const auto &entry) {
              return !evacuated.contains(entry.first);
          });
    for (const auto &[dataCentre, price] : rules.ordinaryPrices) {
        if (evacuated.contains(dataCentre)) {
            continue;
        }
        const auto found = serving.find(dataCentre);
        const ServerCounts present = found == serving.end() ? ServerCounts() : found->second;
        if (present == ServerCounts() && !busy.has_value() && now < *this->firstEvaluatedAt + emptyDataCentreDelay) {
            // An order states the total number of servers: a small one would stop servers that are not known yet.
            continue;
        }
        DataCentreState &state = this->dataCentres[dataCentre];
        if (busy.has_value()) {
            const double wanted = std::max(busy->steady * this->policy.steadyHeadroom, busy->peak * this->policy.peakHeadroom);
            const double wantedHere = wanted / static_cast<double>(usedDataCentres);
            resizeByLoad(state, present, std::min<double>(wantedHere, rules.maxServers), now);
        } else {
            this->setInitialSize(state, present, now);
        }
        state.targetServers = std::clamp(state.targetServers, std::max(rules.minServers, 1U), rules.maxServers);
        this->addDueOrders(dataCentre, rules, present, now, orders);
    }
    return orders;
}

void FleetPlanner::addDueOrders(const DataCentre &dataCentre, const ScalingRules &rules, const ServerCounts &present,
    TimePoint now, std::vector<FleetOrder> &orders)
{
    const DataCentreState &state = this->dataCentres[dataCentre];
    const auto fractionOfTarget = [&state](double fraction) {
        return static_cast<std::uint32_t>(fraction * state.targetServers);
    };
    const std::uint32_t minOrdinary = std::max(fractionOfTarget(this->policy.ordinaryFraction), 1U);
    const std::uint32_t cheapTarget = state.targetServers - std::min(minOrdinary, state.targetServers);
    const bool needsSubstitutes = state.cheapUnavailable && present.cheap < cheapTarget;
    const std::uint32_t ordinaryTarget = minOrdinary + (needsSubstitutes ? fractionOfTarget(this->policy.substituteFraction) : 0);
    const std::uint32_t ordinary = std::clamp(ordinaryTarget, rules.minServers, rules.maxServers);
    // The limit applies to both kinds together, including ordinary servers that have not left yet.
    const std::uint32_t maxCheap = rules.maxServers - std::min(rules.maxServers, std::max(present.ordinary, ordinary));
    const std::uint32_t cheap = std::min(cheapTarget, maxCheap);
    // While the load is not known, an excess of servers cannot be detected.
    if (state.loadKnownSince.has_value() || cheap > present.cheap) {
        this->addDueOrder(dataCentre, true, cheap, present.cheap, now, orders);
    }
    // A cold server does not carry its part of the load yet, but it will before another could be had.
    const std::uint32_t warmCheap = present.cheap - present.coldCheap;
    const bool isReplaced = warmCheap >= cheap && warmCheap > 0;
    const bool isTooMany = present.ordinary > ordinary && isReplaced;
    if (now >= this->settledAt && (present.ordinary < ordinary || isTooMany)) {
        this->addDueOrder(dataCentre, false, ordinary, present.ordinary, now, orders);
    }
}

void FleetPlanner::addDueOrder(const DataCentre &dataCentre, bool cheap, std::uint32_t wanted, std::uint32_t serving,
    TimePoint now, std::vector<FleetOrder> &orders)
{
    DataCentreState &state = this->dataCentres[dataCentre];
    OrderState &orderState = cheap ? state.cheap : state.ordinary;
    // A changed number is ordered at once. Repeating an order waits, so that servers have time to start or leave.
    const bool isChange = orderState.ordered.has_value() && *orderState.ordered != wanted;
    const bool isUnfulfilled = !orderState.ordered.has_value() || serving != wanted;
    if (isChange || (isUnfulfilled && now >= orderState.nextAttemptAt)) {
        orders.push_back({dataCentre, wanted, cheap});
    }
}

void FleetPlanner::onOrderResult(const FleetOrder &order, FleetOrderResult result, TimePoint now)
{
    DataCentreState &state = this->dataCentres[order.dataCentre];
    OrderState &orderState = order.cheap ? state.cheap : state.ordinary;
    if (result == FleetOrderResult::Accepted) {
        orderState.ordered = order.count;
        orderState.nextAttemptAt = now + repeatOrderDelay;
    } else {
        orderState.ordered.reset();
        orderState.nextAttemptAt = now + retryDelay;
    }
    if (order.cheap && result != FleetOrderResult::Unknown) {
        state.cheapUnavailable = result == FleetOrderResult::Unavailable;
    }
}

} // namespace flamingosaddle
