#include "fakeduties.h"
#include "fakeinstance.h"
#include "rununtil.h"

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/control/directory.h>
#include <flamingosaddle/control/usagemeter.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <algorithm>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr Duration heartbeatInterval = 200ms;

/** Two relays of a data centre and an instance that relies on them. */
struct RelaysTest : testing::Test {
    PausedClock paused;
    boost::asio::io_context context{1};
    FakeStore store;
    FakeInstance first{context, store, true};
    FakeInstance second{context, store, true};
    FakeInstance follower{context, store, false};
    bool isFirstInOwnDataCentre = true;
    bool isSecondInOwnDataCentre = true;

    void SetUp() override
    {
        this->store.publish(1);
        this->store.put("s1");
        this->runHeartbeats(1s);
    }

    ~RelaysTest() override
    {
        for (FakeInstance *instance : {&this->first, &this->second, &this->follower}) {
            instance->directory.stop();
        }
        advanceTime(this->context, 5s);
    }

    /** Delivers a relay's progress to the follower, and the relay's response if the follower then requests entries. */
    void deliverProgress(const FakeInstance &relay, bool isSameDataCentre)
    {
        const TimePoint now = RuntimeClock::now();
        this->follower.requestedFrom.reset();
        this->follower.directory.applyPeerProgress(Endpoint(), isSameDataCentre, relay.directory.progress(), now, now);
        if (this->follower.requestedFrom.has_value()) {
            this->follower.directory.applyRelayedServers(relay.directory.serversSince(*this->follower.requestedFrom));
        }
    }

    void runHeartbeats(Duration duration)
    {
        for (Duration passed{}; passed < duration; passed += heartbeatInterval) {
            advanceTime(this->context, heartbeatInterval);
            this->deliverProgress(this->first, this->isFirstInOwnDataCentre);
            this->deliverProgress(this->second, this->isSecondInOwnDataCentre);
        }
    }
};

} // namespace

TEST_F(RelaysTest, AnInstanceWithRelaysDoesNotReadTheStore)
{
    const std::size_t before = this->follower.calls;
    const std::size_t relayCallsBefore = this->first.calls;
    this->runHeartbeats(20s);
    EXPECT_EQ(this->follower.calls, before);
    EXPECT_GE(this->first.calls - relayCallsBefore, 30U);
}

TEST_F(RelaysTest, ItsConfirmationIsNotNewerThanTheRelaysReads)
{
    this->runHeartbeats(5s);
    ASSERT_TRUE(this->follower.directory.confirmedAt().has_value());
    EXPECT_LE(*this->follower.directory.confirmedAt(),
        std::max(*this->first.directory.confirmedAt(), *this->second.directory.confirmedAt()));
    EXPECT_LE(RuntimeClock::now() - *this->follower.directory.confirmedAt(), 2s)
        << "an outage of the store must start with a recent confirmation";
}

TEST_F(RelaysTest, ReadsANewConfigurationWhenARelayHasIt)
{
    this->store.publish(2);
    this->runHeartbeats(2 * heartbeatInterval);
    ASSERT_TRUE(this->follower.directory.config().has_value());
    EXPECT_EQ(this->follower.directory.config()->version, 2U);
}

TEST_F(RelaysTest, RelaysDoNotConfirmAnOutdatedConfiguration)
{
    this->follower.isStoreUnreachable = true;
    this->store.publish(2);
    const TimePoint published = RuntimeClock::now();
    this->runHeartbeats(4s);
    ASSERT_TRUE(this->follower.directory.confirmedAt().has_value());
    EXPECT_LE(*this->follower.directory.confirmedAt(), published) << "relays must not confirm an older configuration";
}

TEST_F(RelaysTest, ReadsAnEvacuationAndItsEndWhenARelayHasThem)
{
    const DataCentre dataCentre("b");
    this->store.evacuate(dataCentre, true);
    this->runHeartbeats(2 * heartbeatInterval);
    EXPECT_TRUE(this->follower.directory.evacuations().isEvacuated(dataCentre));
    this->store.evacuate(dataCentre, false);
    this->runHeartbeats(2 * heartbeatInterval);
    EXPECT_FALSE(this->follower.directory.evacuations().isEvacuated(dataCentre));
}

// An instance that the store refuses must not go on for long with requests to a data centre that was evacuated meanwhile.
TEST_F(RelaysTest, AnInstanceThatCannotReadAnEvacuationIsNotConfirmed)
{
    this->runHeartbeats(2s);
    this->follower.isStoreUnreachable = true;
    this->store.evacuate(DataCentre("b"), true);
    const TimePoint evacuated = RuntimeClock::now();
    this->runHeartbeats(6s);
    EXPECT_FALSE(this->follower.directory.evacuations().isEvacuated(DataCentre("b")));
    ASSERT_TRUE(this->follower.directory.confirmedAt().has_value());
    EXPECT_LE(*this->follower.directory.confirmedAt(), evacuated);
    this->follower.isStoreUnreachable = false;
    this->runHeartbeats(1s);
    EXPECT_TRUE(this->follower.directory.evacuations().isEvacuated(DataCentre("b")));
}

TEST_F(RelaysTest, ReadsTheStoreWhenItsRelaysCannotReachIt)
{
    this->runHeartbeats(2s);
    this->first.isStoreUnreachable = true;
    this->second.isStoreUnreachable = true;
    const std::size_t before = this->follower.calls;
    this->store.publish(2);
    this->store.remove("s1");
    this->runHeartbeats(DirectoryOptions().serverStalenessLimit);
    EXPECT_GT(this->follower.calls, before);
    EXPECT_EQ(this->follower.directory.config()->version, 2U);
    EXPECT_FALSE(this->follower.hasServer("s1"));
}

// In an outage of the store every instance read both topics three times a second, and all calls are priced.
TEST_F(RelaysTest, CallsAStoreThatIsDownSeldomAndReturnsWithItsRelays)
{
    constexpr Duration outage = 10s;
    const auto setUnreachable = [this](bool isUnreachable) {
        for (FakeInstance *instance : {&this->first, &this->second, &this->follower}) {
            instance->isStoreUnreachable = isUnreachable;
        }
    };
    this->runHeartbeats(2s);
    setUnreachable(true);
    const std::size_t before = this->follower.calls;
    const std::size_t relayCallsBefore = this->first.calls;
    this->runHeartbeats(outage);
    EXPECT_LE(this->follower.calls - before, 30U);
    EXPECT_GE(this->first.calls - relayCallsBefore, 40U) << "relays look for the store";
    setUnreachable(false);
    this->store.publish(2);
    this->runHeartbeats(1s);
    EXPECT_EQ(this->follower.directory.config()->version, 2U) << "a relay's word ends the wait";
}

TEST_F(RelaysTest, AnInstanceThatAloneIsTurnedAwayRetriesAtIntervals)
{
    this->runHeartbeats(2s);
    this->follower.isStoreUnreachable = true;
    const std::size_t before = this->follower.calls;
    this->store.publish(2);
    this->runHeartbeats(4s);
    EXPECT_GT(this->follower.calls, before + 8) << "it lacks a configuration that its relays have";
    EXPECT_LT(this->follower.calls, before + 40);
}

TEST_F(RelaysTest, ReadsTheStoreWithinTheShortestBoundWhenAllRelaysAreKilled)
{
    // The shortest bound of any deployment on the delay of a configuration change or a server's removal.
    constexpr Duration shortestBound = 2s;
    this->runHeartbeats(2s);
    this->store.publish(2);
    this->store.remove("s1");
    advanceTime(this->context, shortestBound);
    EXPECT_EQ(this->follower.directory.config()->version, 2U);
    EXPECT_FALSE(this->follower.hasServer("s1"));
}

TEST_F(RelaysTest, ARelayOfAnotherDataCentreRevealsThatTheOwnRelayLagsBehind)
{
    this->isSecondInOwnDataCentre = false;
    this->first.isStoreUnreachable = true;
    this->runHeartbeats(heartbeatInterval);
    this->store.put("s2");
    this->runHeartbeats(DirectoryOptions().serverPollPause + DirectoryOptions().lagLimit + 2 * heartbeatInterval);
    EXPECT_TRUE(this->follower.hasServer("s2"));
}

TEST_F(RelaysTest, ReceivesEntriesFromTheRelay)
{
    const std::size_t before = this->follower.calls;
    this->store.put("s2");
    this->store.remove("s1");
    this->runHeartbeats(DirectoryOptions().serverPollPause + 2 * heartbeatInterval);
    EXPECT_TRUE(this->follower.hasServer("s2"));
    EXPECT_FALSE(this->follower.hasServer("s1"));
    EXPECT_EQ(this->follower.calls, before);
}

TEST_F(RelaysTest, KeepsEntriesThatVanishedInAnOutageForTheGracePeriod)
{
    for (FakeInstance *instance : {&this->first, &this->second, &this->follower}) {
        instance->isStoreUnreachable = true;
    }
    this->runHeartbeats(4s);
    this->store.remove("s1");
    this->first.isStoreUnreachable = false;
    this->second.isStoreUnreachable = false;
    this->runHeartbeats(1s);
    EXPECT_TRUE(this->follower.hasServer("s1")) << "the server must get time to register again";
    this->runHeartbeats(3s);
    EXPECT_FALSE(this->follower.hasServer("s1"));
}

TEST_F(RelaysTest, ACompleteListOmitsEntriesInTheirGracePeriod)
{
    this->first.isStoreUnreachable = true;
    this->runHeartbeats(1s);
    this->store.remove("s1");
    this->first.isStoreUnreachable = false;
    this->runHeartbeats(heartbeatInterval * 4);
    ASSERT_TRUE(this->first.hasServer("s1"));
    const ServersMessage complete = this->first.directory.serversSince(0);
    ASSERT_TRUE(complete.isComplete);
    EXPECT_TRUE(complete.changes.empty());
}

namespace
{

struct CountsTest : testing::Test {
    PausedClock paused;
    boost::asio::io_context context{1};
    FakeDuties duties;
    DutyHooks hooks = duties.hooks();
    bool isRelaySilent = false;
    UsageMeter relay{hooks, options("relay")};
    UsageMeter follower{hooks, this->followerOptions()};

    ~CountsTest() override
    {
        this->relay.stop();
        this->follower.stop();
        advanceTime(this->context, 5s);
    }

    static UsageMeter::Options options(const std::string &name)
    {
        UsageMeter::Options options;
        options.self = {InstanceId(name), 1};
        options.windowLength = 5s;
        options.unixTime = [] {
            return 5'000'000ms;
        };
        return options;
    }

    UsageMeter::Options followerOptions()
    {
        UsageMeter::Options options = CountsTest::options("follower");
        options.sendToRelay = [this](std::uint64_t sequence, const std::string &record) {
            if (!this->isRelaySilent) {
                this->relay.enqueuePeerRecord(record, [this, sequence] {
                    this->follower.onRelayAcknowledged(sequence);
                });
            }
            return true;
        };
        return options;
    }

    void run()
    {
        boost::asio::co_spawn(this->context, this->relay.run(), boost::asio::detached);
        boost::asio::co_spawn(this->context, this->follower.run(), boost::asio::detached);
    }

    std::uint64_t reported() const
    {
        UsageAggregator usage;
        for (const std::string &record : this->duties.counts) {
            usage.apply(decodeUsageRecord(record).value());
        }
        const WindowCounts counts = usage.countsOf(1000);
        return counts.accounts.empty() ? 0 : counts.accounts.front().requests;
    }
};

} // namespace

TEST_F(CountsTest, ARelayAppendsOtherInstancesCountsWithItsOwn)
{
    this->run();
    for (int i = 0; i < 100; ++i) {
        this->follower.recordRequestStart(ClientAccountId("acme"), 0s);
        this->relay.recordRequestStart(ClientAccountId("acme"), 0s);
        advanceTime(this->context, 200ms);
    }
    advanceTime(this->context, 3s);
    EXPECT_EQ(this->reported(), 200U);
    EXPECT_LE(this->duties.countAppends, 28U) << "one append per interval, not one per instance";
}

TEST_F(CountsTest, AppendsCountsItselfWithoutAnAcknowledgement)
{
    this->isRelaySilent = true;
    this->run();
    this->follower.recordRequestStart(ClientAccountId("acme"), 0s);
    advanceTime(this->context, 5s);
    EXPECT_EQ(this->reported(), 1U);
}

TEST_F(CountsTest, CountsAppendedTwiceAreCountedOnce)
{
    this->run();
    advanceTime(this->context, 2s);
    this->duties.isStoreDown = true;
    this->follower.recordRequestStart(ClientAccountId("acme"), 0s);
    advanceTime(this->context, 5s);
    this->duties.isStoreDown = false;
    advanceTime(this->context, 5s);
    EXPECT_EQ(this->reported(), 1U);
}

TEST_F(CountsTest, AnOversizedRecordDoesNotBlockOtherRecords)
{
    this->run();
    this->relay.enqueuePeerRecord(std::string(std::size_t{1} << 20, 'x'), [] {
        FAIL() << "an oversized record must not be acknowledged";
    });
    this->follower.recordRequestStart(ClientAccountId("acme"), 0s);
    advanceTime(this->context, 5s);
    EXPECT_EQ(this->reported(), 1U);
}

TEST_F(CountsTest, AShutdownDuringAnAppendLosesNoRecord)
{
    this->hooks.appendCounts = [this](std::vector<std::string> records) -> DutyHooks::AsyncResult<std::uint64_t> {
        co_await delay(300ms);
        this->duties.counts.insert(this->duties.counts.end(), records.begin(), records.end());
        co_return this->duties.counts.size() - records.size();
    };
    boost::asio::co_spawn(this->context, this->relay.run(), boost::asio::detached);
    this->relay.recordRequestStart(ClientAccountId("acme"), 0s);
    advanceTime(this->context, 100ms); // the append of the first record is in flight
    this->relay.recordRequestStart(ClientAccountId("acme"), 0s);
    boost::asio::co_spawn(this->context, this->relay.flush(RuntimeClock::now() + 5s), boost::asio::detached);
    advanceTime(this->context, 5s);
    EXPECT_EQ(this->reported(), 2U);
}
