#include "leadershipmodel.h"

#include <flamingosaddle/state/leadership.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const Incarnation a{InstanceId("a"), 1};
const Incarnation b{InstanceId("b"), 1};

/** Runs a model through random steps and returns the violations that it found. */
std::vector<std::string> violationsOf(LeadershipModel::Store store, std::uint32_t seed)
{
    constexpr int steps = 200;
    LeadershipModel model(store);
    std::mt19937 random(seed);
    for (int i = 0; i < steps; ++i) {
        model.step(static_cast<std::uint32_t>(random()));
    }
    return model.violations();
}

} // namespace

TEST(Leadership, IsHeldFromTheSendingOfTheRecordThatTookEffect)
{
    Leadership leadership(a, LeadershipTiming());
    const TimePoint sent(10s);
    const LeadershipRecord claim = leadership.makeRecord(sent);
    EXPECT_FALSE(leadership.isHeld(sent));
    leadership.apply(claim, 4, sent + 2s);
    EXPECT_TRUE(leadership.isHeld(sent + 2s));
    EXPECT_FALSE(leadership.isHeld(sent + LeadershipTiming().leaseDuration));
    EXPECT_EQ(leadership.fencingNumber(), 5U);
}

TEST(Leadership, ARenewalKeepsTheFencingNumber)
{
    Leadership leadership(a, LeadershipTiming());
    leadership.apply(leadership.makeRecord(TimePoint(1s)), 0, TimePoint(1s));
    leadership.apply(leadership.makeRecord(TimePoint(2s)), 7, TimePoint(2s));
    EXPECT_EQ(leadership.fencingNumber(), 1U);
    EXPECT_TRUE(leadership.isHeld(TimePoint(4s)));
}

TEST(Leadership, IsClaimedOnlyAfterTheLeaseOfAnotherInstanceExpired)
{
    Leadership holder(a, LeadershipTiming());
    Leadership follower(b, LeadershipTiming());
    follower.apply(holder.makeRecord(TimePoint(1s)), 0, TimePoint(2s));
    EXPECT_FALSE(follower.mayClaim(TimePoint(2s) + LeadershipTiming().leaseDuration));
    EXPECT_TRUE(follower.mayClaim(TimePoint(2s) + LeadershipTiming().leaseDuration + LeadershipTiming().clockMargin + 1ms));
}

TEST(Leadership, AReleaseEndsTheLeaseAtOnce)
{
    Leadership holder(a, LeadershipTiming());
    Leadership follower(b, LeadershipTiming());
    holder.apply(holder.makeRecord(TimePoint(1s)), 0, TimePoint(1s));
    const LeadershipRecord released = holder.makeReleaseRecord(TimePoint(1500ms));
    follower.apply(released, 1, TimePoint(1500ms));
    EXPECT_FALSE(holder.isHeld(TimePoint(1500ms)));
    EXPECT_TRUE(follower.mayClaim(TimePoint(1500ms)));
}

TEST(Leadership, DoesNotReclaimSoonAfterItWasSuperseded)
{
    Leadership holder(a, LeadershipTiming());
    Leadership follower(b, LeadershipTiming());
    holder.apply(holder.makeRecord(TimePoint(1s)), 0, TimePoint(1s));
    holder.apply(follower.makeRecord(TimePoint(5s)), 1, TimePoint(5s));
    LeadershipRecord released = follower.makeRecord(TimePoint(6s));
    released.released = true;
    holder.apply(released, 2, TimePoint(6s));
    EXPECT_FALSE(holder.mayClaim(TimePoint(6s) + 1s)) << "the lease would move from a to b and back within a lease duration";
    EXPECT_TRUE(holder.mayClaim(TimePoint(6s) + LeadershipTiming().reclaimDelay));
}

RC_GTEST_PROP(Leadership, HasOneHolderAndIncreasingFencingNumbers, (const std::vector<std::uint32_t> &choices))
{
    LeadershipModel model(LeadershipModel::Store::Correct);
    for (const std::uint32_t choice : choices) {
        model.step(choice);
    }
    RC_ASSERT(model.violations() == std::vector<std::string>());
}

TEST(Leadership, HasOneHolderInLongRunsWithLostDelayedAndRefusedAppends)
{
    for (std::uint32_t seed = 1; seed <= 400; ++seed) {
        EXPECT_EQ(violationsOf(LeadershipModel::Store::Correct, seed), std::vector<std::string>()) << "seed " << seed;
    }
}

TEST(Leadership, TheModelDetectsAStoreThatIgnoresTheCondition)
{
    std::size_t runsWithViolations = 0;
    for (std::uint32_t seed = 1; seed <= 400; ++seed) {
        runsWithViolations += violationsOf(LeadershipModel::Store::IgnoresCondition, seed).empty() ? 0 : 1;
    }
    EXPECT_GT(runsWithViolations, 0U) << "the model does not detect two holders";
}

RC_GTEST_PROP(Leadership, RecordsRoundTrip, (std::uint64_t fencingNumber, std::uint64_t sequence, bool released))
{
    const LeadershipRecord record{{a, sequence}, fencingNumber, released};
    RC_ASSERT(decodeLeadershipRecord(encodeLeadershipRecord(record)).value() == record);
}

RC_GTEST_PROP(Leadership, DecodingAnyBytesNeverThrows, (const std::string &bytes))
{
    (void)decodeLeadershipRecord(bytes);
}
