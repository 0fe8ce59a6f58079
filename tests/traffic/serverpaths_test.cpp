// Tells a lost path to all servers of a target from failed servers and from short silences: a false
// positive would forward requests needlessly, a false negative would fail them.

#include <flamingosaddle/traffic/serverpaths.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr TargetIndex target = 0;
constexpr std::size_t servers = ServerPaths::serversPerCheck;

TimePoint at(Duration time)
{
    return TimePoint(100s) + time;
}

std::vector<TargetIndex> dueAt(const ServerPaths &paths, Duration time)
{
    std::vector<TargetIndex> due;
    paths.dueChecks(at(time), due);
    return due;
}

/** Runs one check of which the first @p reached of all connections succeed. Returns whether the belief changed. */
bool check(ServerPaths &paths, Duration time, std::size_t reached)
{
    const PathCheck result = paths.startCheck(target, servers, at(time));
    bool isChanged = false;
    for (std::size_t i = 0; i < servers; ++i) {
        isChanged = paths.recordCheck(result, i + reached >= servers, at(time)) || isChanged;
    }
    return isChanged;
}

} // namespace

TEST(ServerPaths, ALostConnectionIsOnlyASuspicion)
{
    ServerPaths paths;
    EXPECT_TRUE(dueAt(paths, 0ms).empty());
    paths.recordLostConnection(target, false);
    EXPECT_EQ(dueAt(paths, 0ms).size(), 1U);
    EXPECT_FALSE(paths.isUnreachable(target));
    EXPECT_FALSE(check(paths, 0ms, 2)) << "one server that is not reached proves nothing";
    EXPECT_FALSE(paths.isUnreachable(target));
}

TEST(ServerPaths, ATargetIsUnreachableIfMostServersOfACheckAreNotReached)
{
    ServerPaths paths;
    paths.recordLostConnection(target, false);
    const PathCheck connection = paths.startCheck(target, servers, at(0ms));
    EXPECT_FALSE(paths.recordCheck(connection, false, at(1ms)));
    EXPECT_FALSE(paths.isUnreachable(target)) << "results are missing";
    EXPECT_FALSE(paths.recordCheck(connection, true, at(2ms)));
    EXPECT_FALSE(paths.isUnreachable(target)) << "a result is missing";
    EXPECT_TRUE(paths.recordCheck(connection, false, at(3ms)));
    EXPECT_TRUE(paths.isUnreachable(target));
    EXPECT_EQ(paths.unreachableTargets(), std::vector<TargetIndex>{target});
}

TEST(ServerPaths, AnUnreachableTargetIsCheckedUntilMostServersAreReached)
{
    ServerPaths paths;
    EXPECT_TRUE(check(paths, 0ms, 0));
    EXPECT_EQ(paths.nextCheck(), at(ServerPaths::recheckInterval));
    EXPECT_FALSE(check(paths, 300ms, 1));
    EXPECT_TRUE(check(paths, 600ms, 2));
    EXPECT_FALSE(paths.isAnyUnreachable());
    EXPECT_EQ(paths.nextCheck(), std::nullopt);
}

TEST(ServerPaths, SilenceWhileRequestsRunIsChecked)
{
    ServerPaths paths;
    paths.recordStart(target, at(0ms));
    paths.recordContact(target, at(400ms));
    EXPECT_TRUE(dueAt(paths, 899ms).empty());
    EXPECT_EQ(dueAt(paths, 900ms).size(), 1U);
    paths.recordEnd(target);
    EXPECT_TRUE(dueAt(paths, 10s).empty()) << "without requests, silence proves nothing";
}

TEST(ServerPaths, ContactWithOneServerAnswersForAll)
{
    ServerPaths paths;
    paths.recordStart(target, at(0ms)); // at a server that is silent
    for (Duration time = 0ms; time < 20s; time += 400ms) {
        EXPECT_TRUE(dueAt(paths, time).empty());
        paths.recordContact(target, at(time));
    }
}

TEST(ServerPaths, ChecksThatFindATargetReachableBecomeRare)
{
    ServerPaths paths;
    std::size_t checks = 0;
    for (Duration time = 0ms; time < 60s; time += 10ms) {
        paths.recordLostConnection(target, false); // a server that is gone
        if (!dueAt(paths, time).empty()) {
            check(paths, time, 2);
            ++checks;
        }
    }
    EXPECT_LE(checks, 20U);
    EXPECT_GE(checks, 12U) << "a lost path is found within seconds also then";
}

TEST(ServerPaths, AnUrgentCheckWaitsForTheEarlierOneOnly)
{
    ServerPaths paths;
    paths.recordLostConnection(target, false);
    check(paths, 0ms, servers);
    paths.recordLostConnection(target, true);
    EXPECT_EQ(dueAt(paths, 1ms).size(), 1U);
    const PathCheck connection = paths.startCheck(target, 1, at(1ms));
    paths.recordLostConnection(target, true);
    EXPECT_TRUE(dueAt(paths, 2ms).empty()) << "a check that began before the loss proves nothing about it";
    paths.recordCheck(connection, true, at(3ms));
    EXPECT_EQ(dueAt(paths, 3ms).size(), 1U);
}

TEST(ServerPaths, ResultsOfAnEarlierCheckDoNotCount)
{
    ServerPaths paths;
    const PathCheck early = paths.startCheck(target, servers, at(0ms));
    EXPECT_TRUE(dueAt(paths, 1s).empty());
    EXPECT_EQ(dueAt(paths, ServerPaths::checkTimeout).size(), 1U) << "results may be lost with their coroutine";
    EXPECT_TRUE(check(paths, 2s, 0));
    EXPECT_FALSE(paths.recordCheck(early, true, at(2s)));
    EXPECT_TRUE(paths.isUnreachable(target));
}

TEST(ServerPaths, ATargetWithoutServersIsNotUnreachable)
{
    ServerPaths paths;
    check(paths, 0ms, 0);
    paths.reset(target);
    EXPECT_FALSE(paths.isAnyUnreachable());
    EXPECT_EQ(paths.nextCheck(), std::nullopt);
}

TEST(ServerPaths, ChecksHoldConnectionsLongerWhileRequestsContradictThem)
{
    ServerPaths paths;
    std::vector<Duration> holdTimes;
    Duration time = 0ms;
    for (int i = 0; i < 4; ++i) {
        paths.recordLostConnection(target, false);
        const std::optional<TimePoint> due = paths.nextCheck();
        ASSERT_TRUE(due.has_value());
        time = std::max(*due, at(time)) - at(0ms);
        const PathCheck started = paths.startCheck(target, servers, at(time));
        holdTimes.push_back(started.holdTime);
        for (std::size_t j = 0; j < servers; ++j) {
            paths.recordCheck(started, true, at(time));
        }
    }
    EXPECT_EQ(holdTimes, (std::vector<Duration>{50ms, 200ms, 800ms, 800ms}));
    EXPECT_TRUE(check(paths, time + 4s, 0)) << "found to be unreachable";
    EXPECT_EQ(paths.startCheck(target, servers, at(time + 5s)).holdTime, 800ms) << "a short success does not end that";
    paths.recordContact(target, at(time + 6s));
    EXPECT_EQ(paths.startCheck(target, servers, at(time + 7s)).holdTime, 50ms);
}

TEST(ServerPaths, AFailedServerAmongOthersThatAnswerContradictsNothing)
{
    ServerPaths paths;
    for (Duration time = 0ms; time < 20s; time += 4s) {
        paths.recordLostConnection(target, false);
        paths.recordContact(target, at(time));
        EXPECT_EQ(paths.startCheck(target, servers, at(time)).holdTime, ServerPaths::minHoldTime);
    }
}

// Guards against an instance whose requests fail at once on each server, so that none of them is silent for long.
TEST(ServerPaths, RequestsThatFailOnAllServersAreChecked)
{
    ServerPaths paths;
    paths.recordStart(target, at(0ms));
    paths.recordContact(target, at(10ms));
    paths.recordEnd(target);
    paths.recordFailure(target);
    EXPECT_TRUE(dueAt(paths, 400ms).empty()) << "another server may answer";
    EXPECT_EQ(paths.nextCheck(), at(10ms) + ServerPaths::silenceLimit);
    paths.recordFailure(target);
    EXPECT_EQ(dueAt(paths, 510ms).size(), 1U);
    EXPECT_TRUE(check(paths, 510ms, 0));
    EXPECT_TRUE(paths.isUnreachable(target));
}

TEST(ServerPaths, AnInstanceWithFewRequestsChecksAfterTheFirstThatFails)
{
    ServerPaths paths;
    paths.recordFailure(target);
    EXPECT_EQ(dueAt(paths, 0ms).size(), 1U) << "nothing was ever received";
    check(paths, 0ms, 3);
    paths.recordContact(target, at(1s));
    paths.recordFailure(target);
    EXPECT_EQ(dueAt(paths, 20s).size(), 1U);
}

TEST(ServerPaths, AFailureAmongAnswersLeadsToNoCheck)
{
    ServerPaths paths;
    for (int i = 0; i < 100; ++i) {
        paths.recordFailure(target);
        paths.recordContact(target, at(i * 100ms));
        EXPECT_TRUE(dueAt(paths, i * 100ms + 99ms).empty());
    }
}

TEST(ServerPaths, FailuresContradictACheckThatHeldItsConnectionsTooShortly)
{
    ServerPaths paths;
    paths.recordFailure(target);
    check(paths, 0ms, 3);
    paths.recordFailure(target);
    EXPECT_EQ(dueAt(paths, ServerPaths::minCheckInterval).size(), 1U);
    EXPECT_EQ(paths.startCheck(target, servers, at(ServerPaths::minCheckInterval)).holdTime,
        ServerPaths::holdTimeFactor * ServerPaths::minHoldTime);
}
