#include "fakeinstance.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <algorithm>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr Duration outage = 4s;
constexpr Duration serviceAfterRemoval = 2s; // a server keeps serving for so long after its entry was removed
constexpr Duration contactTime = 3s; // bounds hold for an instance that has reached the store for so long

/** One instance that cannot reach the store for a while, although the store serves all others. */
struct RemovedServerTest : testing::Test {
    PausedClock paused;
    boost::asio::io_context context{1};
    FakeStore store;
    FakeInstance instance{context, store, true};

    void SetUp() override
    {
        this->instance.failureDelay = 300ms;
        this->store.publish(1);
        this->store.put("removed");
        this->store.put("other");
        this->advance(500ms);
    }

    ~RemovedServerTest() override
    {
        this->instance.directory.stop();
        this->advance(2s);
    }

    void advance(Duration duration)
    {
        constexpr std::chrono::milliseconds step(20); // shorter than the pauses between two reads
        for (Duration passed{}; passed < duration; passed += step) {
            RuntimeClock::advance(step);
            this->context.restart();
            this->context.run_for(std::chrono::milliseconds(3));
        }
    }
};

/** Time from the end of the outage to the removal of the entry; negative if it is removed during the outage. */
struct RemovalAfterOutageTest : RemovedServerTest, testing::WithParamInterface<std::chrono::milliseconds> {
};

} // namespace

TEST_P(RemovalAfterOutageTest, TheServerIsNotUsedLongerThanItServes)
{
    for (const Duration phase : {0ms, 150ms, 300ms, 450ms}) {
        SCOPED_TRACE(std::chrono::duration_cast<std::chrono::milliseconds>(phase).count());
        this->store.put("removed");
        this->advance(1s);
        ASSERT_TRUE(this->instance.hasServer("removed"));
        const Duration removal = this->GetParam();
        this->instance.isStoreUnreachable = true;
        this->advance(outage + phase + std::min<Duration>(removal, 0ms));
        if (removal < 0ms) {
            this->store.remove("removed");
            this->advance(-removal);
        }
        this->instance.isStoreUnreachable = false;
        if (removal >= 0ms) {
            this->advance(removal);
            this->store.remove("removed");
        }
        this->advance(std::max<Duration>(removal + serviceAfterRemoval, contactTime) - std::max<Duration>(removal, 0ms));
        EXPECT_FALSE(this->instance.hasServer("removed"));
        EXPECT_TRUE(this->instance.hasServer("other"));
        this->advance(2s);
    }
}

TEST_F(RemovedServerTest, AServerThatSaysItLeavesIsNotUsedThoughTheStoreCannotBeRead)
{
    this->instance.isStoreUnreachable = true;
    this->advance(1s);
    this->instance.directory.recordServerLeaving(BackendServerId("removed"), RuntimeClock::now());
    const auto isLeaving = [this](const std::string &id) {
        return this->instance.directory.state()->findBackendServer(BackendServerId(id))->value.leaving;
    };
    EXPECT_TRUE(isLeaving("removed"));
    EXPECT_FALSE(isLeaving("other"));
    this->store.put("removed"); // an entry from before the server began to leave
    this->instance.isStoreUnreachable = false;
    this->advance(2s);
    EXPECT_TRUE(isLeaving("removed"));
}

// Guards against requests to a server that left, because a store that was restored from a backup lists its old entry again.
TEST_F(RemovedServerTest, AServerIsNotUsedBecauseARestoredStoreListsItAgain)
{
    const std::vector<ServerChange> backup = this->store.entries;
    this->store.remove("removed");
    this->advance(1s);
    ASSERT_FALSE(this->instance.hasServer("removed"));
    this->store.restore(backup);
    this->advance(4s);
    EXPECT_FALSE(this->instance.hasServer("removed"));
    EXPECT_TRUE(this->instance.hasServer("other"));
    this->store.remove("removed");
    this->advance(4s);
    EXPECT_FALSE(this->instance.hasServer("removed"));
}

// Guards against a server that lives and is not used for good, since its entry was away when the store was restored.
TEST_F(RemovedServerTest, AServerIsUsedOnceItRenewsItsEntryInARestoredStore)
{
    const std::vector<ServerChange> backup = this->store.entries;
    this->store.remove("removed");
    this->advance(1s);
    this->store.restore(backup);
    this->advance(1s);
    ASSERT_FALSE(this->instance.hasServer("removed"));
    this->store.put("removed");
    this->advance(1s);
    EXPECT_TRUE(this->instance.hasServer("removed"));
    this->store.remove("removed");
    this->advance(1s);
    ASSERT_FALSE(this->instance.hasServer("removed"));
    this->store.put("removed");
    this->advance(1s);
    EXPECT_TRUE(this->instance.hasServer("removed")) << "no restoration in between";
}

TEST_F(RemovedServerTest, AServerThatARestoredStoreKeepsListingIsUsed)
{
    const std::vector<ServerChange> backup = this->store.entries;
    this->store.remove("removed");
    this->advance(1s);
    this->store.restore(backup);
    this->advance(7s);
    EXPECT_TRUE(this->instance.hasServer("removed"));
}

TEST_F(RemovedServerTest, ANewStartOfAServerIsUsedThoughARestoredStoreListedTheOldOne)
{
    const std::vector<ServerChange> backup = this->store.entries;
    this->store.remove("removed");
    this->advance(1s);
    this->store.restore(backup);
    this->store.put("removed", {}, {}, 1ms);
    this->advance(1s);
    EXPECT_TRUE(this->instance.hasServer("removed"));
}

INSTANTIATE_TEST_SUITE_P(Removals, RemovalAfterOutageTest, testing::Values(-1000ms, 200ms, 700ms, 1200ms),
    [](const testing::TestParamInfo<std::chrono::milliseconds> &info) {
        return info.param < 0ms ? "DuringTheOutage" : "After" + std::to_string(info.param.count()) + "Milliseconds";
    });
