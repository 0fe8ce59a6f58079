#include <flamingosaddle/state/fleetplan.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const DataCentre here("here");

ScalingRules rules()
{
    ScalingRules scaling;
    scaling.fewest = 1;
    scaling.most = 8;
    scaling.cheapPrice = 0.2;
    scaling.prices = {{here, 1.0}};
    return scaling;
}

std::vector<FleetOrder> dueAt(FleetPlan &plan, FleetCount serving, TimePoint now, std::optional<double> busy = 8.0)
{
    const std::optional<BusyServers> load = busy.has_value() ? std::optional(BusyServers{*busy, *busy}) : std::nullopt;
    return plan.due(rules(), {{here, serving}}, load, now);
}

/** A mix without headroom: as many servers as are busy. */
constexpr FleetMix mix{1.0, 1.0, 1.0, 0.125, 0.5};

} // namespace

TEST(FleetPlan, OrdersWhatIsToServeBeforeItGivesUpWhatServes)
{
    FleetPlan plan(mix);
    EXPECT_EQ(dueAt(plan, {4, 0}, TimePoint(), 5.0), (std::vector<FleetOrder>{{here, 4, true}}));
    plan.answered({here, 4, true}, FleetAnswer::Accepted, TimePoint());
    EXPECT_TRUE(dueAt(plan, {4, 2}, TimePoint(3s), 5.0).empty()) << "the cheap ones do not all serve";
    EXPECT_EQ(dueAt(plan, {4, 4}, TimePoint(4s), 5.0), (std::vector<FleetOrder>{{here, 1, false}}));
}

TEST(FleetPlan, BothKindsTogetherKeepToTheBound)
{
    FleetPlan plan(mix);
    EXPECT_EQ(dueAt(plan, {4, 0}, TimePoint()), (std::vector<FleetOrder>{{here, 4, true}}));
    plan.answered({here, 4, true}, FleetAnswer::Accepted, TimePoint());
    plan.answered({here, 1, false}, FleetAnswer::Accepted, TimePoint(4s));
    EXPECT_EQ(dueAt(plan, {1, 4}, TimePoint(5s)), (std::vector<FleetOrder>{{here, 7, true}})) << "at once: it is another order";
}

TEST(FleetPlan, OrdinaryServersTakeThePlaceOfReclaimedOnes)
{
    FleetPlan plan(mix);
    dueAt(plan, {1, 7}, TimePoint());
    plan.answered({here, 7, true}, FleetAnswer::Accepted, TimePoint());
    plan.answered({here, 7, true}, FleetAnswer::NoneThere, TimePoint(20s));
    const std::vector<FleetOrder> orders = dueAt(plan, {1, 0}, TimePoint(20s));
    EXPECT_EQ(orders, (std::vector<FleetOrder>{{here, 5, false}}));
    plan.answered(orders.front(), FleetAnswer::Accepted, TimePoint(20s));
    EXPECT_EQ(dueAt(plan, {5, 0}, TimePoint(22s)).front().cheap, true) << "cheap ones are asked for again";
}

TEST(FleetPlan, AnOrderWithoutAnAnswerIsSentAgain)
{
    FleetPlan plan(mix);
    plan.answered({here, 4, true}, FleetAnswer::Unknown, TimePoint());
    EXPECT_TRUE(dueAt(plan, {1, 4}, TimePoint(1s), 5.0).empty());
    EXPECT_EQ(dueAt(plan, {1, 4}, TimePoint(2s), 5.0), (std::vector<FleetOrder>{{here, 4, true}}));
}

TEST(FleetPlan, LeavesAServiceWithoutCheapServersAlone)
{
    FleetPlan plan;
    ScalingRules fixed = rules();
    fixed.cheapPrice.reset();
    EXPECT_TRUE(plan.due(fixed, {{here, {4, 0}}}, BusyServers{8.0, 8.0}, TimePoint()).empty());
}

TEST(FleetPlan, KeepsAsManyAsServeAtFirstWhileTheLoadIsNotKnown)
{
    FleetPlan plan(mix);
    EXPECT_EQ(dueAt(plan, {2, 0}, TimePoint(), std::nullopt), (std::vector<FleetOrder>{{here, 1, true}}));
    plan.answered({here, 1, true}, FleetAnswer::Accepted, TimePoint());
    EXPECT_TRUE(dueAt(plan, {2, 1}, TimePoint(1s), std::nullopt).empty()) << "more ordinary ones may become known";
    EXPECT_EQ(dueAt(plan, {4, 0}, TimePoint(1s), std::nullopt), (std::vector<FleetOrder>{{here, 3, true}}));
    plan.answered({here, 3, true}, FleetAnswer::Accepted, TimePoint(1s));
    EXPECT_EQ(dueAt(plan, {4, 3}, TimePoint(4s), std::nullopt), (std::vector<FleetOrder>{{here, 1, false}}));
    plan.answered({here, 1, false}, FleetAnswer::Accepted, TimePoint(4s));
    EXPECT_TRUE(dueAt(plan, {1, 3}, TimePoint(5s), std::nullopt).empty());
}

TEST(FleetPlan, OrdersNothingInADataCentreWhoseServersAreNotReadYet)
{
    const DataCentre there("there");
    ScalingRules two = rules();
    two.prices = {{here, 1.0}, {there, 1.0}};
    FleetPlan plan;
    // The first server that becomes known.
    for (const FleetOrder &order : plan.due(two, {{here, {1, 0}}}, std::nullopt, TimePoint(10s))) {
        EXPECT_EQ(order.dataCentre, here) << "an order for " << order.count << " ends the servers that are there";
    }
    plan.due(two, {{here, {4, 0}}, {there, {4, 0}}}, std::nullopt, TimePoint(12s));
    const std::vector<FleetOrder> later = plan.due(two, {{here, {4, 0}}}, std::nullopt, TimePoint(16s));
    EXPECT_FALSE(later.empty()) << "servers that are lost are replaced";
}

TEST(FleetPlan, FollowsTheLoadUpAtOnceAndDownBeyondItsSlack)
{
    FleetPlan plan(mix);
    dueAt(plan, {1, 3}, TimePoint(), 4.0);
    plan.answered({here, 3, true}, FleetAnswer::Accepted, TimePoint());
    EXPECT_EQ(dueAt(plan, {1, 3}, TimePoint(1s), 6.5), (std::vector<FleetOrder>{{here, 6, true}}));
    plan.answered({here, 6, true}, FleetAnswer::Accepted, TimePoint(1s));
    EXPECT_TRUE(dueAt(plan, {1, 6}, TimePoint(20s), 5.5).empty()) << "not so many too many";
    EXPECT_EQ(dueAt(plan, {1, 6}, TimePoint(40s), 4.0), (std::vector<FleetOrder>{{here, 3, true}}));
    EXPECT_EQ(dueAt(plan, {1, 6}, TimePoint(41s), 1e30), (std::vector<FleetOrder>{{here, 7, true}})) << "the operator's bound";
}

TEST(FleetPlan, AnInstanceThatHasJustBegunToLeadGivesUpNothing)
{
    FleetPlan plan(mix);
    EXPECT_TRUE(dueAt(plan, {1, 3}, TimePoint(), std::nullopt).empty()) << "not all servers are known to it, nor the load";
    EXPECT_TRUE(dueAt(plan, {1, 6}, TimePoint(3s), std::nullopt).empty());
    EXPECT_EQ(dueAt(plan, {1, 6}, TimePoint(4s), 6.0), (std::vector<FleetOrder>{{here, 6, true}}));
}

TEST(FleetPlan, HasRoomForABurstBeforeTheLoadIsKnownAndGivesItUpLater)
{
    FleetPlan plan(FleetMix{1.0, 2.0, 1.0, 0.125, 0.5});
    EXPECT_EQ(dueAt(plan, {4, 0}, TimePoint(), std::nullopt).front(), (FleetOrder{here, 4, true})) << "the operator's bound is 8";
    plan.answered({here, 4, true}, FleetAnswer::Accepted, TimePoint());
    EXPECT_EQ(dueAt(plan, {1, 4}, TimePoint(5s), std::nullopt).front(), (FleetOrder{here, 7, true}));
    plan.answered({here, 7, true}, FleetAnswer::Accepted, TimePoint(5s));
    EXPECT_TRUE(dueAt(plan, {1, 7}, TimePoint(6s), 3.0).empty()) << "the load is known for a moment only";
    EXPECT_EQ(dueAt(plan, {1, 7}, TimePoint(20s), 3.0), (std::vector<FleetOrder>{{here, 2, true}}));
}
