#include <flamingosaddle/traffic/ratelimits.h>
#include <flamingosaddle/traffic/tokenbucket.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <string>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const BackendServerId server("s");

ServerRateLimit stated(std::optional<double> requestsPerSecond, Duration at)
{
    return {server, requestsPerSecond, TimePoint(at)};
}

std::vector<InstanceId> instanceIds(std::size_t count)
{
    std::vector<InstanceId> ids;
    for (std::size_t i = 0; i < count; ++i) {
        ids.emplace_back("i" + std::to_string(i));
    }
    return ids;
}

/** Returns the shares of a limit, one for each instance that has one. */
std::vector<RateShare> sharesOf(double limit, std::size_t instances)
{
    std::vector<RateShare> shares;
    for (const InstanceId &self : instanceIds(instances)) {
        RateLimits limits;
        std::vector<InstanceId> peers = instanceIds(instances);
        std::erase(peers, self);
        limits.setInstances(self, peers);
        limits.applyPeerReport(stated(limit, 1s));
        const RateShare share = limits.share(server).value();
        if (share.requestsPerSecond > 0.0) {
            shares.push_back(share);
        }
    }
    return shares;
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

TEST(RateLimits, TheNewestStatementOfAnyInstanceCounts)
{
    RateLimits limits;
    EXPECT_TRUE(limits.applyPeerReport(stated(2.0, 10s)));
    EXPECT_FALSE(limits.applyPeerReport(stated(3.0, 9s)));
    EXPECT_FALSE(limits.applyPeerReport(stated(2.0, 11s)));
    EXPECT_TRUE(limits.applyPeerReport(stated(std::nullopt, 12s)));
    EXPECT_FALSE(limits.applyPeerReport(stated(2.0, 11s))) << "a delayed report of a limit that was lifted since";
    EXPECT_EQ(limits.size(), 0U);
    EXPECT_EQ(limits.share(server), std::nullopt);
    EXPECT_TRUE(limits.applyPeerReport(stated(2.0, 13s)));
}

TEST(RateLimits, OnlyTheLastReaderReportsALimit)
{
    RateLimits limits;
    std::vector<ServerRateLimit> reports;
    limits.applyResponse(stated(2.0, 10s), TimePoint(9s));
    limits.ownReports(reports);
    EXPECT_EQ(reports, std::vector{stated(2.0, 10s)});
    limits.applyPeerReport(stated(2.0, 11s));
    limits.ownReports(reports);
    EXPECT_TRUE(reports.empty());
    limits.applyResponse(stated(std::nullopt, 12s), TimePoint(11s));
    limits.ownReports(reports);
    EXPECT_EQ(reports, std::vector{stated(std::nullopt, 12s)}) << "the others have to learn that the limit was lifted";
}

TEST(RateLimits, ForgetsServersThatAreGoneAndLiftedLimits)
{
    RateLimits limits;
    const auto configured = [](const BackendServerId &) {
        return true;
    };
    const auto absent = [](const BackendServerId &) {
        return false;
    };
    limits.applyPeerReport(stated(2.0, 10s));
    limits.expire(configured, TimePoint(1h));
    limits.expire(absent, TimePoint(10s) + RateLimits::absentRetention - 1s);
    EXPECT_EQ(limits.size(), 1U);
    limits.expire(absent, TimePoint(10s) + RateLimits::absentRetention);
    EXPECT_EQ(limits.size(), 0U);
    limits.applyResponse(stated(2.0, 10s), TimePoint(9s));
    limits.applyResponse(stated(std::nullopt, 12s), TimePoint(11s));
    limits.expire(configured, TimePoint(12s) + RateLimits::liftedRetention);
    std::vector<ServerRateLimit> reports;
    limits.ownReports(reports);
    EXPECT_TRUE(reports.empty());
}

TEST(RateLimits, TheSharesOfAllInstancesAddUpToTheLimit)
{
    EXPECT_TRUE(rc::check("the shares add up and their bursts are bounded", []() {
        const auto instances = *rc::gen::inRange<std::size_t>(1, 130);
        const double limit = *rc::gen::inRange(1, 20000) / 100.0;
        const std::vector<RateShare> shares = sharesOf(limit, instances);
        double rate = 0.0;
        double burst = 0.0;
        for (const RateShare &share : shares) {
            rate += share.requestsPerSecond;
            burst += share.burst;
            RC_ASSERT(share.initialTokens < 1.0);
        }
        const double expected = std::max(limit, RateLimits::minRequestsPerSecond);
        RC_ASSERT(std::abs(rate - expected) < 1e-6 * expected);
        RC_ASSERT(burst <= RateLimits::minBurst + RateLimits::burstSeconds * limit + 1e-6);
    }));
}

TEST(TokenBucket, GrantsItsRateAndABoundedBurst)
{
    TokenBucket bucket(0.5, 1.0, 0.0, TimePoint(10s));
    EXPECT_EQ(bucket.wholeTokens(), 0U);
    EXPECT_EQ(bucket.nextTokenAt(), TimePoint(12s));
    bucket.refill(*bucket.nextTokenAt());
    EXPECT_EQ(bucket.wholeTokens(), 1U);
    EXPECT_EQ(bucket.nextTokenAt(), std::nullopt);
    bucket.refill(TimePoint(1h));
    EXPECT_EQ(bucket.wholeTokens(), 1U) << "a pause saves up no more than the capacity";
    bucket.take();
    EXPECT_EQ(bucket.wholeTokens(), 0U);
    bucket.setRate(10.0, 3.0, TimePoint(1h) + 1s);
    EXPECT_EQ(bucket.wholeTokens(), 0U) << "time before a change counts at the former rate";
    bucket.refill(TimePoint(1h) + 2s);
    EXPECT_EQ(bucket.wholeTokens(), 3U);
    bucket.setRate(0.0, 1.0, TimePoint(1h) + 2s);
    bucket.take();
    EXPECT_EQ(bucket.nextTokenAt(), std::nullopt) << "there is never another token";
}
