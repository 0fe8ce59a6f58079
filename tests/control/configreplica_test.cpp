#include "fakeplatform.h"
#include "rununtil.h"

#include <flamingosaddle/control/configreplica.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

using namespace flamingosaddle;

namespace
{

std::string encodePutRoute(
    const std::string &changeId, const std::string &name, std::optional<std::uint64_t> revision = std::nullopt)
{
    Route route;
    route.id = RouteId(name);
    route.pathPrefix = "/" + name;
    route.service = ServiceName("bookings");
    return encodeConfigChange({ChangeId(changeId), revision, "test", PutRoute{route}});
}

constexpr std::uint64_t foreignRecords = 5;

/** The state after several records of another log. */
ConfigState foreignState()
{
    ConfigState foreign;
    for (std::uint64_t offset = 0; offset < foreignRecords; ++offset) {
        const std::string name = "foreign" + std::to_string(offset);
        foreign.apply(offset, decodeConfigChange(encodePutRoute(name, name)).value());
    }
    return foreign;
}

/**
 * Runs a ConfigReplica on a fake platform with a paused clock.
 */
class ConfigTailTest : public testing::Test
{
protected:
    void start()
    {
        boost::asio::co_spawn(this->context, this->replica.run(), boost::asio::detached);
    }

    void TearDown() override
    {
        this->replica.stop();
        RuntimeClock::advance(std::chrono::minutes(1));
        this->context.run_for(std::chrono::milliseconds(50));
    }

    bool runUntilOffset(std::uint64_t offset)
    {
        return runUntil(this->context, [this, offset] {
            return this->replica.state()->nextOffset() >= offset;
        });
    }

    PausedClock paused;
    FakePlatform platform;
    Platform hooks = platform.hooks();
    boost::asio::io_context context;
    ConfigReplica replica{hooks, [] {}, 1};
};

} // namespace

TEST_F(ConfigTailTest, AppliesRecordsInLogOrderUpToTheLogEnd)
{
    this->platform.log.append("config", encodePutRoute("c1", "a"));
    this->platform.log.append("config", "not a record");
    this->platform.log.append("config", encodePutRoute("c2", "b"));
    this->start();
    ASSERT_TRUE(this->runUntilOffset(3));
    EXPECT_NE(this->replica.state()->findRoute(RouteId("b")), nullptr);
    EXPECT_EQ(this->replica.undecodableCount(), 1u);
    EXPECT_TRUE(this->replica.lastReadAt().has_value());
}

TEST_F(ConfigTailTest, StartsFromTheNewestSnapshotWhenTheLogWasTrimmed)
{
    ConfigState state;
    for (std::uint64_t offset = 0; offset < 3; ++offset) {
        const std::string record = encodePutRoute("c" + std::to_string(offset), "r" + std::to_string(offset));
        this->platform.log.append("config", record);
        state.apply(offset, decodeConfigChange(record).value());
    }
    this->platform.log.trim("config", 3);
    this->platform.snapshots[LogStream::Config] = encodeConfigSnapshot(state);
    this->platform.log.append("config", encodePutRoute("c3", "r3"));
    this->start();
    ASSERT_TRUE(this->runUntilOffset(4));
    EXPECT_NE(this->replica.state()->findRoute(RouteId("r0")), nullptr);
    EXPECT_NE(this->replica.state()->findRoute(RouteId("r3")), nullptr);
    EXPECT_FALSE(this->replica.hasGap());
}

TEST_F(ConfigTailTest, ReportsAGapThatNoSnapshotCoversAndAppliesNothing)
{
    this->platform.log.append("config", encodePutRoute("c1", "a"));
    this->platform.log.append("config", encodePutRoute("c2", "b"));
    this->platform.log.trim("config", 1);
    this->start();
    ASSERT_TRUE(runUntil(this->context, [this] {
        return this->replica.hasGap();
    }));
    EXPECT_EQ(this->replica.state()->nextOffset(), 0u);
    EXPECT_FALSE(this->replica.lastReadAt().has_value());
}

TEST_F(ConfigTailTest, ContinuesAtItsOffsetAfterAnOutage)
{
    this->platform.log.append("config", encodePutRoute("c1", "a"));
    this->start();
    ASSERT_TRUE(this->runUntilOffset(1));
    const auto lastReadBefore = this->replica.lastReadAt();
    this->platform.isLogDown = true;
    this->platform.log.append("config", encodePutRoute("c2", "b"));
    RuntimeClock::advance(std::chrono::minutes(10));
    this->context.run_for(std::chrono::milliseconds(20));
    EXPECT_EQ(this->replica.state()->nextOffset(), 1u);
    EXPECT_EQ(this->replica.lastReadAt(), lastReadBefore);
    this->platform.isLogDown = false;
    RuntimeClock::advance(std::chrono::minutes(1));
    ASSERT_TRUE(this->runUntilOffset(2));
}

// A restored store reuses offsets. Changes that it has lost must stay in force, and new ones must be read.
TEST_F(ConfigTailTest, KeepsItsChangesAndReadsOnAfterTheStoreWasRestored)
{
    for (const bool isWrittenAgain : {false, true}) {
        SCOPED_TRACE(isWrittenAgain);
        const std::string name = isWrittenAgain ? "second" : "first";
        this->platform.log.append("config", encodePutRoute(name + "1", name + "-kept"));
        const standins::LogStore copy = this->platform.log;
        this->platform.log.append("config", encodePutRoute(name + "2", name + "-lost"));
        if (!isWrittenAgain) {
            this->start();
        }
        ASSERT_TRUE(runUntil(this->context, [this, &name] {
            return this->replica.state()->findRoute(RouteId(name + "-lost")) != nullptr;
        }));
        this->platform.log = copy;
        ++this->platform.epoch;
        if (isWrittenAgain) {
            this->platform.log.append("config", encodePutRoute(name + "2", name + "-lost"));
        }
        this->platform.log.append("config", encodePutRoute(name + "3", name + "-new"));
        ASSERT_TRUE(runUntil(this->context, [this, &name] {
            RuntimeClock::advance(std::chrono::milliseconds(100)); // waits of reads and delays after failed ones
            return this->replica.state()->findRoute(RouteId(name + "-new")) != nullptr;
        }));
        EXPECT_NE(this->replica.state()->findRoute(RouteId(name + "-lost")), nullptr);
        EXPECT_NE(this->replica.state()->findRoute(RouteId(name + "-kept")), nullptr);
        EXPECT_FALSE(this->replica.hasGap());
    }
}

TEST_F(ConfigTailTest, AdoptsOnlySnapshotsThatAreAhead)
{
    ConfigState ahead;
    ahead.apply(0, decodeConfigChange(encodePutRoute("c1", "a")).value());
    EXPECT_FALSE(this->replica.adoptSnapshot(ConfigState()));
    EXPECT_TRUE(this->replica.adoptSnapshot(ahead));
    EXPECT_FALSE(this->replica.adoptSnapshot(ahead));
    EXPECT_EQ(this->replica.state()->nextOffset(), 1u);
}

// Guards against an instance that has the state of another log and never reads its own.
TEST_F(ConfigTailTest, ReadsTheLogAnewIfItsStateIsAheadOfTheLog)
{
    this->platform.log.append("config", encodePutRoute("c1", "own"));
    for (const bool isReading : {false, true}) {
        SCOPED_TRACE(isReading);
        ASSERT_TRUE(this->replica.adoptSnapshot(foreignState()));
        if (!isReading) {
            this->start();
        }
        ASSERT_TRUE(runUntil(this->context, [this] {
            RuntimeClock::advance(std::chrono::milliseconds(100)); // waits of reads and delays after failed ones
            return this->replica.state()->findRoute(RouteId("own")) != nullptr;
        }));
        EXPECT_EQ(this->replica.state()->findRoute(RouteId("foreign0")), nullptr);
        EXPECT_EQ(this->replica.state()->nextOffset(), 1U);
        EXPECT_TRUE(this->replica.lastReadAt().has_value());
    }
}

// Guards against an instance that cannot use its log because a snapshot of another log was saved beside it.
TEST_F(ConfigTailTest, IgnoresASnapshotThatIsAheadOfTheLog)
{
    this->platform.log.append("config", encodePutRoute("c1", "own"));
    this->platform.snapshots[LogStream::Config] = encodeConfigSnapshot(foreignState());
    this->start();
    ASSERT_TRUE(runUntil(this->context, [this] {
        RuntimeClock::advance(std::chrono::milliseconds(100)); // waits of reads and delays after failed ones
        return this->replica.lastReadAt().has_value();
    }));
    EXPECT_NE(this->replica.state()->findRoute(RouteId("own")), nullptr);
    EXPECT_EQ(this->replica.state()->findRoute(RouteId("foreign0")), nullptr);
}
