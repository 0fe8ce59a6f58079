#include <flamingosaddle/state/fleetplanner.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const DataCentre dataCentre("d0");

ScalingRules rules()
{
    ScalingRules scaling;
    scaling.minServers = 1;
    scaling.maxServers = 8;
    scaling.cheapPriceRatio = 0.2;
    scaling.ordinaryPrices = {{dataCentre, 1.0}};
    return scaling;
}

std::vector<FleetOrder> dueOrders(FleetPlanner &planner, ServerCounts serving, TimePoint now, std::optional<double> busy = 8.0)
{
    const std::optional<BusyServers> load = busy.has_value() ? std::optional(BusyServers{*busy, *busy}) : std::nullopt;
    return planner.dueOrders(rules(), {{dataCentre, serving}}, load, now);
}

/** Policy without headroom: as many servers as are busy. */
constexpr FleetPolicy noHeadroom{1.0, 1.0, 1.0, 0.125, 0.5};

} // namespace

TEST(FleetPlanner, OrdersReplacementsBeforeItGivesUpServers)
{
    FleetPlanner planner(noHeadroom);
    EXPECT_EQ(dueOrders(planner, {4, 0}, TimePoint(), 5.0), (std::vector<FleetOrder>{{dataCentre, 4, true}}));
    planner.onOrderResult({dataCentre, 4, true}, FleetOrderResult::Accepted, TimePoint());
    EXPECT_TRUE(dueOrders(planner, {4, 2}, TimePoint(3s), 5.0).empty()) << "not all cheap servers are serving yet";
    EXPECT_EQ(dueOrders(planner, {4, 4}, TimePoint(4s), 5.0), (std::vector<FleetOrder>{{dataCentre, 1, false}}));
}

// A cold server bears a fraction of the requests of a warm one.
TEST(FleetPlanner, KeepsOrdinaryServersUntilTheirReplacementsAreWarm)
{
    FleetPlanner planner(noHeadroom);
    dueOrders(planner, {4, 0}, TimePoint(), 5.0);
    planner.onOrderResult({dataCentre, 4, true}, FleetOrderResult::Accepted, TimePoint());
    EXPECT_TRUE(dueOrders(planner, {4, 4, 1}, TimePoint(4s), 5.0).empty());
    EXPECT_EQ(dueOrders(planner, {4, 4, 0}, TimePoint(7s), 5.0), (std::vector<FleetOrder>{{dataCentre, 1, false}}));
}

TEST(FleetPlanner, BothKindsTogetherStayWithinTheLimit)
{
    FleetPlanner planner(noHeadroom);
    EXPECT_EQ(dueOrders(planner, {4, 0}, TimePoint()), (std::vector<FleetOrder>{{dataCentre, 4, true}}));
    planner.onOrderResult({dataCentre, 4, true}, FleetOrderResult::Accepted, TimePoint());
    planner.onOrderResult({dataCentre, 1, false}, FleetOrderResult::Accepted, TimePoint(4s));
    EXPECT_EQ(dueOrders(planner, {1, 4}, TimePoint(5s)), (std::vector<FleetOrder>{{dataCentre, 7, true}}))
        << "a changed number is ordered at once";
}

TEST(FleetPlanner, OrdinaryServersReplaceReclaimedOnes)
{
    FleetPlanner planner(noHeadroom);
    dueOrders(planner, {1, 7}, TimePoint());
    planner.onOrderResult({dataCentre, 7, true}, FleetOrderResult::Accepted, TimePoint());
    planner.onOrderResult({dataCentre, 7, true}, FleetOrderResult::Unavailable, TimePoint(20s));
    const std::vector<FleetOrder> orders = dueOrders(planner, {1, 0}, TimePoint(20s));
    EXPECT_EQ(orders, (std::vector<FleetOrder>{{dataCentre, 5, false}}));
    planner.onOrderResult(orders.front(), FleetOrderResult::Accepted, TimePoint(20s));
    EXPECT_EQ(dueOrders(planner, {5, 0}, TimePoint(22s)).front().cheap, true) << "cheap servers are ordered again";
}

TEST(FleetPlanner, AnOrderWithAnUnknownOutcomeIsRepeated)
{
    FleetPlanner planner(noHeadroom);
    planner.onOrderResult({dataCentre, 4, true}, FleetOrderResult::Unknown, TimePoint());
    EXPECT_TRUE(dueOrders(planner, {1, 4}, TimePoint(1s), 5.0).empty());
    EXPECT_EQ(dueOrders(planner, {1, 4}, TimePoint(2s), 5.0), (std::vector<FleetOrder>{{dataCentre, 4, true}}));
}

TEST(FleetPlanner, OrdersNothingForAServiceWithoutCheapServers)
{
    FleetPlanner planner;
    ScalingRules fixed = rules();
    fixed.cheapPriceRatio.reset();
    EXPECT_TRUE(planner.dueOrders(fixed, {{dataCentre, {4, 0}}}, BusyServers{8.0, 8.0}, TimePoint()).empty());
}

TEST(FleetPlanner, KeepsTheInitialNumberWhileTheLoadIsNotKnown)
{
    FleetPlanner planner(noHeadroom);
    EXPECT_EQ(dueOrders(planner, {2, 0}, TimePoint(), std::nullopt), (std::vector<FleetOrder>{{dataCentre, 1, true}}));
    planner.onOrderResult({dataCentre, 1, true}, FleetOrderResult::Accepted, TimePoint());
    EXPECT_TRUE(dueOrders(planner, {2, 1}, TimePoint(1s), std::nullopt).empty()) << "more ordinary servers may become known";
    EXPECT_EQ(dueOrders(planner, {4, 0}, TimePoint(1s), std::nullopt), (std::vector<FleetOrder>{{dataCentre, 3, true}}));
    planner.onOrderResult({dataCentre, 3, true}, FleetOrderResult::Accepted, TimePoint(1s));
    EXPECT_EQ(dueOrders(planner, {4, 3}, TimePoint(4s), std::nullopt), (std::vector<FleetOrder>{{dataCentre, 1, false}}));
    planner.onOrderResult({dataCentre, 1, false}, FleetOrderResult::Accepted, TimePoint(4s));
    EXPECT_TRUE(dueOrders(planner, {1, 3}, TimePoint(5s), std::nullopt).empty());
}

TEST(FleetPlanner, OrdersNothingInADataCentreWhoseServersAreNotReadYet)
{
    const DataCentre second("d1");
    ScalingRules twoDataCentres = rules();
    twoDataCentres.ordinaryPrices = {{dataCentre, 1.0}, {second, 1.0}};
    FleetPlanner planner;
    // Only the first server is known so far.
    for (const FleetOrder &order : planner.dueOrders(twoDataCentres, {{dataCentre, {1, 0}}}, std::nullopt, TimePoint(10s))) {
        EXPECT_EQ(order.dataCentre, dataCentre) << "an order for " << order.count << " stops the servers that are running there";
    }
    planner.dueOrders(twoDataCentres, {{dataCentre, {4, 0}}, {second, {4, 0}}}, std::nullopt, TimePoint(12s));
    const std::vector<FleetOrder> later = planner.dueOrders(twoDataCentres, {{dataCentre, {4, 0}}}, std::nullopt, TimePoint(16s));
    EXPECT_FALSE(later.empty()) << "lost servers are replaced";
}

TEST(FleetPlanner, GrowsWithTheLoadAtOnceAndShrinksOnlyBeyondTheThreshold)
{
    FleetPlanner planner(noHeadroom);
    dueOrders(planner, {1, 3}, TimePoint(), 4.0);
    planner.onOrderResult({dataCentre, 3, true}, FleetOrderResult::Accepted, TimePoint());
    EXPECT_EQ(dueOrders(planner, {1, 3}, TimePoint(1s), 6.5), (std::vector<FleetOrder>{{dataCentre, 6, true}}));
    planner.onOrderResult({dataCentre, 6, true}, FleetOrderResult::Accepted, TimePoint(1s));
    EXPECT_TRUE(dueOrders(planner, {1, 6}, TimePoint(20s), 5.5).empty()) << "the excess is below the threshold";
    EXPECT_EQ(dueOrders(planner, {1, 6}, TimePoint(40s), 4.0), (std::vector<FleetOrder>{{dataCentre, 3, true}}));
    EXPECT_EQ(dueOrders(planner, {1, 6}, TimePoint(41s), 1e30), (std::vector<FleetOrder>{{dataCentre, 7, true}}))
        << "the operator's limit is 8";
}

TEST(FleetPlanner, ANewLeaderGivesUpNoServers)
{
    FleetPlanner planner(noHeadroom);
    EXPECT_TRUE(dueOrders(planner, {1, 3}, TimePoint(), std::nullopt).empty()) << "neither all servers nor the load are known";
    EXPECT_TRUE(dueOrders(planner, {1, 6}, TimePoint(3s), std::nullopt).empty());
    EXPECT_EQ(dueOrders(planner, {1, 6}, TimePoint(4s), 6.0), (std::vector<FleetOrder>{{dataCentre, 6, true}}));
}

TEST(FleetPlanner, KeepsHeadroomForABurstUntilTheLoadIsKnownAndThenShrinks)
{
    FleetPlanner planner(FleetPolicy{1.0, 2.0, 1.0, 0.125, 0.5});
    EXPECT_EQ(dueOrders(planner, {4, 0}, TimePoint(), std::nullopt).front(), (FleetOrder{dataCentre, 4, true}))
        << "the operator's limit is 8";
    planner.onOrderResult({dataCentre, 4, true}, FleetOrderResult::Accepted, TimePoint());
    EXPECT_EQ(dueOrders(planner, {1, 4}, TimePoint(5s), std::nullopt).front(), (FleetOrder{dataCentre, 7, true}));
    planner.onOrderResult({dataCentre, 7, true}, FleetOrderResult::Accepted, TimePoint(5s));
    EXPECT_TRUE(dueOrders(planner, {1, 7}, TimePoint(6s), 3.0).empty()) << "the load has been known only for a moment";
    EXPECT_EQ(dueOrders(planner, {1, 7}, TimePoint(20s), 3.0), (std::vector<FleetOrder>{{dataCentre, 2, true}}));
}

TEST(FleetPlanner, OrdersNothingInAnEvacuatedDataCentreAndWhatIsMissingElsewhere)
{
    const DataCentre second("d1");
    ScalingRules twoDataCentres = rules();
    twoDataCentres.ordinaryPrices = {{dataCentre, 1.0}, {second, 1.0}};
    const std::map<DataCentre, ServerCounts> serving{{dataCentre, {1, 3}}, {second, {1, 3}}};
    FleetPlanner planner(noHeadroom);
    for (const FleetOrder &order : planner.dueOrders(twoDataCentres, serving, BusyServers{8.0, 8.0}, TimePoint())) {
        EXPECT_EQ(order.count, 3U);
        planner.onOrderResult(order, FleetOrderResult::Accepted, TimePoint());
    }
    const std::vector<FleetOrder> orders
        = planner.dueOrders(twoDataCentres, serving, BusyServers{8.0, 8.0}, TimePoint(1s), {dataCentre});
    EXPECT_EQ(orders, (std::vector<FleetOrder>{{second, 7, true}})) << "eight servers, which is also the limit";
    EXPECT_TRUE(planner.dueOrders(twoDataCentres, serving, BusyServers{80.0, 80.0}, TimePoint(2s), {dataCentre, second}).empty());
    for (const FleetOrder &order : planner.dueOrders(twoDataCentres, {}, BusyServers{8.0, 8.0}, TimePoint(3s), {second})) {
        EXPECT_EQ(order.dataCentre, dataCentre) << "the servers lost meanwhile are replaced after the return";
    }
}
