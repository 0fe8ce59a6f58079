// Guards against a traffic side that learns of servers before it learns that their data centre is evacuated, and against returns
// that are not passed on.

#include "fakeduties.h"
#include "fakeinstance.h"
#include "fakeplatform.h"
#include "rununtil.h"

#include <flamingosaddle/control/controller.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

struct ControllerEvacuation : testing::Test {
    PausedClock paused;
    FakePlatform platform;
    FakeDuties duties;
    boost::asio::io_context context;
    FakeStore store;
    FakeInstance reader{context, store, true}; // whose reads the controller uses
    std::vector<std::string> events;
    std::shared_ptr<const RoutingSnapshot> snapshot;
    std::unique_ptr<Controller> controller;

    void startController()
    {
        ControllerHooks hooks;
        hooks.publishSnapshot = [this](std::shared_ptr<const RoutingSnapshot> next) {
            this->snapshot = std::move(next);
        };
        hooks.setServers = [this](const std::vector<BackendServer> &servers) {
            this->events.push_back("servers " + std::to_string(servers.size()));
        };
        hooks.setEvacuated = [this](const DataCentre &dataCentre, bool evacuated) {
            this->events.push_back((evacuated ? "evacuated " : "returned ") + dataCentre.text());
        };
        hooks.onKeyWithdrawn = [](const KeyId &) {};
        hooks.fillTrafficState = [](HeartbeatMessage &) {};
        hooks.onPeerLoads = [](const std::vector<ServerLoad> &) {};
        hooks.onPeerWaitingTiers = [](const std::vector<WaitingTier> &) {};
        hooks.onPeerServedTokens = [](const std::vector<ServedTokens> &) {};
        hooks.onPeerPrefills = [](const std::vector<PromptPrefill> &) {};
        hooks.onPeerQuarantines = [](const QuarantinesMessage &) {};
        hooks.deathCounts = [] {
            return QuarantinesMessage();
        };
        hooks.onPeerRateLimits = [](const std::vector<RateLimitReport> &) {};
        hooks.onPeerRejectionLimits = [](const std::vector<RejectionLimitReport> &) {};
        hooks.onSharingInstances = [](const std::vector<InstanceId> &) {};
        hooks.onPeerPaths = [](const std::vector<PeerPath> &) {};
        hooks.onServingCount = [](std::size_t) {};
        ControllerOptions options;
        options.self = {InstanceId("i1"), 1};
        options.dataCentre = DataCentre("a");
        options.wallTime = [] {
            return std::chrono::seconds(0);
        };
        options.systemTime = [] {
            return std::chrono::duration_cast<std::chrono::milliseconds>(RuntimeClock::now().time_since_epoch());
        };
        this->controller = std::make_unique<Controller>(
            this->context, this->platform.hooks(), this->reader.hooks(), this->duties.hooks(), options, hooks);
        this->controller->start();
    }

    bool hasEvent(const std::string &event) const
    {
        return std::find(this->events.begin(), this->events.end(), event) != this->events.end();
    }

    ~ControllerEvacuation() override
    {
        this->reader.directory.stop();
        if (this->controller) {
            this->controller->stop();
        }
        advanceTime(this->context, 60s);
    }
};

} // namespace

TEST_F(ControllerEvacuation, AnInstanceThatStartsKnowsOfAnEvacuationBeforeTheServers)
{
    this->store.publish(1);
    this->store.evacuate(DataCentre("b"), true);
    this->store.evacuate(DataCentre("c"), true);
    this->store.evacuate(DataCentre("c"), false);
    this->store.put("s1");
    this->startController();
    ASSERT_TRUE(advanceTimeUntil(this->context, [this] {
        return this->hasEvent("servers 1");
    }));
    EXPECT_EQ(this->events.front(), "evacuated b");
    EXPECT_FALSE(this->hasEvent("returned c")) << "nobody sent requests there meanwhile";
    EXPECT_EQ(this->snapshot->evacuated(), (std::set<DataCentre>{DataCentre("b")}));
}

TEST_F(ControllerEvacuation, PassesOnEachEvacuationAndReturn)
{
    this->store.publish(1);
    this->store.put("s1");
    this->startController();
    ASSERT_TRUE(advanceTimeUntil(this->context, [this] {
        return this->hasEvent("servers 1");
    }));
    this->events.clear();
    this->store.evacuate(DataCentre("b"), true);
    ASSERT_TRUE(advanceTimeUntil(this->context, [this] {
        return !this->events.empty();
    }));
    EXPECT_EQ(this->events, (std::vector<std::string>{"evacuated b"}));
    EXPECT_EQ(this->snapshot->evacuated(), (std::set<DataCentre>{DataCentre("b")})) << "requests name it in their lines";
    this->events.clear();
    this->store.evacuate(DataCentre("b"), false);
    this->store.evacuate(DataCentre("c"), true);
    this->store.evacuate(DataCentre("c"), false);
    ASSERT_TRUE(advanceTimeUntil(this->context, [this] {
        return this->events.size() >= 2;
    }));
    EXPECT_EQ(this->events, (std::vector<std::string>{"returned b", "returned c"}));
    EXPECT_TRUE(this->snapshot->evacuated().empty());
}

TEST_F(ControllerEvacuation, AnInstanceThatStartsWithoutTheStorePublishesNothing)
{
    this->store.publish(1);
    this->store.evacuate(DataCentre("b"), true);
    this->store.put("s1");
    this->reader.isStoreUnreachable = true;
    this->startController();
    advanceTime(this->context, 5s);
    EXPECT_TRUE(this->events.empty());
    EXPECT_EQ(this->snapshot, nullptr) << "its requests are refused as not run";
    this->reader.isStoreUnreachable = false;
    ASSERT_TRUE(advanceTimeUntil(this->context, [this] {
        return this->hasEvent("servers 1");
    }));
    EXPECT_EQ(this->events.front(), "evacuated b");
}
