// Guards against memory allocations on the decision path in the steady state, for instance by a container that grows with each
// request.

#include "allocationcounter.h"
#include "decisionload.h"

#include <flamingosaddle/traffic/dispatcher.h>

#include <gtest/gtest.h>

#include <string>

using namespace flamingosaddle;
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

// Counts the starts on servers that may turn cold, and holds back from those that are.
TEST(Decision, AllocatesNothingForColdServersInTheSteadyState)
{
    DispatcherOptions options;
    options.coldServers = {1.5, 5.0, std::nullopt};
    Dispatcher dispatcher(options);
    TimePoint now(std::chrono::hours(1));
    std::vector<BackendServer> servers(40);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].id = BackendServerId("s" + std::to_string(i));
        servers[i].models = {ModelName("model")};
        servers[i].slots = 64;
        servers[i].coldRequestsPerSecond = 5.2;
        servers[i].coldUntil = i % 2 == 0 ? now + std::chrono::hours(1) : TimePoint();
    }
    dispatcher.setServers(servers, now);
    dispatcher.takeColdChanges();
    RequestProfile profile;
    profile.requestClass.name = ClassName("class");
    profile.model = ModelName("model");
    Decisions decisions;
    std::uint64_t before = 0;
    std::uint64_t starts = 0;
    for (int i = 0; i < 20000; ++i) {
        if (i == 10000) {
            before = allocationCount();
            starts = 0;
        }
        now += std::chrono::milliseconds(2);
        profile.arrival = now;
        static_cast<void>(dispatcher.submit(profile, now));
        dispatcher.dispatch(now, decisions);
        for (const Assignment &assignment : decisions.assignments) {
            dispatcher.finish(assignment.ticket, AttemptOutcome::Completed, now);
            ++starts;
        }
    }
    EXPECT_EQ(allocationCount() - before, 0U);
    EXPECT_GT(starts, 9000U);
    EXPECT_EQ(dispatcher.coldCount(), 20U);
}
