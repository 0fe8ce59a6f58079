#include <flamingosaddle/state/servicedemand.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const ServiceName engines("engines");

/** Records load that keeps @p servers busy for @p seconds, four times a second. */
void recordLoad(DemandMeter &meter, TimePoint &now, int seconds, std::uint64_t servers)
{
    for (int i = 0; i < seconds * 4; ++i) {
        now += 250ms;
        meter.record({engines, servers * 250}, now);
    }
}

} // namespace

TEST(DemandMeter, TheLoadIsUnknownBeforeTheMinimumMeasurementTime)
{
    DemandMeter meter;
    TimePoint now(1s);
    EXPECT_FALSE(meter.busyServers(engines, now).has_value());
    recordLoad(meter, now, 2, 10);
    EXPECT_FALSE(meter.busyServers(engines, now).has_value());
}

TEST(DemandMeter, FollowsAnIncreaseQuicklyAndADecreaseSlowly)
{
    DemandMeter meter;
    TimePoint now(1s);
    recordLoad(meter, now, 20, 10);
    EXPECT_NEAR(meter.busyServers(engines, now)->steady, 10.0, 1.0);
    EXPECT_NEAR(meter.busyServers(engines, now)->peak, 10.0, 1.0);
    recordLoad(meter, now, 5, 30);
    EXPECT_GT(meter.busyServers(engines, now)->peak, 25.0);
    EXPECT_LT(meter.busyServers(engines, now)->steady, 20.0);
    recordLoad(meter, now, 10, 10);
    EXPECT_GT(meter.busyServers(engines, now)->peak, 18.0) << "another burst may follow";
    recordLoad(meter, now, 100, 10);
    EXPECT_NEAR(meter.busyServers(engines, now)->peak, 10.0, 1.0);
}
