#include <flamingosaddle/base/clock.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;

TEST(RuntimeClock, DoesNotAdvanceWhilePaused)
{
    const PausedClock paused;
    const TimePoint before = RuntimeClock::now();
    EXPECT_EQ(RuntimeClock::now(), before);
}

TEST(RuntimeClock, AdvancesByTheGivenStepWhilePaused)
{
    const PausedClock paused;
    const TimePoint before = RuntimeClock::now();
    RuntimeClock::advance(std::chrono::hours(1));
    EXPECT_EQ(RuntimeClock::now() - before, std::chrono::hours(1));
}

TEST(RuntimeClock, NeverGoesBackWhenResumed)
{
    TimePoint before;
    {
        const PausedClock paused;
        RuntimeClock::advance(std::chrono::minutes(5));
        before = RuntimeClock::now();
    }
    EXPECT_GE(RuntimeClock::now(), before);
}
