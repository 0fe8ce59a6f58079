#include "fakestore.h"

#include <flamingosaddle/platform/storeoffset.h>

#include <platform/streamlog.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace flamingosaddle;
using namespace flamingosaddle::platform;
using namespace flamingosaddle::test;

namespace
{

struct StreamLogTest : testing::Test {
    FakeStore store;
    ContextThread thread;
    StreamLogHooks log = streamLogHooks(store.client());

    void append(const std::string &record)
    {
        EXPECT_TRUE(this->thread.await(this->log.append(record)).has_value());
    }

    Result<StreamLogBatch> read(std::optional<std::uint64_t> from)
    {
        return this->thread.await(this->log.read(from));
    }
};

} // namespace

TEST_F(StreamLogTest, IsReadFromTheOldestRetainedRecordOrWhereTheLastReadEnded)
{
    const StreamLogBatch empty = this->read(std::nullopt).value();
    EXPECT_TRUE(empty.isAtEnd);
    EXPECT_TRUE(empty.records.empty());
    this->append("one");
    this->append("two");
    const StreamLogBatch all = this->read(empty.nextOffset).value();
    EXPECT_EQ(all.records, (std::vector<std::string>{"one", "two"}));
    this->append("three");
    EXPECT_EQ(this->read(all.nextOffset).value().records, std::vector<std::string>{"three"});
    this->store.trim("streams", 2);
    EXPECT_EQ(this->read(std::nullopt).value().records, std::vector<std::string>{"three"});
}

TEST_F(StreamLogTest, IsReadAnewAfterTheStoreForgotOrWasRestored)
{
    this->append("one");
    this->store.takeCopy();
    this->append("two");
    const std::uint64_t next = this->read(std::nullopt).value().nextOffset;
    this->store.restore();
    EXPECT_EQ(this->read(next).error().kind(), ErrorKind::Trimmed);
    EXPECT_EQ(this->read(std::nullopt).value().records, std::vector<std::string>{"one"});
    this->store.failNextCall(503);
    EXPECT_TRUE(this->read(std::nullopt).has_error());
}

TEST_F(StreamLogTest, VersionsAreReplacedOnlyByThoseWhoHaveReadTheNewest)
{
    const StoredVersions none = this->thread.await(this->log.readVersions()).value();
    EXPECT_EQ(none.record, std::nullopt);
    EXPECT_TRUE(this->thread.await(this->log.appendVersions("one", none.endOffset)).has_value());
    EXPECT_EQ(this->thread.await(this->log.appendVersions("two", none.endOffset)).error().kind(), ErrorKind::Conflict);
    const StoredVersions one = this->thread.await(this->log.readVersions()).value();
    EXPECT_EQ(one.record, "one");
    this->store.takeCopy();
    this->store.restore();
    EXPECT_TRUE(this->thread.await(this->log.appendVersions("two", one.endOffset)).has_error());
    EXPECT_EQ(epochOf(this->thread.await(this->log.readVersions()).value().endOffset), epochOf(one.endOffset) + 1);
}
