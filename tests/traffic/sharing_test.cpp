// Guards against requests being forwarded repeatedly or to peers that cannot serve them in time, and against reserves that starve
// lower tiers without helping higher ones.

#include <flamingosaddle/traffic/forward.h>
#include <flamingosaddle/traffic/reserve.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

QueueWaitReport reportOf(const std::string &instance, double seconds, TimePoint measuredAt)
{
    QueueWaitReport report;
    report.instance = InstanceId(instance);
    report.model = ModelName("m");
    report.waits = {TierWait{0, seconds}};
    report.measuredAt = measuredAt;
    return report;
}

ForwardRequest requestOf(double localWaitSeconds)
{
    ForwardRequest request;
    request.model = ModelName("m");
    request.localWaitSeconds = localWaitSeconds;
    request.slackSeconds = 2.0;
    return request;
}

} // namespace

TEST(Forwarder, ForwardsOnceAndOnlyWhereTheWaitFits)
{
    EXPECT_TRUE(rc::check("the chosen peer's report is recent and its wait is short enough", []() {
        const auto waits = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10000));
        const auto ages = *rc::gen::container<std::vector<int>>(waits.size(), rc::gen::inRange(0, 10));
        const double own = *rc::gen::inRange(0, 10000) / 1000.0;
        const TimePoint now(100s);
        std::vector<QueueWaitReport> peers;
        for (std::size_t i = 0; i < waits.size(); ++i) {
            peers.push_back(reportOf(std::to_string(i), waits[i] / 1000.0, now - std::chrono::seconds(ages[i])));
        }
        Forwarder forwarder(*rc::gen::arbitrary<std::uint64_t>());
        ForwardRequest request = requestOf(own);
        const std::optional<std::size_t> chosen = forwarder.choosePeer(request, peers, now);
        if (chosen.has_value()) {
            RC_ASSERT(own > request.slackSeconds * Forwarder::maxSlackFraction);
            RC_ASSERT(peers[*chosen].waits.front().seconds <= std::min(own / 2, request.slackSeconds));
            RC_ASSERT(now - peers[*chosen].measuredAt <= Forwarder::maxReportAge);
        }
        request.forwarded = true;
        RC_ASSERT(!forwarder.choosePeer(request, peers, now).has_value());
    }));
}

TEST(Forwarder, ChoosesThePeerWithFreeCapacity)
{
    Forwarder forwarder(1);
    const std::vector<QueueWaitReport> peers{reportOf("busy", 3.0, TimePoint(1s)), reportOf("idle", 0.1, TimePoint(1s))};
    EXPECT_EQ(forwarder.choosePeer(requestOf(3.0), peers, TimePoint(2s)), 1U);
    EXPECT_EQ(forwarder.choosePeer(requestOf(0.5), peers, TimePoint(2s)), std::nullopt) << "the local wait is short enough";
    ForwardRequest lower = requestOf(3.0);
    lower.tier = 1;
    EXPECT_EQ(forwarder.choosePeer(lower, peers, TimePoint(2s)), std::nullopt) << "no peer reported this tier";
}

TEST(Reserve, GrowsWithHigherTierLoadUpToItsLimit)
{
    EXPECT_TRUE(rc::check("more arrivals or less slack reserve at least as many slots", []() {
        ReserveInputs inputs;
        inputs.startsPerSecond = *rc::gen::inRange(1, 100) / 10.0;
        inputs.arrivalsPerSecond = inputs.startsPerSecond * *rc::gen::inRange(0, 60) / 100.0;
        inputs.slackSeconds = *rc::gen::inRange(0, 50) / 10.0;
        const auto limit = *rc::gen::inRange(0U, 20U);
        const std::uint32_t reserved = reservedSlots(inputs, limit);
        RC_ASSERT(reserved <= limit);
        ReserveInputs busier = inputs;
        busier.arrivalsPerSecond *= 1.2;
        RC_ASSERT(reservedSlots(busier, limit) >= reserved);
        ReserveInputs moreSlack = inputs;
        moreSlack.slackSeconds += 1.0;
        RC_ASSERT(reservedSlots(moreSlack, limit) <= reserved);
    }));
}

TEST(Reserve, ReservesNothingWhereItCannotHelp)
{
    EXPECT_EQ(reservedSlots({0.0, 1.0, 1.0}, 5), 0U);
    EXPECT_EQ(reservedSlots({3.0, 0.0, 1.0}, 5), 0U);
    EXPECT_EQ(reservedSlots({3.0, 2.9, 1.0}, 5), 0U) << "higher tiers use most slots anyway";
    EXPECT_EQ(reservedSlots({100.0, 20.0, 1.0}, 5), 0U) << "the next slot becomes free soon enough";
    EXPECT_GT(reservedSlots({3.0, 1.2, 1.0}, 5), 0U);
}
