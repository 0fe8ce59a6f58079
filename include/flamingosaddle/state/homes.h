#pragma once

#include <flamingosaddle/base/id.h>

#include <map>
#include <optional>
#include <vector>

namespace flamingosaddle
{

using RegionName = Id<struct RegionTag>;

/**
 * The regions in which a request may be served, in order and without repetitions; nothing if it may be served anywhere. An empty
 * list allows no region.
 */
using Homes = std::optional<std::vector<RegionName>>;

/** Returns the homes of a request whose route and client account name these regions. An empty list names none. */
Homes homesOf(const std::vector<RegionName> &routeHomes, const std::vector<RegionName> &accountHomes);

/**
 * The region of each data centre, as far as it is known.
 */
using DataCentreRegions = std::map<DataCentre, RegionName>;

/** Returns whether a data centre is in one of the homes. One whose region is not known is in none. */
bool isHome(const std::vector<RegionName> &homes, const DataCentreRegions &regions, const DataCentre &dataCentre);

} // namespace flamingosaddle
