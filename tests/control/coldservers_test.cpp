// What instances learn of cold servers from the store and from relays. Guards against an instance that takes a relay's old word
// for a new one, and against any effect on services whose servers bear all requests while they are cold.

#include "fakeinstance.h"
#include "rununtil.h"

#include <flamingosaddle/base/delay.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const ServiceName limited("limited");
const ServiceName unlimited("unlimited");
const BackendServerId server("s1");

struct ColdServersTest : testing::Test {
    PausedClock paused;
    boost::asio::io_context context{1};
    FakeStore store;
    FakeInstance relay{context, store, true};

    void SetUp() override
    {
        this->store.publish(1);
        ServiceRules rules;
        rules.name = limited;
        rules.coldRequestsPerSecond = 5.2;
        this->store.configs.back().services.push_back(rules);
        this->read();
    }

    ~ColdServersTest() override
    {
        this->relay.directory.stop();
        advanceTime(this->context, 5s);
    }

    void put(const ServiceName &service, std::chrono::milliseconds coldFor)
    {
        this->store.put(server.text(), service);
        this->store.entries.back().server->coldFor = coldFor;
    }

    void read()
    {
        advanceTime(this->context, 1s);
    }

    /** Returns the server as the traffic threads see it. */
    BackendServer published() const
    {
        return this->relay.directory.state()->backendServers().at(server).value;
    }
};

} // namespace

TEST_F(ColdServersTest, ThePublishedServerSaysWhatItBearsAndUntilWhen)
{
    this->put(limited, 3s);
    this->read();
    EXPECT_EQ(this->published().coldRequestsPerSecond, 5.2);
    EXPECT_GT(this->published().coldUntil, RuntimeClock::now());
    this->put(limited, 0s);
    this->read();
    EXPECT_LE(this->published().coldUntil, RuntimeClock::now());
}

TEST_F(ColdServersTest, AServiceWithoutALimitIsNotAffected)
{
    this->put(unlimited, 3s);
    this->read();
    EXPECT_EQ(this->published().coldRequestsPerSecond, 0.0);
    EXPECT_EQ(this->published().coldUntil, TimePoint());
    EXPECT_EQ(this->relay.directory.serversSince(0).changes.back().server->coldFor, 0ms) << "peers are not told either";
}

TEST_F(ColdServersTest, ARelaySaysHowMuchLongerAServerIsColdNow)
{
    this->put(limited, 3s);
    this->read();
    const std::uint64_t before = this->store.entries.size() - 1;
    const auto relayedColdFor = [this](std::uint64_t from) {
        return this->relay.directory.serversSince(from).changes.back().server->coldFor;
    };
    const std::chrono::milliseconds first = relayedColdFor(before);
    EXPECT_GT(first, 1s);
    advanceTime(this->context, 500ms);
    EXPECT_EQ(relayedColdFor(before), first - 500ms) << "from the retained changes";
    ASSERT_TRUE(this->relay.directory.serversSince(0).isComplete || before == 0);
    advanceTime(this->context, 5s);
    EXPECT_EQ(relayedColdFor(before), 0ms);
}

TEST_F(ColdServersTest, EntriesAreConfirmedWhileTheStoreAnswersAlsoWithoutAChange)
{
    ASSERT_TRUE(this->relay.serversConfirmedAt.has_value());
    const TimePoint before = *this->relay.serversConfirmedAt;
    advanceTime(this->context, 3s);
    const TimePoint after = *this->relay.serversConfirmedAt;
    EXPECT_GT(after, before + 1s);
    this->relay.isStoreUnreachable = true;
    advanceTime(this->context, 3s);
    EXPECT_LE(*this->relay.serversConfirmedAt, after + 1s);
}

// Servers that restarted in the outage have not had the time to say so.
TEST_F(ColdServersTest, EntriesAreNotConfirmedShortlyAfterAnOutage)
{
    this->relay.isStoreUnreachable = true;
    advanceTime(this->context, 3s);
    const TimePoint before = *this->relay.serversConfirmedAt;
    this->relay.isStoreUnreachable = false;
    advanceTime(this->context, DirectoryOptions().servers.gracePeriod - 500ms);
    EXPECT_EQ(*this->relay.serversConfirmedAt, before);
    advanceTime(this->context, 3s);
    EXPECT_GT(*this->relay.serversConfirmedAt, before + 3s);
}

TEST(ColdServersWithoutLimits, NothingIsReported)
{
    const PausedClock paused;
    boost::asio::io_context context{1};
    FakeStore store;
    FakeInstance relay{context, store, true};
    store.publish(1);
    store.put("s1", unlimited);
    advanceTime(context, 3s);
    EXPECT_FALSE(relay.serversConfirmedAt.has_value());
    relay.directory.stop();
    advanceTime(context, 5s);
}
