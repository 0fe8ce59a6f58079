// Guards against requests that are served outside of their homes because one of two restrictions, an order or an unknown region
// was not taken into account.

#include <flamingosaddle/state/homes.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;

namespace
{

const RegionName east("east");
const RegionName north("north");
const RegionName west("west");

using Names = std::vector<RegionName>;

} // namespace

TEST(Homes, WithoutAnyARequestMayBeServedAnywhere)
{
    EXPECT_EQ(homesOf({}, {}), std::nullopt);
}

TEST(Homes, ThoseOfTheRouteOrTheAccountBind)
{
    EXPECT_EQ(homesOf({west, east}, {}), (Names{east, west}));
    EXPECT_EQ(homesOf({}, {west, east, west}), (Names{east, west}));
}

TEST(Homes, ThoseOfBothBindTogether)
{
    EXPECT_EQ(homesOf({west, east}, {north, west}), (Names{west}));
    EXPECT_EQ(homesOf({east}, {west}), Names{}) << "nowhere, which is not anywhere";
}

TEST(Homes, ADataCentreOfAnUnknownRegionIsNoHome)
{
    const DataCentreRegions regions{{DataCentre("a"), east}, {DataCentre("b"), west}};
    EXPECT_TRUE(isHome({east, north}, regions, DataCentre("a")));
    EXPECT_FALSE(isHome({east, north}, regions, DataCentre("b")));
    EXPECT_FALSE(isHome({east, north, west}, regions, DataCentre("c")));
    EXPECT_FALSE(isHome({}, regions, DataCentre("a")));
    EXPECT_FALSE(isHome({RegionName()}, regions, DataCentre("c")));
}
