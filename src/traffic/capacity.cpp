#include <flamingosaddle/traffic/capacity.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

namespace
{

struct Split {
    std::uint32_t reliable = 0;
    std::uint32_t cheap = 0;
};

std::uint32_t serversFor(double slots, std::uint32_t slotsPerServer)
{
    return static_cast<std::uint32_t>(std::ceil(std::max(0.0, slots) / std::max(slotsPerServer, 1U)));
}

std::uint32_t dividedUp(std::uint32_t count, std::uint32_t parts)
{
    return (count + parts - 1) / parts;
}

// The fewest cheap servers over `zones` data centres that complete `reliable` others.
std::uint32_t cheapServersBeside(std::uint32_t reliable, std::uint32_t all, std::uint32_t afterLoss, std::uint32_t zones)
{
    std::uint32_t cheap = all > reliable ? all - reliable : 0;
    while (cheap > 0 && reliable + cheap - dividedUp(cheap, zones) < afterLoss) {
        ++cheap;
    }
    return cheap;
}

Split cheapestSplit(const CapacityNeed &need, std::uint32_t zones, const CapacityOptions &options)
{
    const std::uint32_t all = serversFor(need.slots * (1.0 + options.headroom), need.slotsPerServer);
    const std::uint32_t afterLoss = serversFor(need.slots, need.slotsPerServer);
    const std::uint32_t reliableOnly = serversFor(need.reliableSlots * (1.0 + options.headroom), need.slotsPerServer);
    const auto part = static_cast<std::uint32_t>(std::ceil(afterLoss * options.minReliablePart));
    const std::uint32_t fewest = std::max(reliableOnly, part);
    Split best{std::max(fewest, all), 0};
    // In one data centre all cheap servers go at once, so that they can hold no more than the headroom.
    for (std::uint32_t reliable = fewest; zones > 0 && reliable < all; ++reliable) {
        if (zones == 1 && reliable < afterLoss) {
            continue;
        }
        const Split split{reliable, cheapServersBeside(reliable, all, afterLoss, zones)};
        if (split.reliable + split.cheap * options.cheapPrice < best.reliable + best.cheap * options.cheapPrice) {
            best = split;
        }
    }
    return best;
}

} // namespace

std::vector<WantedServers> placeServers(
    const CapacityNeed &need, const std::vector<DataCentreOffer> &offers, const CapacityOptions &options)
{
    const auto zones = static_cast<std::uint32_t>(std::count_if(offers.begin(), offers.end(), [](const DataCentreOffer &offer) {
        return offer.cheapAvailable;
    }));
    const Split split = cheapestSplit(need, zones, options);
    std::vector<WantedServers> wanted;
    wanted.reserve(offers.size());
    const auto count = static_cast<std::uint32_t>(offers.size());
    std::uint32_t cheapPlace = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
        WantedServers servers{offers[i].dataCentre, split.reliable / count + (i < split.reliable % count ? 1 : 0), 0};
        if (offers[i].cheapAvailable) {
            servers.cheap = split.cheap / zones + (cheapPlace < split.cheap % zones ? 1 : 0);
            ++cheapPlace;
        }
        wanted.push_back(servers);
    }
    return wanted;
}

void CapacityPlanner::assumeNeeded(std::uint32_t reliable, std::uint32_t cheap, std::uint32_t slotsPerServer, TimePoint now)
{
    const double part = slotsPerServer / (1.0 + this->options.headroom);
    this->recent.push_back(Seen{now, CapacityNeed{(reliable + cheap) * part, reliable * part, slotsPerServer}});
}

std::vector<WantedServers> CapacityPlanner::plan(
    const CapacityNeed &need, const std::vector<DataCentreOffer> &offers, TimePoint now)
{
    std::erase_if(this->recent, [&](const Seen &seen) {
        return seen.at + this->options.shrinkDelay <= now;
    });
    std::erase_if(this->recent, [&](const Seen &seen) {
        return seen.need.slots <= need.slots && seen.need.reliableSlots <= need.reliableSlots;
    });
    this->recent.push_back(Seen{now, need});
    CapacityNeed largest = need;
    for (const Seen &seen : this->recent) {
        largest.slots = std::max(largest.slots, seen.need.slots);
        largest.reliableSlots = std::max(largest.reliableSlots, seen.need.reliableSlots);
    }
    return placeServers(largest, offers, this->options);
}

} // namespace flamingosaddle
