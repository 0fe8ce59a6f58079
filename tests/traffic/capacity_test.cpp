#include <flamingosaddle/traffic/capacity.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

std::vector<DataCentreAvailability> availabilityOf(const std::vector<bool> &cheapAvailable)
{
    std::vector<DataCentreAvailability> availability;
    availability.reserve(cheapAvailable.size());
    for (const bool cheap : cheapAvailable) {
        availability.push_back(DataCentreAvailability{DataCentre("dc" + std::to_string(availability.size())), cheap});
    }
    return availability;
}

struct Totals {
    std::uint32_t ordinary = 0;
    std::uint32_t cheap = 0;
    std::uint32_t maxCheap = 0; // largest number of cheap servers in one data centre
};

Totals totalsOf(const std::vector<DesiredServers> &wanted)
{
    Totals totals;
    for (const DesiredServers &servers : wanted) {
        totals.ordinary += servers.ordinary;
        totals.cheap += servers.cheap;
        totals.maxCheap = std::max(totals.maxCheap, servers.cheap);
    }
    return totals;
}

} // namespace

TEST(Capacity, SurvivesTheLossOfAnyDataCentresCheapServers)
{
    EXPECT_TRUE(rc::check("the servers left after a data centre lost its cheap ones cover the demand", []() {
        const auto available = *rc::gen::container<std::vector<bool>>(*rc::gen::inRange(1, 6), rc::gen::arbitrary<bool>());
        CapacityDemand demand;
        demand.slots = *rc::gen::inRange(0, 500);
        demand.ordinarySlots = demand.slots * *rc::gen::inRange(0, 100) / 100.0;
        demand.slotsPerServer = *rc::gen::inRange(1U, 17U);
        const CapacityOptions options;
        const std::vector<DataCentreAvailability> availability = availabilityOf(available);
        const std::vector<DesiredServers> wanted = allocateServers(demand, availability, options);
        const Totals totals = totalsOf(wanted);
        RC_ASSERT((totals.ordinary + totals.cheap - totals.maxCheap) * demand.slotsPerServer >= demand.slots);
        RC_ASSERT((totals.ordinary + totals.cheap) * demand.slotsPerServer >= demand.slots * (1.0 + options.headroom) - 1e-6);
        RC_ASSERT(totals.ordinary * demand.slotsPerServer >= demand.ordinarySlots * (1.0 + options.headroom) - 1e-6);
        for (std::size_t i = 0; i < wanted.size(); ++i) {
            RC_ASSERT(wanted[i].cheap == 0U || availability[i].cheapAvailable);
            RC_ASSERT(wanted[i].ordinary + 1 >= wanted.front().ordinary);
        }
    }));
}

TEST(Capacity, CostsAtMostAsMuchAsOrdinaryServersAlone)
{
    EXPECT_TRUE(rc::check("the price is at most that of ordinary servers alone", []() {
        CapacityDemand demand;
        demand.slots = *rc::gen::inRange(0, 500);
        const CapacityOptions options;
        const Totals totals = totalsOf(allocateServers(demand, availabilityOf({true, true, true}), options));
        const double alone = std::ceil(demand.slots * (1.0 + options.headroom) / demand.slotsPerServer);
        RC_ASSERT(totals.ordinary + totals.cheap * options.cheapPriceRatio <= alone);
    }));
}

TEST(CapacityPlanner, ScalesUpImmediatelyAndDownAfterTheDelay)
{
    CapacityPlanner planner{CapacityOptions()};
    const std::vector<DataCentreAvailability> availability = availabilityOf({false});
    const auto serversAt = [&](double slots, TimePoint now) {
        return planner.plan(CapacityDemand{slots, 0.0, 10}, availability, now).front().ordinary;
    };
    EXPECT_EQ(serversAt(100.0, TimePoint()), 12U);
    EXPECT_EQ(serversAt(200.0, TimePoint(1min)), 24U);
    EXPECT_EQ(serversAt(50.0, TimePoint(2min)), 24U);
    EXPECT_EQ(serversAt(80.0, TimePoint(8min)), 24U);
    EXPECT_EQ(serversAt(50.0, TimePoint(11min)), 10U) << "the demand was 80 three minutes ago";
    EXPECT_EQ(serversAt(50.0, TimePoint(18min)), 6U);
}

TEST(CapacityPlanner, KeepsRunningServersAfterItsStart)
{
    CapacityPlanner planner{CapacityOptions()};
    const std::vector<DataCentreAvailability> availability = availabilityOf({false});
    planner.assumeDemand(12, 0, 10, TimePoint());
    EXPECT_EQ(planner.plan(CapacityDemand{0.0, 0.0, 10}, availability, TimePoint(1s)).front().ordinary, 12U);
    EXPECT_EQ(planner.plan(CapacityDemand{0.0, 0.0, 10}, availability, TimePoint(11min)).front().ordinary, 0U);
}
