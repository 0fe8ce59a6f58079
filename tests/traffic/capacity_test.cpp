#include <flamingosaddle/traffic/capacity.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

std::vector<DataCentreOffer> offersOf(const std::vector<bool> &cheapAvailable)
{
    std::vector<DataCentreOffer> offers;
    offers.reserve(cheapAvailable.size());
    for (const bool cheap : cheapAvailable) {
        offers.push_back(DataCentreOffer{DataCentre("dc" + std::to_string(offers.size())), cheap});
    }
    return offers;
}

struct Sums {
    std::uint32_t reliable = 0;
    std::uint32_t cheap = 0;
    std::uint32_t most = 0; // cheap servers of one data centre
};

Sums sumsOf(const std::vector<WantedServers> &wanted)
{
    Sums sums;
    for (const WantedServers &servers : wanted) {
        sums.reliable += servers.reliable;
        sums.cheap += servers.cheap;
        sums.most = std::max(sums.most, servers.cheap);
    }
    return sums;
}

} // namespace

TEST(Capacity, SurvivesTheLossOfAnyDataCentresCheapServers)
{
    EXPECT_TRUE(rc::check("what a whole-zone loss leaves holds the need", []() {
        const auto available = *rc::gen::container<std::vector<bool>>(*rc::gen::inRange(1, 6), rc::gen::arbitrary<bool>());
        CapacityNeed need;
        need.slots = *rc::gen::inRange(0, 500);
        need.reliableSlots = need.slots * *rc::gen::inRange(0, 100) / 100.0;
        need.slotsPerServer = *rc::gen::inRange(1U, 17U);
        const CapacityOptions options;
        const std::vector<DataCentreOffer> offers = offersOf(available);
        const std::vector<WantedServers> wanted = placeServers(need, offers, options);
        const Sums sums = sumsOf(wanted);
        RC_ASSERT((sums.reliable + sums.cheap - sums.most) * need.slotsPerServer >= need.slots);
        RC_ASSERT((sums.reliable + sums.cheap) * need.slotsPerServer >= need.slots * (1.0 + options.headroom) - 1e-6);
        RC_ASSERT(sums.reliable * need.slotsPerServer >= need.reliableSlots * (1.0 + options.headroom) - 1e-6);
        for (std::size_t i = 0; i < wanted.size(); ++i) {
            RC_ASSERT(wanted[i].cheap == 0U || offers[i].cheapAvailable);
            RC_ASSERT(wanted[i].reliable + 1 >= wanted.front().reliable);
        }
    }));
}

TEST(Capacity, CostsNoMoreThanServersThatAreNotCheap)
{
    EXPECT_TRUE(rc::check("the price is at most that of reliable servers alone", []() {
        CapacityNeed need;
        need.slots = *rc::gen::inRange(0, 500);
        const CapacityOptions options;
        const Sums sums = sumsOf(placeServers(need, offersOf({true, true, true}), options));
        const double alone = std::ceil(need.slots * (1.0 + options.headroom) / need.slotsPerServer);
        RC_ASSERT(sums.reliable + sums.cheap * options.cheapPrice <= alone);
    }));
}

TEST(CapacityPlanner, GrowsAtOnceAndShrinksAfterItsDelay)
{
    CapacityPlanner planner{CapacityOptions()};
    const std::vector<DataCentreOffer> offers = offersOf({false});
    const auto serversAt = [&](double slots, TimePoint now) {
        return planner.plan(CapacityNeed{slots, 0.0, 10}, offers, now).front().reliable;
    };
    EXPECT_EQ(serversAt(100.0, TimePoint()), 12U);
    EXPECT_EQ(serversAt(200.0, TimePoint(1min)), 24U);
    EXPECT_EQ(serversAt(50.0, TimePoint(2min)), 24U);
    EXPECT_EQ(serversAt(80.0, TimePoint(8min)), 24U);
    EXPECT_EQ(serversAt(50.0, TimePoint(11min)), 10U) << "80 was needed 3 minutes ago";
    EXPECT_EQ(serversAt(50.0, TimePoint(18min)), 6U);
}

TEST(CapacityPlanner, StopsNothingAtItsStart)
{
    CapacityPlanner planner{CapacityOptions()};
    const std::vector<DataCentreOffer> offers = offersOf({false});
    planner.assumeNeeded(12, 0, 10, TimePoint());
    EXPECT_EQ(planner.plan(CapacityNeed{0.0, 0.0, 10}, offers, TimePoint(1s)).front().reliable, 12U);
    EXPECT_EQ(planner.plan(CapacityNeed{0.0, 0.0, 10}, offers, TimePoint(11min)).front().reliable, 0U);
}
