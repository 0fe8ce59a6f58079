#include "leasemodel.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const Role role("orders/ke-central-a");
const Incarnation first{InstanceId("i1"), 1};
const Incarnation second{InstanceId("i2"), 1};

// A drift that makes an error of a few per cent in the wait show.
constexpr LeaseTiming modelTiming{10s, 3s, 100000};

class LeaseTest : public testing::Test
{
protected:
    void append(const std::optional<LeaseRecord> &record)
    {
        ASSERT_TRUE(record.has_value());
        const std::uint64_t offset = this->table.nextOffset();
        const bool accepted = this->table.apply(offset, *record, this->now);
        this->holder.observe(offset, *record, accepted);
        this->other.observe(offset, *record, accepted);
    }

    void readHead()
    {
        this->table.noteHead(this->table.nextOffset(), this->now);
    }

    LeaseTiming timing{10s, 5s, 1000};
    LeaseTable table{timing};
    LeaseHolder holder{role, first, timing};
    LeaseHolder other{role, second, timing};
    TimePoint now{1h};
};

using leasemodel::Action;
using Steps = std::vector<leasemodel::Step>;

// The first instance claims the role; the second one reads that at once, waits for 12 s and claims.
const Steps takeoverAfterTwelveSeconds{{Action::ReadToHead, 0}, {Action::Act, 0}, {Action::Deliver}, {Action::ReadToHead, 0},
    {Action::ReadToHead, 1}, {Action::WaitLong, 0, 480}, {Action::ReadToHead, 1}, {Action::Act, 1}, {Action::Deliver},
    {Action::ReadToHead, 1}};

bool isSafe(const leasemodel::Settings &settings, const std::vector<double> &rates, const Steps &steps)
{
    leasemodel::Model model(settings, rates);
    return std::all_of(steps.begin(), steps.end(), [&model](const leasemodel::Step &step) {
        return model.run(step);
    });
}

/** What 100 random runs of the model came to. */
struct Tally {
    int unsafeRuns = 0;
    int disagreements = 0;
    int takeovers = 0;
};

Tally runModels(const leasemodel::Settings &settings)
{
    Tally tally;
    const bool completed = rc::check("random runs", [&] {
        leasemodel::Model model(settings, leasemodel::anyRates(settings.timing.driftPpm));
        const auto steps = *rc::gen::container<Steps>(1000, leasemodel::anyStep());
        const bool allSafe = std::all_of(steps.begin(), steps.end(), [&model](const leasemodel::Step &step) {
            return model.run(step);
        });
        tally.unsafeRuns += allSafe ? 0 : 1;
        tally.disagreements += model.readersAgree() ? 0 : 1;
        tally.takeovers += model.takeovers();
    });
    EXPECT_TRUE(completed);
    return tally;
}

} // namespace

TEST_F(LeaseTest, NothingIsClaimedBeforeTheStreamWasReadToItsEnd)
{
    EXPECT_FALSE(this->holder.claim(this->table, 1, this->now).has_value());
    this->readHead();
    EXPECT_TRUE(this->holder.claim(this->table, 2, this->now).has_value());
}

TEST_F(LeaseTest, TheHoldersTimeStartsBeforeTheAppendAndCountsOnceReadBack)
{
    this->readHead();
    const auto claim = this->holder.claim(this->table, 1, this->now);
    EXPECT_FALSE(this->holder.isHeld(this->now));
    this->now += 4s;
    this->append(claim);
    EXPECT_EQ(this->holder.remaining(this->now), 6s);
    EXPECT_EQ(this->holder.epoch(), 1U);
    this->now += 6s;
    EXPECT_FALSE(this->holder.isHeld(this->now));
    EXPECT_FALSE(this->holder.renew(2, this->now).has_value());
}

TEST_F(LeaseTest, ARenewalProlongsTheLeaseFromTheTimeItWasSent)
{
    this->readHead();
    this->append(this->holder.claim(this->table, 1, this->now));
    this->now += 3s;
    EXPECT_LE(this->holder.renewalDue(), this->now + 1s);
    const auto renewal = this->holder.renew(2, this->now);
    this->now += 2s;
    this->append(renewal);
    EXPECT_EQ(this->holder.remaining(this->now), 8s);
    EXPECT_EQ(this->holder.epoch(), 1U);
}

TEST_F(LeaseTest, AFollowerClaimsOnlyAfterItsWaitAndAReadToTheEndAfterThat)
{
    this->readHead();
    this->append(this->holder.claim(this->table, 1, this->now));
    const TimePoint end = *this->table.waitEnds(role);
    EXPECT_GE(end, this->now + 15s + 15ms * 2);
    this->now = end;
    EXPECT_FALSE(this->table.mayClaim(role, this->now));
    this->readHead();
    EXPECT_TRUE(this->table.mayClaim(role, this->now));
}

TEST_F(LeaseTest, OfTwoClaimsAgainstOneRevisionTheFirstInTheLogWins)
{
    this->readHead();
    const auto late = this->holder.claim(this->table, 1, this->now);
    this->append(this->other.claim(this->table, 1, this->now));
    this->append(late);
    EXPECT_TRUE(this->other.isHeld(this->now));
    EXPECT_FALSE(this->holder.isHeld(this->now));
}

TEST_F(LeaseTest, ARenewalThatReachesTheLogBeforeAClaimDefeatsIt)
{
    this->readHead();
    this->append(this->holder.claim(this->table, 1, this->now));
    const auto renewal = this->holder.renew(2, this->now + 9s);
    this->now = *this->table.waitEnds(role);
    this->readHead();
    const auto claim = this->other.claim(this->table, 1, this->now);
    this->append(renewal);
    this->append(claim);
    EXPECT_FALSE(this->other.isHeld(this->now));
    EXPECT_EQ(this->table.find(role)->holder, first);
}

TEST_F(LeaseTest, ASupersededHolderLosesItsLeaseWhenItReadsTheClaim)
{
    this->readHead();
    this->append(this->holder.claim(this->table, 1, this->now));
    const auto renewal = this->holder.renew(2, this->now + 9s);
    this->now = *this->table.waitEnds(role);
    this->readHead();
    this->append(this->other.claim(this->table, 1, this->now));
    this->append(renewal);
    EXPECT_EQ(this->holder.epoch(), 0U);
    EXPECT_EQ(this->table.find(role)->epoch, 2U);
}

TEST_F(LeaseTest, AReleasedRoleIsFreeAtOnce)
{
    this->readHead();
    this->append(this->holder.claim(this->table, 1, this->now));
    this->append(this->holder.release(2));
    EXPECT_FALSE(this->holder.isHeld(this->now));
    this->append(this->other.claim(this->table, 1, this->now));
    EXPECT_TRUE(this->other.isHeld(this->now));
}

TEST_F(LeaseTest, AHolderWhoseLeaseLapsedClaimsItAgainWithoutAWaitUnderANewEpoch)
{
    this->readHead();
    this->append(this->holder.claim(this->table, 1, this->now));
    this->now += 11s;
    EXPECT_FALSE(this->other.claim(this->table, 1, this->now).has_value());
    this->append(this->holder.claim(this->table, 2, this->now));
    EXPECT_EQ(this->holder.remaining(this->now), 10s);
    EXPECT_EQ(this->holder.epoch(), 2U);
}

TEST_F(LeaseTest, ASnapshotKeepsTheLeasesAndStartsTheWaitAnew)
{
    this->readHead();
    this->append(this->holder.claim(this->table, 1, this->now));
    const TimePoint later = this->now + 1h;
    const auto restored = decodeLeaseSnapshot(encodeLeaseSnapshot(this->table), this->timing, later);
    ASSERT_TRUE(restored.has_value());
    EXPECT_EQ(restored.value().leases(), this->table.leases());
    EXPECT_EQ(restored.value().nextOffset(), this->table.nextOffset());
    EXPECT_GE(*restored.value().waitEnds(role), later + 15s);
}

TEST(LeaseRecord, DecodingAnyBytesNeverThrowsAndALongDurationIsRefused)
{
    EXPECT_TRUE(rc::check("random bytes", [](const std::string &bytes) {
        RC_ASSERT(decodeLeaseRecord(bytes).has_error());
        RC_ASSERT(decodeLeaseSnapshot(bytes, {}, TimePoint{}).has_error());
    }));
    LeaseRecord record;
    record.id.writer = first;
    record.role = role;
    record.duration = maxLeaseDuration;
    EXPECT_EQ(decodeLeaseRecord(encodeLeaseRecord(record)).value(), record);
    record.duration += 1ms;
    EXPECT_TRUE(decodeLeaseRecord(encodeLeaseRecord(record)).has_error());
}

TEST(LeaseProperties, NoTwoHoldersOverlapWhateverIsDelayed)
{
    const Tally tally = runModels({modelTiming, modelTiming});
    EXPECT_EQ(tally.unsafeRuns, 0);
    EXPECT_EQ(tally.disagreements, 0);
    EXPECT_GT(tally.takeovers, 1000);
}

TEST(LeaseModel, FindsAnOverlapWhenFollowersDoNotWaitForTheDrift)
{
    const std::vector<double> rates{0.9, 1.1};
    EXPECT_TRUE(isSafe({modelTiming, modelTiming}, rates, takeoverAfterTwelveSeconds));
    EXPECT_FALSE(isSafe({modelTiming, {10s, 3s, 0}}, rates, takeoverAfterTwelveSeconds));
}

TEST(LeaseModel, FindsAnOverlapWhenFollowersDoNotWaitForOrdersUnderWay)
{
    const std::vector<double> rates{0.9, 1.1};
    EXPECT_FALSE(isSafe({modelTiming, {10s, 0s, 100000}}, rates, takeoverAfterTwelveSeconds));
}
