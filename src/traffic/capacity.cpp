#include <flamingosaddle/traffic/capacity.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

namespace
{

struct Split {
    std::uint32_t ordinary = 0;
    std::uint32_t cheap = 0;
};

std::uint32_t serversFor(double slots, std::uint32_t slotsPerServer)
{
    return static_cast<std::uint32_t>(std::ceil(std::max(0.0, slots) / std::max(slotsPerServer, 1U)));
}

std::uint32_t ceilDivide(std::uint32_t count, std::uint32_t parts)
{
    return (count + parts - 1) / parts;
}

// Returns the minimum number of cheap servers over `dataCentres` data centres that completes `ordinary` ordinary ones.
std::uint32_t cheapServersFor(std::uint32_t ordinary, std::uint32_t total, std::uint32_t minAfterLoss, std::uint32_t dataCentres)
{
    std::uint32_t cheap = total > ordinary ? total - ordinary : 0;
    while (cheap > 0 && ordinary + cheap - ceilDivide(cheap, dataCentres) < minAfterLoss) {
        ++cheap;
    }
    return cheap;
}

Split cheapestSplit(const CapacityDemand &demand, std::uint32_t dataCentres, const CapacityOptions &options)
{
    const std::uint32_t total = serversFor(demand.slots * (1.0 + options.headroom), demand.slotsPerServer);
    const std::uint32_t minAfterLoss = serversFor(demand.slots, demand.slotsPerServer);
    const std::uint32_t ordinaryOnly = serversFor(demand.ordinarySlots * (1.0 + options.headroom), demand.slotsPerServer);
    const auto fraction = static_cast<std::uint32_t>(std::ceil(minAfterLoss * options.minOrdinaryFraction));
    const std::uint32_t minOrdinary = std::max(ordinaryOnly, fraction);
    Split best{std::max(minOrdinary, total), 0};
    // A single data centre may lose all cheap servers at once, so they can cover no more than the headroom.
    for (std::uint32_t ordinary = minOrdinary; dataCentres > 0 && ordinary < total; ++ordinary) {
        if (dataCentres == 1 && ordinary < minAfterLoss) {
            continue;
        }
        const Split split{ordinary, cheapServersFor(ordinary, total, minAfterLoss, dataCentres)};
        if (split.ordinary + split.cheap * options.cheapPriceRatio < best.ordinary + best.cheap * options.cheapPriceRatio) {
            best = split;
        }
    }
    return best;
}

} // namespace

std::vector<DesiredServers> allocateServers(
    const CapacityDemand &demand, const std::vector<DataCentreAvailability> &availability, const CapacityOptions &options)
{
    const auto dataCentres = static_cast<std::uint32_t>(
        std::count_if(availability.begin(), availability.end(), [](const DataCentreAvailability &offer) {
            return offer.cheapAvailable;
        }));
    const Split split = cheapestSplit(demand, dataCentres, options);
    std::vector<DesiredServers> wanted;
    wanted.reserve(availability.size());
    const auto count = static_cast<std::uint32_t>(availability.size());
    std::uint32_t cheapDataCentres = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
        DesiredServers servers{availability[i].dataCentre, split.ordinary / count + (i < split.ordinary % count ? 1 : 0), 0};
        if (availability[i].cheapAvailable) {
            servers.cheap = split.cheap / dataCentres + (cheapDataCentres < split.cheap % dataCentres ? 1 : 0);
            ++cheapDataCentres;
        }
        wanted.push_back(servers);
    }
    return wanted;
}

void CapacityPlanner::assumeDemand(std::uint32_t ordinary, std::uint32_t cheap, std::uint32_t slotsPerServer, TimePoint now)
{
    const double fraction = slotsPerServer / (1.0 + this->options.headroom);
    this->recentDemand.push_back(
        DemandSample{now, CapacityDemand{(ordinary + cheap) * fraction, ordinary * fraction, slotsPerServer}});
}

std::vector<DesiredServers> CapacityPlanner::plan(
    const CapacityDemand &demand, const std::vector<DataCentreAvailability> &availability, TimePoint now)
{
    std::erase_if(this->recentDemand, [&](const DemandSample &seen) {
        return seen.time + this->options.scaleDownDelay <= now;
    });
    std::erase_if(this->recentDemand, [&](const DemandSample &seen) {
        return seen.demand.slots <= demand.slots && seen.demand.ordinarySlots <= demand.ordinarySlots;
    });
    this->recentDemand.push_back(DemandSample{now, demand});
    CapacityDemand largest = demand;
    for (const DemandSample &seen : this->recentDemand) {
        largest.slots = std::max(largest.slots, seen.demand.slots);
        largest.ordinarySlots = std::max(largest.ordinarySlots, seen.demand.ordinarySlots);
    }
    return allocateServers(largest, availability, this->options);
}

} // namespace flamingosaddle
