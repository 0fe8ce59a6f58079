#include <flamingosaddle/traffic/forward.h>
#include <flamingosaddle/traffic/reserve.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

QueuePressure pressureOf(const std::string &instance, double seconds, TimePoint measuredAt)
{
    QueuePressure pressure;
    pressure.instance = InstanceId(instance);
    pressure.model = ModelName("m");
    pressure.waits = {TierWait{0, seconds}};
    pressure.measuredAt = measuredAt;
    return pressure;
}

ForwardQuestion questionOf(double ownWaitSeconds)
{
    ForwardQuestion question;
    question.model = ModelName("m");
    question.ownWaitSeconds = ownWaitSeconds;
    question.slackSeconds = 2.0;
    return question;
}

} // namespace

TEST(Forwarder, HandsOnOnlyOnceAndOnlyWhereTheWaitFits)
{
    EXPECT_TRUE(rc::check("a chosen peer is fresh, waits at most half as long and in time", []() {
        const auto waits = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10000));
        const auto ages = *rc::gen::container<std::vector<int>>(waits.size(), rc::gen::inRange(0, 10));
        const double own = *rc::gen::inRange(0, 10000) / 1000.0;
        const TimePoint now(100s);
        std::vector<QueuePressure> peers;
        for (std::size_t i = 0; i < waits.size(); ++i) {
            peers.push_back(pressureOf(std::to_string(i), waits[i] / 1000.0, now - std::chrono::seconds(ages[i])));
        }
        Forwarder forwarder(*rc::gen::arbitrary<std::uint64_t>());
        ForwardQuestion question = questionOf(own);
        const std::optional<std::size_t> chosen = forwarder.choose(question, peers, now);
        if (chosen.has_value()) {
            RC_ASSERT(own > question.slackSeconds * Forwarder::maxSlackPart);
            RC_ASSERT(peers[*chosen].waits.front().seconds <= std::min(own / 2, question.slackSeconds));
            RC_ASSERT(now - peers[*chosen].measuredAt <= Forwarder::maxAge);
        }
        question.forwarded = true;
        RC_ASSERT(!forwarder.choose(question, peers, now).has_value());
    }));
}

TEST(Forwarder, FindsThePeerThatHasRoom)
{
    Forwarder forwarder(1);
    const std::vector<QueuePressure> peers{pressureOf("busy", 3.0, TimePoint(1s)), pressureOf("idle", 0.1, TimePoint(1s))};
    EXPECT_EQ(forwarder.choose(questionOf(3.0), peers, TimePoint(2s)), 1U);
    EXPECT_EQ(forwarder.choose(questionOf(0.5), peers, TimePoint(2s)), std::nullopt) << "in time here as well";
    ForwardQuestion lower = questionOf(3.0);
    lower.tier = 1;
    EXPECT_EQ(forwarder.choose(lower, peers, TimePoint(2s)), std::nullopt) << "of a tier that no peer spoke of";
}

TEST(Reserve, GrowsWithTheHigherTiersAndStaysWithinItsBound)
{
    EXPECT_TRUE(rc::check("more arrivals and less slack keep at least as many slots", []() {
        ReserveSituation situation;
        situation.startsPerSecond = *rc::gen::inRange(1, 100) / 10.0;
        situation.arrivalsPerSecond = situation.startsPerSecond * *rc::gen::inRange(0, 60) / 100.0;
        situation.slackSeconds = *rc::gen::inRange(0, 50) / 10.0;
        const auto most = *rc::gen::inRange(0U, 20U);
        const std::uint32_t kept = reservedSlots(situation, most);
        RC_ASSERT(kept <= most);
        ReserveSituation busier = situation;
        busier.arrivalsPerSecond *= 1.2;
        RC_ASSERT(reservedSlots(busier, most) >= kept);
        ReserveSituation looser = situation;
        looser.slackSeconds += 1.0;
        RC_ASSERT(reservedSlots(looser, most) <= kept);
    }));
}

TEST(Reserve, KeepsNothingWhereItCannotHelp)
{
    EXPECT_EQ(reservedSlots({0.0, 1.0, 1.0}, 5), 0U);
    EXPECT_EQ(reservedSlots({3.0, 0.0, 1.0}, 5), 0U);
    EXPECT_EQ(reservedSlots({3.0, 2.9, 1.0}, 5), 0U) << "higher tiers take the slots anyway";
    EXPECT_EQ(reservedSlots({100.0, 20.0, 1.0}, 5), 0U) << "the next slot comes soon enough";
    EXPECT_GT(reservedSlots({3.0, 1.2, 1.0}, 5), 0U);
}
