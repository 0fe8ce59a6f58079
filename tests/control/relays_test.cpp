#include "fakeduties.h"
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

constexpr Duration heartbeat = 200ms;

/** The store's configuration and entries, as one instance reaches them. */
struct FakeStore {
    std::vector<PublishedConfig> configs;
    std::vector<ServerChange> entries;

    void publish(std::uint64_t version)
    {
        PublishedConfig config;
        config.version = version;
        config.offset = this->configs.size();
        this->configs.push_back(config);
    }

    void put(const std::string &id)
    {
        RegisteredServer registered;
        registered.server.id = BackendServerId(id);
        this->entries.push_back({registered.server.id, registered});
    }

    void remove(const std::string &id)
    {
        this->entries.push_back({BackendServerId(id), std::nullopt});
    }
};

/** One instance's directory, and what it asked of the store and of its relay. */
struct Reader {
    Reader(boost::asio::io_context &context, FakeStore &store, bool isRelay)
        : store(store)
        , isRelay(isRelay)
        , directory(this->hooks(), this->relayHooks(), DirectoryOptions(), [] {})
    {
        boost::asio::co_spawn(context, this->directory.runConfig(), boost::asio::detached);
        boost::asio::co_spawn(context, this->directory.runServers(), boost::asio::detached);
    }

    DirectoryHooks hooks()
    {
        DirectoryHooks hooks;
        hooks.readConfig = [this](std::optional<std::uint64_t> from, std::chrono::milliseconds wait) {
            return this->readConfig(from, wait);
        };
        hooks.readServers = [this](std::optional<std::uint64_t> from, std::chrono::milliseconds wait) {
            return this->readServers(from, wait);
        };
        return hooks;
    }

    DirectoryRelayHooks relayHooks()
    {
        DirectoryRelayHooks hooks;
        hooks.isRelay = [this] {
            return this->isRelay;
        };
        hooks.requestServers = [this](const Endpoint &, std::uint64_t from) {
            this->requested = from;
        };
        return hooks;
    }

    template <typename Condition>
    boost::asio::awaitable<Result<void>> awaitChange(std::chrono::milliseconds wait, Condition hasNews)
    {
        const TimePoint deadline = RuntimeClock::now() + wait;
        ++this->calls;
        while (!this->isCut && !hasNews() && RuntimeClock::now() < deadline) {
            co_await delay(10ms);
        }
        if (this->isCut) {
            co_return fail(ErrorKind::Unreachable, "the store is out of reach", "try again");
        }
        co_return done();
    }

    boost::asio::awaitable<Result<ConfigReading>> readConfig(std::optional<std::uint64_t> from, std::chrono::milliseconds wait)
    {
        const std::size_t begin = from.value_or(0);
        BOOST_OUTCOME_CO_TRYV(co_await this->awaitChange(from.has_value() ? wait : 0ms, [this, begin] {
            return this->store.configs.size() > begin;
        }));
        ConfigReading reading;
        reading.next = this->store.configs.size();
        reading.isAtEnd = true;
        if (reading.next > begin) {
            reading.newest = this->store.configs.back();
        }
        co_return reading;
    }

    boost::asio::awaitable<Result<ServerReading>> readServers(std::optional<std::uint64_t> from, std::chrono::milliseconds wait)
    {
        const std::size_t begin = from.value_or(0);
        BOOST_OUTCOME_CO_TRYV(co_await this->awaitChange(from.has_value() ? wait : 0ms, [this, begin] {
            return this->store.entries.size() > begin;
        }));
        ServerReading reading;
        reading.next = this->store.entries.size();
        reading.isComplete = !from.has_value();
        reading.changes.assign(this->store.entries.begin() + static_cast<std::ptrdiff_t>(begin), this->store.entries.end());
        co_return reading;
    }

    bool knows(const std::string &id) const
    {
        return this->directory.servers().servers().contains(BackendServerId(id));
    }

    FakeStore &store;
    bool isRelay;
    bool isCut = false; ///< from the store
    std::size_t calls = 0;
    std::optional<std::uint64_t> requested; ///< of the relay, not answered yet
    Directory directory;
};

/** Two relays of one data centre and an instance that relies on them. */
struct RelaysTest : testing::Test {
    PausedClock paused;
    boost::asio::io_context context{1};
    FakeStore store;
    Reader first{context, store, true};
    Reader second{context, store, true};
    Reader follower{context, store, false};
    bool isFirstNear = true;
    bool isSecondNear = true;

    void SetUp() override
    {
        this->store.publish(1);
        this->store.put("s1");
        this->exchange(1s);
    }

    ~RelaysTest() override
    {
        for (Reader *reader : {&this->first, &this->second, &this->follower}) {
            reader->directory.stop();
        }
        passTime(this->context, 5s);
    }

    /** What a relay tells in an acknowledgement, and its answer to a request for entries. */
    void hear(const Reader &relay, bool isNear)
    {
        const TimePoint now = RuntimeClock::now();
        this->follower.requested.reset();
        this->follower.directory.notePeerProgress(Endpoint(), isNear, relay.directory.progress(), now, now);
        if (this->follower.requested.has_value()) {
            this->follower.directory.takeRelayedServers(relay.directory.serversSince(*this->follower.requested));
        }
    }

    void exchange(Duration duration)
    {
        for (Duration passed{}; passed < duration; passed += heartbeat) {
            passTime(this->context, heartbeat);
            this->hear(this->first, this->isFirstNear);
            this->hear(this->second, this->isSecondNear);
        }
    }
};

} // namespace

TEST_F(RelaysTest, AnInstanceWithRelaysLeavesTheStoreAlone)
{
    const std::size_t before = this->follower.calls;
    const std::size_t ofRelay = this->first.calls;
    this->exchange(20s);
    EXPECT_EQ(this->follower.calls, before);
    EXPECT_GE(this->first.calls - ofRelay, 30U);
}

TEST_F(RelaysTest, ItsProofIsNeverYoungerThanTheRelaysRead)
{
    this->exchange(5s);
    ASSERT_TRUE(this->follower.directory.provedAt().has_value());
    EXPECT_LE(
        *this->follower.directory.provedAt(), std::max(*this->first.directory.provedAt(), *this->second.directory.provedAt()));
    EXPECT_LE(RuntimeClock::now() - *this->follower.directory.provedAt(), 2s) << "an outage of the store finds it young";
}

TEST_F(RelaysTest, ANewConfigurationIsReadAsSoonAsARelayHasIt)
{
    this->store.publish(2);
    this->exchange(2 * heartbeat);
    ASSERT_TRUE(this->follower.directory.config().has_value());
    EXPECT_EQ(this->follower.directory.config()->version, 2U);
}

TEST_F(RelaysTest, AWithdrawalBindsWhileItIsNotReadYet)
{
    this->follower.isCut = true;
    this->store.publish(2);
    const TimePoint published = RuntimeClock::now();
    this->exchange(4s);
    ASSERT_TRUE(this->follower.directory.provedAt().has_value());
    EXPECT_LE(*this->follower.directory.provedAt(), published) << "relays prove nothing of an older configuration";
}

TEST_F(RelaysTest, ItReadsTheStoreWhenItsRelaysAreCutOffFromIt)
{
    this->exchange(2s);
    this->first.isCut = true;
    this->second.isCut = true;
    const std::size_t before = this->follower.calls;
    this->store.publish(2);
    this->store.remove("s1");
    this->exchange(DirectoryOptions().serverPatience);
    EXPECT_GT(this->follower.calls, before);
    EXPECT_EQ(this->follower.directory.config()->version, 2U);
    EXPECT_FALSE(this->follower.knows("s1"));
}

TEST_F(RelaysTest, ItReadsTheStoreWithinTheShortestBoundWhenAllRelaysWereKilled)
{
    // The shortest of the deployments' bounds for a configuration and for a server that leaves.
    constexpr Duration shortestBound = 2s;
    this->exchange(2s);
    this->store.publish(2);
    this->store.remove("s1");
    passTime(this->context, shortestBound);
    EXPECT_EQ(this->follower.directory.config()->version, 2U);
    EXPECT_FALSE(this->follower.knows("s1"));
}

TEST_F(RelaysTest, ARelayOfAnotherDataCentreShowsThatTheNearOneLiesBehind)
{
    this->isSecondNear = false;
    this->first.isCut = true;
    this->exchange(heartbeat);
    this->store.put("s2");
    this->exchange(DirectoryOptions().serverPause + DirectoryOptions().behindLimit + 2 * heartbeat);
    EXPECT_TRUE(this->follower.knows("s2"));
}

TEST_F(RelaysTest, EntriesComeFromTheRelay)
{
    const std::size_t before = this->follower.calls;
    this->store.put("s2");
    this->store.remove("s1");
    this->exchange(DirectoryOptions().serverPause + 2 * heartbeat);
    EXPECT_TRUE(this->follower.knows("s2"));
    EXPECT_FALSE(this->follower.knows("s1"));
    EXPECT_EQ(this->follower.calls, before);
}

TEST_F(RelaysTest, EntriesThatLapsedInAnOutageAreKeptForTheGrace)
{
    for (Reader *reader : {&this->first, &this->second, &this->follower}) {
        reader->isCut = true;
    }
    this->exchange(4s);
    this->store.remove("s1");
    this->first.isCut = false;
    this->second.isCut = false;
    this->exchange(1s);
    EXPECT_TRUE(this->follower.knows("s1")) << "its server has not had the time to register again";
    this->exchange(3s);
    EXPECT_FALSE(this->follower.knows("s1"));
}

TEST_F(RelaysTest, AWholeListLeavesOutWhatOnlyTheGraceKeeps)
{
    this->first.isCut = true;
    this->exchange(1s);
    this->store.remove("s1");
    this->first.isCut = false;
    this->exchange(heartbeat * 4);
    ASSERT_TRUE(this->first.knows("s1"));
    const ServersMessage whole = this->first.directory.serversSince(0);
    ASSERT_TRUE(whole.isComplete);
    EXPECT_TRUE(whole.changes.empty());
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
        passTime(this->context, 5s);
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
        options.handToRelay = [this](std::uint64_t sequence, const std::string &record) {
            if (!this->isRelaySilent) {
                this->relay.gather(record, [this, sequence] {
                    this->follower.noteTaken(sequence);
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
        UsageBook book;
        for (const std::string &record : this->duties.counts) {
            book.apply(decodeMeterRecord(record).value());
        }
        const WindowCounts counts = book.countsOf(1000);
        return counts.accounts.empty() ? 0 : counts.accounts.front().requests;
    }
};

} // namespace

TEST_F(CountsTest, ARelayAppendsTheCountsOfOthersWithItsOwn)
{
    this->run();
    for (int i = 0; i < 100; ++i) {
        this->follower.count(ClientAccountId("acme"), 0s);
        this->relay.count(ClientAccountId("acme"), 0s);
        passTime(this->context, 200ms);
    }
    passTime(this->context, 3s);
    EXPECT_EQ(this->reported(), 200U);
    EXPECT_LE(this->duties.countAppends, 28U) << "one for each interval, not one for each instance";
}

TEST_F(CountsTest, CountsThatARelayDoesNotTakeAreAppendedByTheirWriter)
{
    this->isRelaySilent = true;
    this->run();
    this->follower.count(ClientAccountId("acme"), 0s);
    passTime(this->context, 5s);
    EXPECT_EQ(this->reported(), 1U);
}

TEST_F(CountsTest, CountsThatBothAppendedCountOnce)
{
    this->run();
    passTime(this->context, 2s);
    this->duties.isAway = true;
    this->follower.count(ClientAccountId("acme"), 0s);
    passTime(this->context, 5s);
    this->duties.isAway = false;
    passTime(this->context, 5s);
    EXPECT_EQ(this->reported(), 1U);
}

TEST_F(CountsTest, ARecordThatTheLogWouldRefuseDoesNotHoldUpTheOthers)
{
    this->run();
    this->relay.gather(std::string(std::size_t{1} << 20, 'x'), [] {
        FAIL() << "it cannot be in the log";
    });
    this->follower.count(ClientAccountId("acme"), 0s);
    passTime(this->context, 5s);
    EXPECT_EQ(this->reported(), 1U);
}

TEST_F(CountsTest, AShutdownBesideARunningAppendLosesNoRecord)
{
    this->hooks.appendCounts = [this](std::vector<std::string> records) -> DutyHooks::Answer<std::uint64_t> {
        co_await delay(300ms);
        this->duties.counts.insert(this->duties.counts.end(), records.begin(), records.end());
        co_return this->duties.counts.size() - records.size();
    };
    boost::asio::co_spawn(this->context, this->relay.run(), boost::asio::detached);
    this->relay.count(ClientAccountId("acme"), 0s);
    passTime(this->context, 100ms); // the append of the first record is under way
    this->relay.count(ClientAccountId("acme"), 0s);
    boost::asio::co_spawn(this->context, this->relay.finish(RuntimeClock::now() + 5s), boost::asio::detached);
    passTime(this->context, 5s);
    EXPECT_EQ(this->reported(), 2U);
}
