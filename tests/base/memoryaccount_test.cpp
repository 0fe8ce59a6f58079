#include <flamingosaddle/base/memoryaccount.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

// Guards against a crowd that makes a daemon hold more than its machine has, and against refusing somebody else for it.

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kilobyte = 1024;

MemoryLimits limitsOfTests()
{
    MemoryLimits limits;
    limits.budgetBytes = 1000 * kilobyte;
    limits.reserveBytes = 300 * kilobyte;
    limits.smallHolderBytes = 50 * kilobyte;
    limits.connectionBytes = 0;
    return limits;
}

class Account : public testing::Test
{
protected:
    MemoryAccount::HolderId holder(std::size_t bytes, const std::string &address = "")
    {
        const MemoryAccount::HolderId id = this->account.open(MemoryOwner::Callers, address, this->now);
        if (bytes > 0) {
            EXPECT_TRUE(this->account.grow(id, bytes, this->now));
        }
        return id;
    }

    std::vector<MemoryAccount::Verdict> reviewAfter(Duration time)
    {
        this->now += time;
        return this->account.review(this->now);
    }

    MemoryAccount account{limitsOfTests()};
    TimePoint now{1h};
};

} // namespace

TEST_F(Account, CountsByOwnerAndFreesAtTheClose)
{
    const auto first = this->holder(100 * kilobyte);
    this->account.addConnection();
    EXPECT_EQ(this->account.heldBytes(), 100 * kilobyte);
    EXPECT_EQ(this->account.heldBytes(MemoryOwner::Callers), 100 * kilobyte);
    EXPECT_EQ(this->account.heldBytes(MemoryOwner::Instances), 0U);
    this->account.close(first);
    EXPECT_EQ(this->account.heldBytes(), 0U);
}

TEST_F(Account, LargeHoldersPauseBeforeSmallOnesDo)
{
    this->holder(700 * kilobyte);
    const auto large = this->holder(0);
    EXPECT_FALSE(this->account.grow(large, 100 * kilobyte, this->now));
    EXPECT_TRUE(this->account.isShort());
    const auto small = this->holder(0);
    EXPECT_TRUE(this->account.grow(small, 50 * kilobyte, this->now));
}

TEST_F(Account, AnAddressWithHalfOfTheBudgetLeavesTheRestToOthers)
{
    this->holder(10 * kilobyte, "c");
    this->holder(450 * kilobyte, "a");
    const auto same = this->holder(0, "a");
    EXPECT_FALSE(this->account.grow(same, 100 * kilobyte, this->now));
    const auto other = this->holder(0, "b");
    EXPECT_TRUE(this->account.grow(other, 100 * kilobyte, this->now));
}

TEST_F(Account, AClientAccountWithHalfOfTheBudgetLeavesTheRestToOthers)
{
    const auto another = this->holder(10 * kilobyte, "c");
    this->account.identify(another, "florist");
    const auto first = this->holder(0, "a");
    this->account.identify(first, "bakery");
    EXPECT_TRUE(this->account.grow(first, 450 * kilobyte, this->now));
    const auto same = this->holder(0, "b");
    this->account.identify(same, "bakery");
    EXPECT_FALSE(this->account.grow(same, 100 * kilobyte, this->now));
}

TEST_F(Account, TheOnlyAddressMayHoldAsMuchAsAll)
{
    const auto only = this->holder(0, "a");
    EXPECT_TRUE(this->account.grow(only, 750 * kilobyte, this->now));
}

TEST_F(Account, TheReserveIsNotTakenFromSmallHolders)
{
    this->holder(750 * kilobyte);
    const auto large = this->holder(0);
    EXPECT_FALSE(this->account.grow(large, 300 * kilobyte, this->now));
    EXPECT_EQ(this->account.takeGranted(this->now), std::vector{large});
    EXPECT_EQ(this->account.heldBytes(), 1050 * kilobyte);
    const auto small = this->holder(0);
    EXPECT_TRUE(this->account.grow(small, 50 * kilobyte, this->now));
}

TEST_F(Account, TheFirstThatPausesGoesOnInTheReserveUntilItIsWhole)
{
    this->holder(750 * kilobyte);
    const auto first = this->holder(0);
    const auto second = this->holder(0);
    EXPECT_FALSE(this->account.grow(first, 200 * kilobyte, this->now));
    EXPECT_FALSE(this->account.grow(second, 200 * kilobyte, this->now));
    EXPECT_EQ(this->account.takeGranted(this->now), std::vector{first});
    EXPECT_TRUE(this->account.takeGranted(this->now).empty());
    EXPECT_TRUE(this->account.grow(first, 300 * kilobyte, this->now));
    this->account.beginPhase(first, MemoryAccount::Phase::Owed, this->now);
    this->account.close(first);
    EXPECT_EQ(this->account.takeGranted(this->now), std::vector{second});
}

TEST_F(Account, NobodyIsRefusedWhileThereIsRoom)
{
    this->holder(700 * kilobyte);
    EXPECT_TRUE(this->reviewAfter(1h).empty());
}

TEST_F(Account, WhoHoldsMostForLongestWithoutMovingIsRefusedFirst)
{
    const auto resting = this->holder(200 * kilobyte);
    this->now += 2s;
    const auto larger = this->holder(250 * kilobyte);
    const auto moving = this->holder(300 * kilobyte);
    const auto waiting = this->holder(0);
    EXPECT_FALSE(this->account.grow(waiting, 100 * kilobyte, this->now));
    const auto verdicts = this->reviewAfter(500ms);
    ASSERT_FALSE(verdicts.empty());
    EXPECT_EQ(verdicts.front(), (MemoryAccount::Verdict{resting, MemoryRefusal::SentTooSlowly}));
    // What it frees is enough, and no verdict is given twice.
    EXPECT_EQ(verdicts.size(), 1U);
    EXPECT_TRUE(this->reviewAfter(0s).empty());
    static_cast<void>(larger);
    static_cast<void>(moving);
}

TEST_F(Account, ARequestThatWasReadWholeIsNeverRefused)
{
    const auto whole = this->holder(700 * kilobyte);
    this->account.beginPhase(whole, MemoryAccount::Phase::Owed, this->now);
    const auto waiting = this->holder(0);
    EXPECT_FALSE(this->account.grow(waiting, 400 * kilobyte, this->now));
    EXPECT_TRUE(this->reviewAfter(4s).empty());
    const auto verdicts = this->reviewAfter(1s);
    ASSERT_EQ(verdicts.size(), 1U);
    EXPECT_EQ(verdicts.front(), (MemoryAccount::Verdict{waiting, MemoryRefusal::NoRoom}));
    EXPECT_EQ(this->account.pausedCount(), 0U);
}

TEST_F(Account, ReadersOfAnswersAreCutOffOnlyIfNoRequestHasStopped)
{
    const auto reader = this->holder(400 * kilobyte);
    this->account.beginPhase(reader, MemoryAccount::Phase::Answering, this->now);
    const auto sender = this->holder(300 * kilobyte);
    const auto waiting = this->holder(0);
    EXPECT_FALSE(this->account.grow(waiting, 400 * kilobyte, this->now));
    const auto first = this->reviewAfter(3s);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first.front().holder, sender);
    this->account.close(sender);
    const auto second = this->reviewAfter(0s);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second.front(), (MemoryAccount::Verdict{reader, MemoryRefusal::ReadTooSlowly}));
}

// Whatever holders do, what was granted stays within budget and reserve, and the sums are those of the holders.
RC_GTEST_PROP(AccountProperties, GrantsStayWithinBudgetAndReserve, ())
{
    const MemoryLimits limits = limitsOfTests();
    MemoryAccount account(limits);
    TimePoint now(1h);
    std::vector<MemoryAccount::HolderId> ids;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
        const int action = *rc::gen::inRange(0, 6);
        if (ids.empty() || action == 0) {
            ids.push_back(account.open(MemoryOwner::Callers, *rc::gen::element<std::string>("a", "b", ""), now));
            continue;
        }
        const std::size_t index = *rc::gen::inRange<std::size_t>(0, ids.size());
        const MemoryAccount::HolderId id = ids[index];
        if (action <= 2) {
            const std::size_t bytes = account.heldBytesOf(id) + kilobyte * *rc::gen::inRange<std::size_t>(1, 300);
            account.grow(id, bytes, now);
        } else if (action == 3) {
            account.beginPhase(id, MemoryAccount::Phase::Owed, now);
        } else if (action == 4) {
            account.close(id);
            ids.erase(ids.begin() + static_cast<std::ptrdiff_t>(index));
        } else {
            for (const MemoryAccount::Verdict &verdict : account.review(now)) {
                account.close(verdict.holder);
                std::erase(ids, verdict.holder);
            }
        }
        account.takeGranted(now);
        RC_ASSERT(account.heldBytes() <= limits.budgetBytes + limits.reserveBytes);
        std::size_t sum = 0;
        for (const MemoryAccount::HolderId open : ids) {
            sum += account.heldBytesOf(open);
        }
        RC_ASSERT(account.heldBytes() == sum);
    }
    for (const MemoryAccount::HolderId id : ids) {
        account.close(id);
    }
    RC_ASSERT(account.heldBytes() == 0U);
    RC_ASSERT(account.pausedCount() == 0U);
}
