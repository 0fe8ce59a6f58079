#include <flamingosaddle/traffic/ratelimits.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const BackendServerId server("s");

ServerRateLimit stated(std::optional<double> requestsPerSecond, Duration at)
{
    return {server, requestsPerSecond, TimePoint(at)};
}

} // namespace

TEST(RateLimits, AResponseNamesChangesAndLiftsALimit)
{
    RateLimits limits;
    EXPECT_FALSE(limits.applyResponse(stated(std::nullopt, 1s), TimePoint(1s)));
    EXPECT_TRUE(limits.applyResponse(stated(2.0, 2s), TimePoint(2s)));
    EXPECT_FALSE(limits.applyResponse(stated(2.0, 3s), TimePoint(3s)));
    EXPECT_TRUE(limits.applyResponse(stated(5.0, 4s), TimePoint(4s)));
    EXPECT_EQ(limits.size(), 1U);
    EXPECT_TRUE(limits.applyResponse(stated(std::nullopt, 5s), TimePoint(5s)));
    EXPECT_EQ(limits.size(), 0U);
}

// Responses on different connections may overtake each other, so one to an earlier request may have been written before the
// server had a limit.
TEST(RateLimits, AResponseToAnEarlierRequestOnlyLowersALimit)
{
    RateLimits limits;
    limits.applyResponse(stated(2.0, 10s), TimePoint(9s));
    EXPECT_FALSE(limits.applyResponse(stated(std::nullopt, 11s), TimePoint(8s)));
    EXPECT_FALSE(limits.applyResponse(stated(4.0, 11s), TimePoint(8s)));
    EXPECT_TRUE(limits.applyResponse(stated(1.0, 11s), TimePoint(8s)));
}
