#include <flamingosaddle/state/fleetplan.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

FleetPlan::FleetPlan(FleetMix mix)
    : mix(mix)
{
}

void FleetPlan::sizeAtFirst(Zone &zone, const FleetCount &present, TimePoint now)
{
    const auto wanted = static_cast<std::uint32_t>(std::ceil(present.ordinary * this->mix.firstHeadroom));
    if (wanted > zone.servers && present.ordinary > 1) {
        // Servers become known one after the other; cheap ones may be replacements that were ordered here.
        zone.servers = wanted;
        this->settledAt = now + settleTime;
    }
}

void FleetPlan::sizeByLoad(Zone &zone, const FleetCount &present, double wanted, TimePoint now)
{
    if (!zone.loadKnownSince.has_value()) {
        // An instance that has just begun to lead gives up nothing that its slack covers.
        zone.loadKnownSince = now;
        zone.servers = std::max(zone.servers, present.ordinary + present.cheap);
    }
    const double enough = std::ceil(wanted);
    const bool isTooMany = wanted < zone.servers * (1.0 - slack) && now - *zone.loadKnownSince >= fallDelay;
    if (enough > zone.servers || isTooMany) {
        zone.servers = static_cast<std::uint32_t>(enough);
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
            // An order names a count: a small one would end the servers that are not known yet.
            continue;
        }
        Zone &zone = this->zones[dataCentre];
        if (busy.has_value()) {
            const double wanted = std::max(busy->steady * this->mix.steadyHeadroom, busy->peak * this->mix.peakHeadroom);
            const double share = wanted / static_cast<double>(rules.prices.size());
            sizeByLoad(zone, present, std::min<double>(share, rules.most), now);
        } else {
            this->sizeAtFirst(zone, present, now);
        }
        zone.servers = std::clamp(zone.servers, std::max(rules.fewest, 1U), rules.most);
        this->addDueIn(dataCentre, rules, present, now, orders);
    }
    return orders;
}

void FleetPlan::addDueIn(const DataCentre &dataCentre, const ScalingRules &rules, const FleetCount &present, TimePoint now,
    std::vector<FleetOrder> &orders)
{
    const Zone &zone = this->zones[dataCentre];
    const auto part = [&zone](double of) {
        return static_cast<std::uint32_t>(of * zone.servers);
    };
    const std::uint32_t core = std::max(part(this->mix.ordinaryPart), 1U);
    const std::uint32_t cheapGoal = zone.servers - std::min(core, zone.servers);
    const bool isShort = zone.hasNoCheap && present.cheap < cheapGoal;
    const std::uint32_t goal = core + (isShort ? part(this->mix.substitutePart) : 0);
    const std::uint32_t ordinary = std::clamp(goal, rules.fewest, rules.most);
    // The bound holds for both kinds together, also while the ordinary ones have not left yet.
    const std::uint32_t room = rules.most - std::min(rules.most, std::max(present.ordinary, ordinary));
    const std::uint32_t cheap = std::min(cheapGoal, room);
    // Without the load nothing tells that there are too many.
    if (zone.loadKnownSince.has_value() || cheap > present.cheap) {
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
