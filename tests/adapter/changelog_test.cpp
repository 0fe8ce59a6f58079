#include "fakestore.h"

#include <platform/changelog.h>
#include <platform/snapshots.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::platform;
using namespace flamingosaddle::test;

namespace
{

constexpr const char *snapshotTopic = "keyed.snapshot-config";

struct ChangeLogTest : testing::Test {
    FakeStore store;
    ContextThread thread;
    std::shared_ptr<const StoreClient> client = this->store.client();
    Platform log = changeLog(client);

    Result<std::optional<std::string>> snapshot()
    {
        return this->thread.await(this->log.newestSnapshot(LogStream::Config));
    }

    Result<void> save(const std::string &text)
    {
        return this->thread.await(this->log.saveSnapshot(LogStream::Config, text));
    }

    std::uint64_t snapshotRecords() const
    {
        return this->store.records(snapshotTopic).size();
    }
};

/** Returns a snapshot that exceeds the store's record size limit and consists of different parts. */
std::string largeSnapshot(char first)
{
    std::string text(1, first);
    for (int i = 0; text.size() < 600UL * 1024; ++i) {
        text += std::to_string(i);
    }
    return text;
}

} // namespace

TEST_F(ChangeLogTest, StoresEachStreamInItsOwnTopic)
{
    EXPECT_EQ(this->thread.await(this->log.append(LogStream::Config, "a")).value(), 0U);
    EXPECT_EQ(this->thread.await(this->log.append(LogStream::Claims, "b")).value(), 0U);
    EXPECT_EQ(this->thread.await(this->log.append(LogStream::Config, "c")).value(), 1U);
    const LogBatch batch = this->thread.await(this->log.read(LogStream::Config, 0, std::chrono::milliseconds(0))).value();
    EXPECT_EQ(batch, (LogBatch{0, 2, 2, {{0, "a"}, {1, "c"}}}));
    EXPECT_EQ(this->thread.await(this->log.bounds(LogStream::Config)).value(), (LogBounds{0, 2}));
}

TEST_F(ChangeLogTest, FailsWithTrimmedWhenTheRecordsHaveExpired)
{
    for (const char *record : {"a", "b", "c"}) {
        ASSERT_TRUE(this->thread.await(this->log.append(LogStream::Config, record)).has_value());
    }
    this->store.trim("own-config", 2);
    const auto trimmed = this->thread.await(this->log.read(LogStream::Config, 1, std::chrono::milliseconds(0)));
    ASSERT_TRUE(trimmed.has_error());
    EXPECT_EQ(trimmed.error().kind(), ErrorKind::Trimmed);
    EXPECT_EQ(this->thread.await(this->log.bounds(LogStream::Config)).value(), (LogBounds{2, 3}));
}

TEST_F(ChangeLogTest, ASnapshotMayBeLargerThanARecordAndReplacesThePreviousOne)
{
    EXPECT_EQ(this->snapshot().value(), std::nullopt);
    ASSERT_TRUE(this->save(largeSnapshot('1')).has_value());
    EXPECT_EQ(this->snapshot().value(), largeSnapshot('1'));
    ASSERT_TRUE(this->save("short").has_value());
    this->store.trim(snapshotTopic, this->snapshotRecords());
    EXPECT_EQ(this->snapshot().value(), "short") << "records expire, but the newest of each key is retained";
}

TEST_F(ChangeLogTest, AnIncompleteSnapshotLeavesThePreviousOneInForce)
{
    ASSERT_TRUE(this->save("first").has_value());
    // A part written by a writer that died before it wrote the head.
    this->store.appendKeyed(snapshotTopic, std::to_string(this->snapshotRecords()) + "/0", "half");
    EXPECT_EQ(this->snapshot().value(), "first");
    ASSERT_TRUE(this->save("second").has_value());
    EXPECT_EQ(this->snapshot().value(), "second");
}

TEST_F(ChangeLogTest, ConcurrentWritersNeverMixTheirSnapshots)
{
    for (int round = 0; round < 5; ++round) {
        auto first = this->thread.start(this->log.saveSnapshot(LogStream::Config, largeSnapshot('1')));
        auto second = this->thread.start(this->log.saveSnapshot(LogStream::Config, largeSnapshot('2')));
        const Result<void> one = first.get();
        const Result<void> two = second.get();
        EXPECT_TRUE(one.has_value() || two.has_value() || one.error().kind() == ErrorKind::Conflict);
        const auto kept = this->snapshot();
        ASSERT_TRUE(kept.has_value()) << kept.error().text();
        if (kept.value().has_value()) {
            EXPECT_TRUE(*kept.value() == largeSnapshot('1') || *kept.value() == largeSnapshot('2'));
        }
    }
}

TEST_F(ChangeLogTest, AnUnreadableHeadIsAnErrorUntilTheNextSnapshot)
{
    this->store.appendKeyed(snapshotTopic, "head", "torn");
    ASSERT_TRUE(this->snapshot().has_error());
    EXPECT_EQ(this->snapshot().error().kind(), ErrorKind::Protocol);
    ASSERT_TRUE(this->save("mended").has_value());
    EXPECT_EQ(this->snapshot().value(), "mended");
}
