#include "receivetimes.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;

TEST(ReceiveTimes, AMessageIsReceivedWithItsLastByte)
{
    ReceiveTimes times;
    const TimePoint start;
    times.recordRead(10, start);
    times.recordRead(0, start + ReceiveTimes::resolution);
    times.recordRead(10, start + 2 * ReceiveTimes::resolution);
    times.recordRead(10, start + 4 * ReceiveTimes::resolution);
    EXPECT_EQ(times.received(), 30U);
    EXPECT_EQ(times.takeUntil(10), start);
    EXPECT_EQ(times.takeUntil(15), start + 2 * ReceiveTimes::resolution);
    EXPECT_EQ(times.takeUntil(20), start + 2 * ReceiveTimes::resolution);
    EXPECT_EQ(times.takeUntil(30), start + 4 * ReceiveTimes::resolution);
}

// Guards against a sender of single bytes that makes a connection keep a time for each.
TEST(ReceiveTimes, ReadsWithinTheResolutionCountAsOne)
{
    ReceiveTimes times;
    const TimePoint start;
    times.recordRead(1, start);
    times.recordRead(1, start + ReceiveTimes::resolution / 2);
    times.recordRead(1, start + ReceiveTimes::resolution);
    EXPECT_EQ(times.takeUntil(2), start);
    EXPECT_EQ(times.takeUntil(3), start + ReceiveTimes::resolution);
}
