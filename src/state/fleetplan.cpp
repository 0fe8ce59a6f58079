#include <flamingosaddle/state/fleetplan.h>

#include <algorithm>

namespace flamingosaddle
{

FleetPlan::FleetPlan(FleetGoal goal)
    : goal(goal)
{
}

std::vector<FleetOrder> FleetPlan::due(const ScalingRules &rules, const std::map<DataCentre, FleetCount> &serving, TimePoint now)
{
    std::vector<FleetOrder> orders;
    if (!rules.cheapPrice.has_value() || rules.most == 0) {
        return orders;
    }
    for (const auto &[dataCentre, price] : rules.prices) {
        const auto found = serving.find(dataCentre);
        const FleetCount present = found == serving.end() ? FleetCount() : found->second;
        const bool isShort = this->zones[dataCentre].hasNoCheap && present.cheap < this->goal.cheap;
        const std::uint32_t goal = this->goal.ordinary + (isShort ? this->goal.substitutes : 0);
        const std::uint32_t ordinary = std::clamp(goal, rules.fewest, rules.most);
        // The bound holds for both kinds together, also while the ordinary ones have not left yet.
        const std::uint32_t room = rules.most - std::min(rules.most, std::max(present.ordinary, ordinary));
        const std::uint32_t cheap = std::min(this->goal.cheap, room);
        this->addDue(dataCentre, true, cheap, present.cheap, now, orders);
        const bool isReplaced = present.cheap >= std::min(this->goal.cheap, room) && present.cheap > 0;
        if (present.ordinary < ordinary || (present.ordinary > ordinary && isReplaced)) {
            this->addDue(dataCentre, false, ordinary, present.ordinary, now, orders);
        }
    }
    return orders;
}

void FleetPlan::addDue(const DataCentre &dataCentre, bool cheap, std::uint32_t wanted, std::uint32_t serving, TimePoint now,
    std::vector<FleetOrder> &orders)
{
    Zone &zone = this->zones[dataCentre];
    Standing &standing = cheap ? zone.cheap : zone.ordinary;
    // A change of mind is ordered at once; a repetition gives servers time to start or to leave.
    const bool isChange = standing.ordered.has_value() && *standing.ordered != wanted;
    const bool isOpen = !standing.ordered.has_value() || serving != wanted;
    if (isChange || (isOpen && now >= standing.nextTry)) {
        orders.push_back({dataCentre, wanted, cheap});
    }
}

void FleetPlan::answered(const FleetOrder &order, FleetAnswer answer, TimePoint now)
{
    Zone &zone = this->zones[order.dataCentre];
    Standing &standing = order.cheap ? zone.cheap : zone.ordinary;
    if (answer == FleetAnswer::Accepted) {
        standing.ordered = order.count;
        standing.nextTry = now + repeatDelay;
    } else {
        standing.ordered.reset();
        standing.nextTry = now + retryDelay;
    }
    if (order.cheap && answer != FleetAnswer::Unknown) {
        zone.hasNoCheap = answer == FleetAnswer::NoneThere;
    }
}

} // namespace flamingosaddle
