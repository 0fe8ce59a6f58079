// Guards against memory allocations on the decision path in the steady state, for instance by a container that grows with each
// request.

#include "allocationcounter.h"
#include "decisionload.h"

#include <gtest/gtest.h>

using namespace flamingosaddle::simulation;

TEST(Decision, AllocatesNothingInTheSteadyState)
{
    DecisionLoad load;
    const std::uint64_t startsBefore = load.starts();
    const std::uint64_t before = allocationCount();
    for (int i = 0; i < 20000; ++i) {
        load.step();
    }
    EXPECT_EQ(allocationCount() - before, 0U);
    EXPECT_GT(load.starts() - startsBefore, 10000U) << "the load must make decisions";
    EXPECT_GT(load.waiting(), 100U) << "the load must keep requests waiting";
}
