#include <flamingosaddle/app/callermemory.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

} // namespace

// The smallest machines have to read a largest request while their budget is in use.
TEST(MemoryLimitsOfAMachine, LeaveRoomForALargestRequest)
{
    for (const std::size_t machine : {100, 120, 512}) {
        const MemoryLimits limits = memoryLimitsOf(machine * megabyte, 4 * megabyte);
        EXPECT_EQ(limits.budgetBytes, machine * megabyte / 2);
        EXPECT_GE(limits.reserveBytes, 8 * megabyte) << "in chunks, its string has twice its size";
        EXPECT_LE(limits.budgetBytes + limits.reserveBytes, machine * megabyte * 5 / 8);
    }
}

TEST(ConnectionLimitsOfAMachine, FitItsDescriptorsAndItsMemory)
{
    Settings settings;
    settings.maxDescriptors = 3075;
    const MemoryLimits memory = memoryLimitsOf(120 * megabyte, 4 * megabyte);
    const ConnectionLimits limits = connectionLimitsOf(settings, memory);
    EXPECT_GE(limits.callers, 1000U);
    EXPECT_LE(limits.callers * memory.connectionBytes, memory.budgetBytes / 2);
    const std::size_t callersTwice = 2 * limits.callers; // each may have a connection to a server
    EXPECT_LE(callersTwice + limits.forwarded + limits.instances + limits.operators + limits.readiness, 3075U - 200U);
}

TEST(ConnectionLimitsOfAMachine, AreThoseOfTheSettingsOnALargeOne)
{
    const Settings settings;
    EXPECT_EQ(connectionLimitsOf(settings, memoryLimitsOf(1024 * megabyte, 8 * megabyte)).callers, settings.maxConnections);
}

TEST(CallerLimitsOfAConfiguration, AllowForTheWayOfAHead)
{
    const CallerLimits limits = callerLimitsOf({16384, 4194304, 3s, 15s});
    EXPECT_EQ(limits.maxHeaderBytes, 16384U);
    EXPECT_EQ(limits.maxBodyBytes, 4194304U);
    EXPECT_GT(limits.headerTimeout, 3s);
    EXPECT_EQ(limits.idleTimeout, 15s);
    EXPECT_EQ(callerLimitsOf({}), CallerLimits());
}
