#include <flamingosaddle/state/loadschedule.h>
#include <flamingosaddle/state/orderledger.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <numeric>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

OrderRecord orderRecord(OrderRecordKind kind, const std::string &id, std::uint64_t epoch, const std::string &dataCentre = "d0")
{
    OrderRecord record;
    record.kind = kind;
    record.order.id = id;
    record.order.dataCentre = DataCentre(dataCentre);
    record.order.fencing = epoch;
    return record;
}

class OrderTest : public testing::Test
{
protected:
    OrderResult apply(OrderRecordKind kind, const std::string &id, std::uint64_t epoch)
    {
        return this->ledger.apply(this->ledger.nextOffset(), orderRecord(kind, id, epoch));
    }

    OrderLedger ledger;
    const DataCentre dataCentre{"d0"};
};

std::uint64_t anyBelow(std::uint64_t end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, end));
}

OrderRecord anyRecord()
{
    const auto kind = static_cast<OrderRecordKind>(anyBelow(3));
    return orderRecord(kind, "o" + std::to_string(anyBelow(12)), anyBelow(6), "d" + std::to_string(anyBelow(2)));
}

} // namespace

TEST_F(OrderTest, AnIntentIsOpenUntilItsOutcome)
{
    EXPECT_EQ(this->apply(OrderRecordKind::Intent, "o1", 3), OrderResult::Recorded);
    EXPECT_TRUE(this->ledger.maySend("o1", 3));
    EXPECT_EQ(this->ledger.openIntents(this->dataCentre).size(), 1U);
    EXPECT_EQ(this->apply(OrderRecordKind::Outcome, "o1", 3), OrderResult::Recorded);
    EXPECT_FALSE(this->ledger.maySend("o1", 3));
    EXPECT_EQ(this->apply(OrderRecordKind::Outcome, "o1", 3), OrderResult::Ignored);
    EXPECT_EQ(this->apply(OrderRecordKind::Intent, "o1", 3), OrderResult::Ignored);
}

TEST_F(OrderTest, AnIntentOfASupersededEpochIsVoid)
{
    EXPECT_EQ(this->apply(OrderRecordKind::Takeover, "", 5), OrderResult::Recorded);
    EXPECT_EQ(this->apply(OrderRecordKind::Intent, "o1", 3), OrderResult::Void);
    EXPECT_FALSE(this->ledger.maySend("o1", 3));
    EXPECT_TRUE(this->ledger.openIntents(this->dataCentre).empty());
    EXPECT_EQ(this->apply(OrderRecordKind::Takeover, "", 4), OrderResult::Void);
}

TEST_F(OrderTest, ASuccessorSendsNothingUntilItHasAskedForOpenIntents)
{
    this->apply(OrderRecordKind::Intent, "o1", 3);
    this->apply(OrderRecordKind::Takeover, "", 5);
    EXPECT_FALSE(this->ledger.maySend("o1", 3));
    this->apply(OrderRecordKind::Intent, "o2", 5);
    EXPECT_EQ(this->ledger.intentsToAskFor(this->dataCentre, 5).front().id, "o1");
    EXPECT_FALSE(this->ledger.maySend("o2", 5));
    this->apply(OrderRecordKind::Outcome, "o1", 5);
    EXPECT_TRUE(this->ledger.maySend("o2", 5));
}

TEST_F(OrderTest, ForgetsTheOldestClosedOrders)
{
    for (std::size_t i = 0; i <= OrderLedger::maxClosedOrders; ++i) {
        this->apply(OrderRecordKind::Intent, std::to_string(i), 1);
        this->apply(OrderRecordKind::Outcome, std::to_string(i), 1);
    }
    EXPECT_EQ(this->apply(OrderRecordKind::Intent, "1", 1), OrderResult::Ignored);
    EXPECT_EQ(this->apply(OrderRecordKind::Intent, "0", 1), OrderResult::Recorded);
}

TEST(OrderRecord, ReadsBackAndDecodingAnyBytesNeverThrows)
{
    OrderRecord record = orderRecord(OrderRecordKind::Outcome, "o1", 7);
    record.order.kind = OrderKind::LoadModel;
    record.outcome = OrderOutcome::NotDone;
    EXPECT_EQ(decodeOrderRecord(encodeOrderRecord(record)).value(), record);
    EXPECT_STREQ(toString(OrderKind::ChangeRole), "changeRole");
    EXPECT_TRUE(rc::check("random bytes", [](const std::string &bytes) {
        RC_ASSERT(decodeOrderRecord(bytes).has_error());
        RC_ASSERT(decodeOrderSnapshot(bytes).has_error());
    }));
}

TEST(OrderProperties, NoOrderIsSendableUnderTwoEpochsOrTwice)
{
    EXPECT_TRUE(rc::check("any records; a reader from a snapshot", [] {
        const auto log = *rc::gen::container<std::vector<OrderRecord>>(150, rc::gen::exec(anyRecord));
        const std::uint64_t cut = anyBelow(log.size());
        OrderLedger whole;
        OrderLedger resumed;
        std::map<std::string, std::uint64_t> sendable;
        std::map<DataCentre, std::uint64_t> epochs;
        for (std::uint64_t offset = 0; offset < log.size(); ++offset) {
            if (offset == cut) {
                resumed = decodeOrderSnapshot(encodeOrderSnapshot(whole)).value();
            }
            const PlatformOrder &order = log[offset].order;
            whole.apply(offset, log[offset]);
            if (offset >= cut) {
                resumed.apply(offset, log[offset]);
                resumed.apply(offset, log[offset]);
                RC_ASSERT(resumed == whole);
            }
            RC_ASSERT(whole.epochOf(order.dataCentre) >= epochs[order.dataCentre]);
            epochs[order.dataCentre] = whole.epochOf(order.dataCentre);
            for (const PlatformOrder &intent : whole.openIntents(order.dataCentre)) {
                if (whole.maySend(intent.id, intent.fencing)) {
                    RC_ASSERT(intent.fencing == epochs[order.dataCentre]);
                    RC_ASSERT(sendable.try_emplace(intent.id, intent.fencing).first->second == intent.fencing);
                }
            }
        }
    }));
}

TEST(LoadSchedule, ABurstOfLoadsIsStaggeredAtTheRate)
{
    const TimePoint now{1h};
    LoadSchedule schedule({100, 0}, now);
    EXPECT_EQ(schedule.reserve(500, now), now);
    EXPECT_EQ(schedule.reserve(500, now), now + 5s);
    EXPECT_EQ(schedule.reserve(500, now), now + 10s);
    EXPECT_EQ(schedule.nextStart(now + 1min), now + 1min);
}

TEST(LoadSchedule, NeverStartsMoreThanTheRateAndTheBurstAllow)
{
    EXPECT_TRUE(rc::check("every span of time", [] {
        const LoadRate rate{1 + anyBelow(1000), anyBelow(5000)};
        TimePoint now{1h};
        LoadSchedule schedule(rate, now);
        std::vector<std::pair<TimePoint, std::uint64_t>> loads;
        for (int i = 0; i < 30; ++i) {
            now += std::chrono::milliseconds(anyBelow(8000));
            const std::uint64_t bytes = anyBelow(8000);
            loads.emplace_back(schedule.reserve(bytes, now), bytes);
            RC_ASSERT(loads.back().first >= now);
        }
        for (std::size_t first = 0; first < loads.size(); ++first) {
            std::uint64_t sum = 0;
            for (std::size_t last = first; last < loads.size(); ++last) {
                const double seconds = std::chrono::duration<double>(loads[last].first - loads[first].first).count();
                RC_ASSERT(static_cast<double>(sum)
                    <= seconds * static_cast<double>(rate.bytesPerSecond) + 1e-3 + static_cast<double>(rate.burstBytes));
                sum += loads[last].second;
            }
        }
    }));
}
