#include <flamingosaddle/base/walltime.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

TEST(WallTime, FollowsTheSystemClockAndItsDrift)
{
    WallTime wall;
    EXPECT_EQ(wall.unixTime(1000000ms, TimePoint(1s)), 1000000ms);
    EXPECT_EQ(wall.unixTime(1001010ms, TimePoint(2s)), 1001010ms);
}

TEST(WallTime, IgnoresAStepThatIsReverted)
{
    WallTime wall;
    wall.unixTime(1000000ms, TimePoint(1s));
    EXPECT_EQ(wall.unixTime(1003000ms, TimePoint(2s)), 1001000ms) << "a step of two seconds";
    EXPECT_EQ(wall.unixTime(1008000ms, TimePoint(7s)), 1006000ms);
    EXPECT_EQ(wall.unixTime(1007000ms, TimePoint(8s)), 1007000ms) << "the step was reverted";
}

TEST(WallTime, AcceptsAStepThatLasts)
{
    WallTime wall;
    wall.unixTime(1000000ms, TimePoint(1s));
    wall.unixTime(1005000ms, TimePoint(2s));
    EXPECT_EQ(wall.unixTime(1065000ms, TimePoint(62s)), 1065000ms);
}
