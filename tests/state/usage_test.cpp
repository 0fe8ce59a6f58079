#include <flamingosaddle/state/usageledger.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t hour = 3600;

UsageRecord countsRecord(
    int writer, std::uint64_t sequence, std::uint64_t window, std::uint64_t tokens, const std::string &account = "a")
{
    UsageRecord record;
    record.id = {{InstanceId("i" + std::to_string(writer)), 1}, sequence};
    record.counts = {{ClientAccountId(account), window, {1, tokens, 2 * tokens}}};
    return record;
}

UsageRecord closeRecord(std::uint64_t window)
{
    UsageRecord record;
    record.kind = UsageRecordKind::Close;
    record.window = window;
    return record;
}

UsageRecord confirmRecord(std::uint64_t window, const std::string &account = "a")
{
    UsageRecord record = closeRecord(window);
    record.kind = UsageRecordKind::Confirm;
    record.clientAccount = ClientAccountId(account);
    return record;
}

class UsageTest : public testing::Test
{
protected:
    bool apply(const UsageRecord &record)
    {
        return this->ledger.apply(this->ledger.nextOffset(), record);
    }

    UsageLedger ledger{1h};
    const ClientAccountId account{"a"};
};

std::uint64_t anyBelow(std::uint64_t end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, end));
}

/** A log of batches in their writers' order, some repeated later, with closes and confirmations between them. */
std::vector<UsageRecord> anyLog()
{
    std::vector<UsageRecord> log;
    std::vector<std::uint64_t> sequences(3, 0);
    for (std::uint64_t step = 0; step < 120; ++step) {
        const std::uint64_t window = (step / 20 + anyBelow(3)) * hour;
        const std::string account = "a" + std::to_string(anyBelow(2));
        const std::uint64_t choice = anyBelow(10);
        if (choice < 5) {
            const auto writer = static_cast<int>(anyBelow(3));
            log.push_back(countsRecord(writer, ++sequences[writer], window, 1 + anyBelow(50), account));
        } else if (choice < 7 && !log.empty()) {
            log.push_back(log[anyBelow(log.size())]);
        } else if (choice < 8) {
            log.push_back(closeRecord(window));
        } else {
            log.push_back(confirmRecord(window, account));
        }
    }
    return log;
}

std::uint64_t promptTokensOf(const std::vector<UsageRecord> &log)
{
    std::set<RecordId> seen;
    std::uint64_t sum = 0;
    for (const UsageRecord &record : log) {
        if (record.kind == UsageRecordKind::Counts && seen.insert(record.id).second) {
            sum += record.counts.front().totals.promptTokens;
        }
    }
    return sum;
}

/** Follows the reports of one reader as the usage-report interface sees them. */
class ReportAudit
{
public:
    void look(const UsageLedger &ledger)
    {
        for (const UsageFigure &figure : ledger.pendingReports()) {
            const auto [known, isNew] = this->reported.try_emplace({figure.window, figure.clientAccount}, figure);
            this->isConsistent = this->isConsistent && (isNew || known->second == figure);
        }
    }

    std::uint64_t promptTokens() const
    {
        std::uint64_t sum = 0;
        for (const auto &[slot, figure] : this->reported) {
            sum += figure.totals.promptTokens;
        }
        return sum;
    }

    std::map<std::pair<std::uint64_t, ClientAccountId>, UsageFigure> reported;
    bool isConsistent = true;
};

} // namespace

TEST_F(UsageTest, TheFirstCloseFixesTheFigure)
{
    this->apply(countsRecord(1, 1, 0, 10));
    this->apply(countsRecord(2, 1, 0, 5));
    EXPECT_TRUE(this->apply(closeRecord(0)));
    EXPECT_FALSE(this->apply(closeRecord(0)));
    const UsageFigure expected{this->account, 0, {2, 15, 30}, {}};
    EXPECT_EQ(this->ledger.pendingReports(), std::vector<UsageFigure>{expected});
    EXPECT_EQ(this->ledger.closedThrough(), 0U);
}

TEST_F(UsageTest, LateUsageIsACorrectionOfTheNextWindow)
{
    this->apply(countsRecord(1, 1, 0, 10));
    this->apply(closeRecord(0));
    this->apply(countsRecord(2, 1, 0, 5));
    this->apply(countsRecord(2, 2, hour, 7));
    EXPECT_EQ(this->ledger.figure(this->account, 0)->totals, (UsageTotals{1, 10, 20}));
    EXPECT_EQ(this->ledger.figure(this->account, hour), (UsageFigure{this->account, hour, {2, 12, 24}, {1, 5, 10}}));
}

TEST_F(UsageTest, ABatchCountsOnceWhoeverAppendsIt)
{
    EXPECT_TRUE(this->apply(countsRecord(1, 1, 0, 10)));
    EXPECT_FALSE(this->apply(countsRecord(1, 1, 0, 10)));
    EXPECT_EQ(this->ledger.figure(this->account, 0)->totals.requests, 1U);
}

TEST_F(UsageTest, AConfirmedFigureIsNotReportedAgain)
{
    this->apply(countsRecord(1, 1, 0, 10));
    EXPECT_FALSE(this->apply(confirmRecord(0)));
    this->apply(closeRecord(0));
    EXPECT_TRUE(this->apply(confirmRecord(0)));
    EXPECT_TRUE(this->ledger.pendingReports().empty());
    this->apply(countsRecord(1, 2, 0, 3));
    EXPECT_TRUE(this->ledger.pendingReports().empty());
}

TEST_F(UsageTest, AWindowWithoutCountsAndAFutureOneAreNotClosed)
{
    EXPECT_FALSE(this->apply(closeRecord(0)));
    this->apply(countsRecord(1, 1, hour, 10));
    EXPECT_FALSE(this->apply(closeRecord(1000 * hour)));
    EXPECT_FALSE(this->ledger.isClosed(hour));
}

TEST_F(UsageTest, WritersThatAreGoneAreForgotten)
{
    this->apply(countsRecord(1, 1, 0, 10));
    for (std::uint64_t window = 0; window <= UsageLedger::writerRetentionCloses; ++window) {
        EXPECT_NE(encodeUsageSnapshot(this->ledger).find("i1"), std::string::npos);
        this->apply(countsRecord(2, 1 + window, window * hour, 10));
        this->apply(closeRecord(window * hour));
    }
    EXPECT_EQ(encodeUsageSnapshot(this->ledger).find("i1"), std::string::npos);
    EXPECT_NE(encodeUsageSnapshot(this->ledger).find("i2"), std::string::npos);
}

TEST(UsageRecord, ReadsBackAndRefusesWhatIsOutOfRange)
{
    for (const UsageRecord &record : {countsRecord(1, 2, hour, 9), closeRecord(hour), confirmRecord(hour)}) {
        EXPECT_EQ(decodeUsageRecord(encodeUsageRecord(record)).value(), record);
    }
    EXPECT_TRUE(decodeUsageRecord(encodeUsageRecord(closeRecord(~std::uint64_t{0}))).has_error());
    EXPECT_TRUE(decodeUsageRecord(encodeUsageRecord(countsRecord(1, 1, 0, std::uint64_t{1} << 60))).has_error());
    EXPECT_TRUE(rc::check("random bytes", [](const std::string &bytes) {
        RC_ASSERT(decodeUsageRecord(bytes).has_error());
        RC_ASSERT(decodeUsageSnapshot(bytes).has_error());
    }));
}

TEST(UsageProperties, NeverTwoFiguresForAWindowOnAnyReaderAndNothingLostOrCountedTwice)
{
    EXPECT_TRUE(rc::check("duplicates, late counts, racing closes, a reader from a snapshot", [] {
        const std::vector<UsageRecord> log = anyLog();
        const std::uint64_t cut = anyBelow(log.size());
        UsageLedger whole(1h);
        UsageLedger resumed(1h);
        ReportAudit audit;
        for (std::uint64_t offset = 0; offset < log.size(); ++offset) {
            if (offset == cut) {
                resumed = decodeUsageSnapshot(encodeUsageSnapshot(whole)).value();
            }
            whole.apply(offset, log[offset]);
            audit.look(whole);
            if (offset >= cut) {
                resumed.apply(offset, log[offset]);
                resumed.apply(cut, log[cut]);
                audit.look(resumed);
            }
        }
        RC_ASSERT(resumed == whole);
        whole.apply(whole.nextOffset(), countsRecord(9, 1, 100 * hour, 1));
        whole.apply(whole.nextOffset(), closeRecord(100 * hour));
        audit.look(whole);
        RC_ASSERT(audit.isConsistent);
        RC_ASSERT(audit.promptTokens() == promptTokensOf(log) + 1);
    }));
}

TEST(UsageProperties, TheAuditFindsARestatedFigure)
{
    ReportAudit audit;
    UsageLedger first(1h);
    first.apply(0, countsRecord(1, 1, 0, 10));
    UsageLedger second = first;
    first.apply(1, closeRecord(0));
    second.apply(1, countsRecord(1, 2, 0, 1));
    second.apply(2, closeRecord(0));
    audit.look(first);
    EXPECT_TRUE(audit.isConsistent);
    audit.look(second);
    EXPECT_FALSE(audit.isConsistent);
}
