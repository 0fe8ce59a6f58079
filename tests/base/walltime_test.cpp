#include <flamingosaddle/base/walltime.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

TEST(WallTime, FollowsTheTimeOfDayAndItsDrift)
{
    WallTime wall;
    EXPECT_EQ(wall.unixTime(1000000ms, TimePoint(1s)), 1000000ms);
    EXPECT_EQ(wall.unixTime(1001010ms, TimePoint(2s)), 1001010ms);
}

TEST(WallTime, PassesOverAStepAndItsReturn)
{
    WallTime wall;
    wall.unixTime(1000000ms, TimePoint(1s));
    EXPECT_EQ(wall.unixTime(1003000ms, TimePoint(2s)), 1001000ms) << "two seconds too far";
    EXPECT_EQ(wall.unixTime(1008000ms, TimePoint(7s)), 1006000ms);
    EXPECT_EQ(wall.unixTime(1007000ms, TimePoint(8s)), 1007000ms) << "it jumped back";
}

TEST(WallTime, BelievesACorrectionThatLasts)
{
    WallTime wall;
    wall.unixTime(1000000ms, TimePoint(1s));
    wall.unixTime(1005000ms, TimePoint(2s));
    EXPECT_EQ(wall.unixTime(1065000ms, TimePoint(62s)), 1065000ms);
}
