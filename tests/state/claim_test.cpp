#include <flamingosaddle/state/claimtable.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds startupTime = 1'000'000s;

ClaimRecord startRecord(const std::string &key, std::uint64_t sequence, std::chrono::seconds at = startupTime)
{
    ClaimRecord record;
    record.id = {{InstanceId("i"), 1}, sequence};
    record.key = {ClientAccountId("a"), std::hash<std::string>{}(key)};
    record.fingerprint = 7;
    record.writtenAt = at;
    return record;
}

ClaimRecord completionRecord(
    const ClaimRecord &start, ClaimRecordKind kind, std::uint64_t claimNumber, const std::string &body = "{}")
{
    ClaimRecord record = start;
    record.kind = kind;
    record.claimNumber = claimNumber;
    record.response = {200, "application/json", body, true};
    return record;
}

class ClaimTest : public testing::Test
{
protected:
    ClaimResult apply(const ClaimRecord &record)
    {
        return this->table.apply(this->table.nextOffset(), record);
    }

    const ClaimRecord first = startRecord("k", 1);
    const ClaimRecord second = startRecord("k", 2);
    ClaimTable table{ClaimLimits{1h, 1min, 3, 100}};
};

ClaimRecord anyRecord()
{
    const auto anyBelow = [](std::uint64_t end) {
        return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, end));
    };
    ClaimRecord record
        = startRecord("k" + std::to_string(anyBelow(4)), anyBelow(60), startupTime + std::chrono::seconds(anyBelow(9000)));
    if (anyBelow(3) == 0) {
        const auto kind = anyBelow(3) == 0 ? ClaimRecordKind::Abandon : ClaimRecordKind::Outcome;
        record = completionRecord(record, kind, anyBelow(40), std::string(anyBelow(60), 'x'));
    }
    return record;
}

} // namespace

TEST_F(ClaimTest, TheFirstStartInTheLogWinsAndARepeatedRecordIsIgnored)
{
    EXPECT_EQ(this->apply(this->first), ClaimResult::Won);
    EXPECT_EQ(this->apply(this->second), ClaimResult::AlreadyStarted);
    EXPECT_EQ(this->apply(this->first), ClaimResult::Ignored);
    EXPECT_EQ(this->table.find(this->first.key)->winner, this->first.id);
}

TEST_F(ClaimTest, TheFirstOutcomeIsStoredForRepeatedRequests)
{
    this->apply(this->first);
    EXPECT_EQ(this->apply(completionRecord(this->first, ClaimRecordKind::Outcome, 1, "paid")), ClaimResult::Recorded);
    EXPECT_EQ(this->apply(completionRecord(this->first, ClaimRecordKind::Outcome, 1, "other")), ClaimResult::Ignored);
    EXPECT_EQ(this->apply(this->second), ClaimResult::Completed);
    EXPECT_EQ(this->table.find(this->first.key)->response->body, "paid");
}

TEST_F(ClaimTest, AnAbandonFreesTheKeyAndALaterOutcomeOfTheClaimIsIgnored)
{
    this->apply(this->first);
    EXPECT_EQ(this->apply(completionRecord(this->first, ClaimRecordKind::Abandon, 1)), ClaimResult::Recorded);
    EXPECT_EQ(this->apply(this->second), ClaimResult::Won);
    EXPECT_EQ(this->apply(completionRecord(this->first, ClaimRecordKind::Outcome, 1)), ClaimResult::Ignored);
    EXPECT_FALSE(this->table.find(this->first.key)->response.has_value());
}

TEST_F(ClaimTest, AKeyThatWasUsedForAnotherRequestIsRefused)
{
    this->apply(this->first);
    ClaimRecord other = this->second;
    other.fingerprint = 8;
    EXPECT_EQ(this->apply(other), ClaimResult::KeyReused);
}

TEST_F(ClaimTest, AClaimIsKeptForTheRetentionInLogTime)
{
    this->apply(this->first);
    for (std::uint64_t minute = 1; minute < 60; ++minute) {
        EXPECT_EQ(
            this->apply(startRecord("k", 1 + minute, startupTime + std::chrono::minutes(minute))), ClaimResult::AlreadyStarted);
    }
    EXPECT_EQ(this->apply(startRecord("k", 100, startupTime + 1h)), ClaimResult::Won);
}

TEST_F(ClaimTest, ASingleWrongClockExpiresNoClaims)
{
    this->apply(this->first);
    EXPECT_EQ(this->apply(startRecord("x", 2, startupTime + 1000h)), ClaimResult::Won);
    EXPECT_EQ(this->table.logTime(), startupTime + 1min);
    EXPECT_EQ(this->apply(startRecord("k", 3, startupTime - 1000h)), ClaimResult::AlreadyStarted);
}

TEST_F(ClaimTest, AFullTableRefusesNewKeysAndKeepsItsClaims)
{
    for (const char *key : {"a", "b", "c"}) {
        EXPECT_EQ(this->apply(startRecord(key, 1)), ClaimResult::Won);
    }
    EXPECT_EQ(this->apply(startRecord("d", 2)), ClaimResult::TableFull);
    EXPECT_EQ(this->apply(startRecord("a", 2)), ClaimResult::AlreadyStarted);
}

TEST_F(ClaimTest, StoredBodiesAreBounded)
{
    this->apply(this->first);
    this->apply(startRecord("x", 2));
    this->apply(completionRecord(this->first, ClaimRecordKind::Outcome, 1, std::string(80, 'y')));
    this->apply(completionRecord(startRecord("x", 2), ClaimRecordKind::Outcome, 2, std::string(30, 'z')));
    EXPECT_EQ(this->table.storedBytes(), 80U);
    EXPECT_FALSE(this->table.find(startRecord("x", 2).key)->response->bodyStored);
}

TEST(ClaimRecord, RoundTripsAndOmitsABodyThatIsTooLargeOrNotUtf8)
{
    const ClaimRecord record = completionRecord(startRecord("k", 1), ClaimRecordKind::Outcome, 1, "\"\n\u00e9");
    EXPECT_EQ(decodeClaimRecord(encodeClaimRecord(record)).value(), record);
    for (const std::string &body : {std::string(maxStoredResponseBytes + 1, 'x'), std::string("\xff\xfe")}) {
        const auto decoded
            = decodeClaimRecord(encodeClaimRecord(completionRecord(startRecord("k", 1), ClaimRecordKind::Outcome, 1, body)));
        EXPECT_FALSE(decoded.value().response.bodyStored);
        EXPECT_TRUE(decoded.value().response.body.empty());
    }
    EXPECT_TRUE(rc::check("random bytes", [](const std::string &bytes) {
        RC_ASSERT(decodeClaimRecord(bytes).has_error());
        RC_ASSERT(decodeClaimSnapshot(bytes, {}).has_error());
    }));
}

TEST(ClaimProperties, AKeyNeverRunsTwiceWithinItsRetentionAndEveryReaderAgrees)
{
    EXPECT_TRUE(rc::check("any records, duplicates, a snapshot at any offset", [] {
        const ClaimLimits limits{1h, 1min, 3, 100};
        const auto log = *rc::gen::container<std::vector<ClaimRecord>>(200, rc::gen::exec(anyRecord));
        const auto cut = *rc::gen::inRange<std::size_t>(0, log.size());
        ClaimTable uninterrupted(limits);
        ClaimTable resumed(limits);
        std::map<ClaimKey, std::chrono::seconds> started;
        for (std::size_t offset = 0; offset < log.size(); ++offset) {
            if (offset == cut) {
                resumed = decodeClaimSnapshot(encodeClaimSnapshot(uninterrupted), limits).value();
            }
            const ClaimResult result = uninterrupted.apply(offset, log[offset]);
            if (result == ClaimResult::Won) {
                const auto earlier = started.find(log[offset].key);
                RC_ASSERT(earlier == started.end() || uninterrupted.logTime() - earlier->second >= limits.retention);
                started[log[offset].key] = uninterrupted.logTime();
            } else if (result == ClaimResult::Recorded && log[offset].kind == ClaimRecordKind::Abandon) {
                started.erase(log[offset].key);
            }
            if (offset >= cut) {
                RC_ASSERT(resumed.apply(offset, log[offset]) == result);
                RC_ASSERT(resumed.apply(offset, log[offset]) == ClaimResult::Ignored);
            }
            RC_ASSERT(uninterrupted.size() <= limits.maxClaims && uninterrupted.storedBytes() <= limits.maxStoredBytes);
        }
        RC_ASSERT(resumed.claims() == uninterrupted.claims());
    }));
}
