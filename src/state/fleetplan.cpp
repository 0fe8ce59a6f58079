#include <flamingosaddle/state/fleetplan.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

FleetPlan::FleetPlan(FleetMix mix)
    : mix(mix)
{
}

void FleetPlan::sizeAtFirst(Zone &state, const FleetCount &present, TimePoint now)
{
    const auto wanted = static_cast<std::uint32_t>(std::ceil(present.ordinary * this->mix.firstHeadroom));
    if (wanted > state.servers && present.ordinary > 1) {
        // Servers become known one by one. Cheap servers are not counted: they may be replacements ordered by this class.
        state.servers = wanted;
        this->settledAt = now + settleTime;
    }
}

void FleetPlan::sizeByLoad(Zone &state, const FleetCount &present, double wanted, TimePoint now)
{
    if (!state.loadKnownSince.has_value()) {
        // A new leader starts from the servers that it finds, so that it gives up none within shrinkThreshold.
        state.loadKnownSince = now;
        state.servers = std::max(state.servers, present.ordinary + present.cheap);
    }
    const double needed = std::ceil(wanted);
    const bool isTooMany = wanted < state.servers * (1.0 - slack) && now - *state.loadKnownSince >= fallDelay;
    if (needed > state.servers || isTooMany) {
        state.servers = static_cast<std::uint32_t>(needed);
    }
}

std::vector<FleetOrder> FleetPlan::due(const ScalingRules &rules, const std::map<DataCentre, FleetCount> &serving,
    const std::optional<BusyServers> &busy, TimePoint now)
{
    std::vector<FleetOrder> orders;
    if (!rules.cheapPrice.has_value() || rules.most == 0 || rules.fewest > rules.most) {
        return orders;
    }
    this->firstLook = this->firstLook.value_or(now);
    for (const auto &[dataCentre, price] : rules.prices) {
        const auto found = serving.find(dataCentre);
        const FleetCount present = found == serving.end() ? FleetCount() : found->second;
        if (present == FleetCount() && !busy.has_value() && now < *this->firstLook + emptyPatience) {
            // An order states the total number of servers: a small one would stop servers that are not known yet.
            continue;
        }
        Zone &state = this->zones[dataCentre];
        if (busy.has_value()) {
            const double wanted = std::max(busy->steady * this->mix.steadyHeadroom, busy->peak * this->mix.peakHeadroom);
            const double wantedHere = wanted / static_cast<double>(rules.prices.size());
            sizeByLoad(state, present, std::min<double>(wantedHere, rules.most), now);
        } else {
            this->sizeAtFirst(state, present, now);
        }
        state.servers = std::clamp(state.servers, std::max(rules.fewest, 1U), rules.most);
        this->addDueIn(dataCentre, rules, present, now, orders);
    }
    return orders;
}

void FleetPlan::addDueIn(const DataCentre &dataCentre, const ScalingRules &rules, const FleetCount &present, TimePoint now,
    std::vector<FleetOrder> &orders)
{
    const Zone &state = this->zones[dataCentre];
    const auto fractionOfTarget = [&state](double fraction) {
        return static_cast<std::uint32_t>(fraction * state.servers);
    };
    const std::uint32_t minOrdinary = std::max(fractionOfTarget(this->mix.ordinaryPart), 1U);
    const std::uint32_t cheapTarget = state.servers - std::min(minOrdinary, state.servers);
    const bool needsSubstitutes = state.hasNoCheap && present.cheap < cheapTarget;
    const std::uint32_t ordinaryTarget = minOrdinary + (needsSubstitutes ? fractionOfTarget(this->mix.substitutePart) : 0);
    const std::uint32_t ordinary = std::clamp(ordinaryTarget, rules.fewest, rules.most);
    // The limit applies to both kinds together, including ordinary servers that have not left yet.
    const std::uint32_t maxCheap = rules.most - std::min(rules.most, std::max(present.ordinary, ordinary));
    const std::uint32_t cheap = std::min(cheapTarget, maxCheap);
    // While the load is not known, an excess of servers cannot be detected.
    if (state.loadKnownSince.has_value() || cheap > present.cheap) {
        this->addDue(dataCentre, true, cheap, present.cheap, now, orders);
    }
    const bool isReplaced = present.cheap >= cheap && present.cheap > 0;
    const bool isTooMany = present.ordinary > ordinary && isReplaced;
    if (now >= this->settledAt && (present.ordinary < ordinary || isTooMany)) {
        this->addDue(dataCentre, false, ordinary, present.ordinary, now, orders);
    }
}

void FleetPlan::addDue(const DataCentre &dataCentre, bool cheap, std::uint32_t wanted, std::uint32_t serving, TimePoint now,
    std::vector<FleetOrder> &orders)
{
    Zone &state = this->zones[dataCentre];
    Standing &orderState = cheap ? state.cheap : state.ordinary;
    // A changed number is ordered at once. Repeating an order waits, so that servers have time to start or leave.
    const bool isChange = orderState.ordered.has_value() && *orderState.ordered != wanted;
    const bool isUnfulfilled = !orderState.ordered.has_value() || serving != wanted;
    if (isChange || (isUnfulfilled && now >= orderState.nextTry)) {
        orders.push_back({dataCentre, wanted, cheap});
    }
}

void FleetPlan::answered(const FleetOrder &order, FleetAnswer result, TimePoint now)
{
    Zone &state = this->zones[order.dataCentre];
    Standing &orderState = order.cheap ? state.cheap : state.ordinary;
    if (result == FleetAnswer::Accepted) {
        orderState.ordered = order.count;
        orderState.nextTry = now + repeatDelay;
    } else {
        orderState.ordered.reset();
        orderState.nextTry = now + retryDelay;
    }
    if (order.cheap && result != FleetAnswer::Unknown) {
        state.hasNoCheap = result == FleetAnswer::NoneThere;
    }
}

} // namespace flamingosaddle
