#include <flamingosaddle/state/homes.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace flamingosaddle
{

namespace
{

std::vector<RegionName> sortedUnique(std::vector<RegionName> regions)
{
    std::sort(regions.begin(), regions.end());
    regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
    return regions;
}

} // namespace

Homes homesOf(const std::vector<RegionName> &routeHomes, const std::vector<RegionName> &accountHomes)
{
    if (routeHomes.empty() && accountHomes.empty()) {
        return std::nullopt;
    }
    if (routeHomes.empty() || accountHomes.empty()) {
        return sortedUnique(routeHomes.empty() ? accountHomes : routeHomes);
    }
    const std::vector<RegionName> ofRoute = sortedUnique(routeHomes);
    const std::vector<RegionName> ofAccount = sortedUnique(accountHomes);
    std::vector<RegionName> common;
    std::set_intersection(ofRoute.begin(), ofRoute.end(), ofAccount.begin(), ofAccount.end(), std::back_inserter(common));
    return common;
}

bool isHome(const std::vector<RegionName> &homes, const DataCentreRegions &regions, const DataCentre &dataCentre)
{
    const auto region = regions.find(dataCentre);
    return region != regions.end() && std::binary_search(homes.begin(), homes.end(), region->second);
}

} // namespace flamingosaddle
