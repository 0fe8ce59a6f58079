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

std::vector<FleetOrder> dueAt(FleetPlan &plan, FleetCount serving, TimePoint now)
{
    return plan.due(rules(), {{here, serving}}, now);
}

} // namespace

TEST(FleetPlan, OrdersWhatIsToServeBeforeItGivesUpWhatServes)
{
    FleetPlan plan(FleetGoal{1, 4, 4});
    EXPECT_EQ(dueAt(plan, {4, 0}, TimePoint()), (std::vector<FleetOrder>{{here, 4, true}}));
    plan.answered({here, 4, true}, FleetAnswer::Accepted, TimePoint());
    EXPECT_TRUE(dueAt(plan, {4, 2}, TimePoint(3s)).empty()) << "the cheap ones do not all serve";
    EXPECT_EQ(dueAt(plan, {4, 4}, TimePoint(4s)), (std::vector<FleetOrder>{{here, 1, false}}));
}

TEST(FleetPlan, BothKindsTogetherKeepToTheBound)
{
    FleetPlan plan(FleetGoal{1, 7, 4});
    EXPECT_EQ(dueAt(plan, {4, 0}, TimePoint()), (std::vector<FleetOrder>{{here, 4, true}}));
    plan.answered({here, 4, true}, FleetAnswer::Accepted, TimePoint());
    plan.answered({here, 1, false}, FleetAnswer::Accepted, TimePoint(4s));
    EXPECT_EQ(dueAt(plan, {1, 4}, TimePoint(5s)), (std::vector<FleetOrder>{{here, 7, true}})) << "at once: it is another order";
}

TEST(FleetPlan, OrdinaryServersTakeThePlaceOfReclaimedOnes)
{
    FleetPlan plan(FleetGoal{1, 7, 4});
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
    FleetPlan plan(FleetGoal{1, 4, 4});
    plan.answered({here, 4, true}, FleetAnswer::Unknown, TimePoint());
    EXPECT_TRUE(dueAt(plan, {1, 4}, TimePoint(1s)).empty());
    EXPECT_EQ(dueAt(plan, {1, 4}, TimePoint(2s)), (std::vector<FleetOrder>{{here, 4, true}}));
}

TEST(FleetPlan, LeavesAServiceWithoutCheapServersAlone)
{
    FleetPlan plan;
    ScalingRules fixed = rules();
    fixed.cheapPrice.reset();
    EXPECT_TRUE(plan.due(fixed, {{here, {4, 0}}}, TimePoint()).empty());
}
