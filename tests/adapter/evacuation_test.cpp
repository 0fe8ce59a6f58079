// Guards against evacuations that are not read from the store: because its history is forgotten, it was restored from an older
// copy, or the records of other keys lie between.

#include "fakestore.h"

#include <platform/directoryreader.h>

#include <flamingosaddle/control/directory.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

#include <string>

using namespace flamingosaddle;
using namespace flamingosaddle::platform;
using namespace flamingosaddle::test;

namespace
{

constexpr std::chrono::milliseconds noWait(0);
const DataCentre a("a");
const DataCentre b("b/c"); // a name may contain the separator

struct EvacuationTest : testing::Test {
    FakeStore store;
    ContextThread thread;
    DirectoryHooks hooks = directoryHooks(store.client(), "secret");
    std::optional<std::uint64_t> next;
    Evacuations evacuations;

    void publish(std::uint64_t version)
    {
        this->store.appendKeyed("keyed.op", "config",
            R"({"version": )" + std::to_string(version) + R"(, "routes": [], "services": [], "tenants": []})");
    }

    void evacuate(const DataCentre &dataCentre, const std::string &value = "{}")
    {
        this->store.appendKeyed("keyed.op", "evacuate/" + dataCentre.text(), value);
    }

    void takeBack(const DataCentre &dataCentre)
    {
        this->store.appendKeyed("keyed.op", "evacuate/" + dataCentre.text(), "");
    }

    /** Reads as Directory does: from the last offset, or everything if that offset is gone. */
    ConfigReadResult read()
    {
        Result<ConfigReadResult> reading = this->thread.await(this->hooks.readConfig(this->next, noWait));
        if (reading.has_error()) {
            EXPECT_EQ(reading.error().kind(), ErrorKind::Trimmed);
            reading = this->thread.await(this->hooks.readConfig(std::nullopt, noWait));
        }
        this->next = reading.value().nextOffset;
        return reading.value();
    }
};

} // namespace

TEST_F(EvacuationTest, ReadsEvacuationsBesideTheConfiguration)
{
    this->publish(1);
    this->evacuate(a);
    this->evacuate(b, "not JSON");
    const ConfigReadResult all = this->read();
    EXPECT_TRUE(all.isComplete);
    EXPECT_TRUE(all.newest.has_value());
    EXPECT_EQ(all.evacuations, (std::vector<EvacuationChange>{{a, true, 1}, {b, true, 2}}));
    this->takeBack(a);
    this->publish(2);
    this->evacuate(a);
    const ConfigReadResult later = this->read();
    EXPECT_FALSE(later.isComplete);
    EXPECT_EQ(later.newest.value().version, 2U);
    EXPECT_EQ(later.evacuations, (std::vector<EvacuationChange>{{a, false, 3}, {a, true, 5}}));
}

TEST_F(EvacuationTest, OtherKeysAreNoEvacuations)
{
    this->store.appendKeyed("keyed.op", "evacuate/", "{}");
    this->store.appendKeyed("keyed.op", "evacuate", "{}");
    this->store.appendKeyed("keyed.op", "evacuated/a", "{}");
    EXPECT_TRUE(this->read().evacuations.empty());
    this->store.appendKeyed("keyed.op", "evacuate/", "{}");
    EXPECT_TRUE(this->read().evacuations.empty());
}

TEST_F(EvacuationTest, AForgottenHistoryLosesNoEvacuationAndNoReturn)
{
    this->publish(1);
    this->evacuate(b);
    this->read();
    this->evacuate(a);
    this->takeBack(b);
    for (std::uint64_t version = 2; version < 8; ++version) {
        this->publish(version);
    }
    this->store.trim("keyed.op", 9);
    const ConfigReadResult reading = this->read();
    EXPECT_TRUE(reading.isComplete);
    EXPECT_EQ(reading.evacuations, (std::vector<EvacuationChange>{{a, true, 2}}));
}

namespace
{

/** A directory that reads the fake store on a thread of its own. */
struct DirectoryEvacuationTest : EvacuationTest {
    DirectoryRelayHooks relayHooks()
    {
        DirectoryRelayHooks relays;
        relays.isRelay = [] {
            return true;
        };
        relays.requestServers = [](const Endpoint &, std::uint64_t) {};
        return relays;
    }

    static boost::asio::awaitable<std::map<DataCentre, EvacuationState>> statesOf(const Directory &directory)
    {
        co_return directory.evacuations().states();
    }

    bool isEvacuated(const DataCentre &dataCentre)
    {
        const auto states = this->thread.await(statesOf(this->directory));
        const auto known = states.find(dataCentre);
        return known != states.end() && known->second.isEvacuated;
    }

    bool becomes(const DataCentre &dataCentre, bool evacuated)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (this->isEvacuated(dataCentre) != evacuated && std::chrono::steady_clock::now() < deadline) {
        }
        return this->isEvacuated(dataCentre) == evacuated;
    }

    /** Returns once the directory has read everything that was written before the call. */
    bool isReadToTheEnd()
    {
        this->evacuate(DataCentre("last"));
        const bool isRead = this->becomes(DataCentre("last"), true);
        this->takeBack(DataCentre("last"));
        return isRead && this->becomes(DataCentre("last"), false);
    }

    Directory directory{this->hooks, relayHooks(), DirectoryOptions(), [] {}};
    std::future<void> reading = this->thread.start(this->directory.runConfig());

    ~DirectoryEvacuationTest() override
    {
        this->thread.await(stop(this->directory));
        this->reading.wait();
    }

    static boost::asio::awaitable<void> stop(Directory &directory)
    {
        directory.stop();
        co_return;
    }
};

} // namespace

TEST_F(DirectoryEvacuationTest, FollowsEvacuationsAndReturnsInQuickSuccession)
{
    this->publish(1);
    for (int i = 0; i < 10; ++i) {
        this->evacuate(a);
        this->takeBack(a);
    }
    this->evacuate(a);
    this->evacuate(b);
    EXPECT_TRUE(this->becomes(a, true));
    EXPECT_TRUE(this->becomes(b, true));
    this->takeBack(b);
    EXPECT_TRUE(this->becomes(b, false));
    EXPECT_TRUE(this->isEvacuated(a));
}

TEST_F(DirectoryEvacuationTest, AStoreThatFailsTakesNothingBack)
{
    this->evacuate(a);
    EXPECT_TRUE(this->becomes(a, true));
    for (int i = 0; i < 3; ++i) {
        this->store.failNextCall(503);
        EXPECT_TRUE(this->isReadToTheEnd());
        EXPECT_TRUE(this->isEvacuated(a));
    }
}

TEST_F(DirectoryEvacuationTest, AnOlderCopyOfTheStoreTakesNothingBack)
{
    this->publish(1);
    this->store.takeCopy();
    this->evacuate(a);
    EXPECT_TRUE(this->becomes(a, true));
    this->store.restore();
    EXPECT_TRUE(this->isReadToTheEnd());
    EXPECT_TRUE(this->isEvacuated(a)) << "the operator has not taken it back";
    this->takeBack(a);
    EXPECT_TRUE(this->becomes(a, false));
}

TEST_F(DirectoryEvacuationTest, AnOlderCopyOfTheStoreWithAnEndedEvacuationEvacuatesAgain)
{
    this->evacuate(a);
    EXPECT_TRUE(this->becomes(a, true));
    this->store.takeCopy();
    this->takeBack(a);
    EXPECT_TRUE(this->becomes(a, false));
    this->store.restore();
    EXPECT_TRUE(this->becomes(a, true));
}
