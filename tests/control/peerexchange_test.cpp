#include "rununtil.h"

#include <flamingosaddle/control/peerexchange.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

using namespace flamingosaddle;

namespace
{

Platform platformWithoutInstances()
{
    Platform platform;
    platform.instances = [](const Incarnation &, const Endpoint &) -> Platform::Answer<std::vector<InstanceEntry>> {
        co_return std::vector<InstanceEntry>();
    };
    return platform;
}

/** An instance with configurable waiting tiers that stores the tiers reported by its peers. */
struct ExchangingInstance {
    ExchangingInstance(boost::asio::io_context &context, const std::string &name, std::vector<Endpoint> seeds)
        : exchange(context, this->platform, optionsOf(name, std::move(seeds)), this->hooks())
    {
        EXPECT_TRUE(this->exchange.listen(Endpoint{"127.0.0.1", 0}).has_value());
        this->exchange.setState(MemberState::Serving);
        boost::asio::co_spawn(context, this->exchange.runTicks(), boost::asio::detached);
    }

    static PeerExchangeOptions optionsOf(const std::string &name, std::vector<Endpoint> seeds)
    {
        PeerExchangeOptions options;
        options.self = Incarnation{InstanceId(name), 1};
        options.seeds = std::move(seeds);
        options.timing.heartbeatInterval = std::chrono::milliseconds(20);
        return options;
    }

    PeerExchangeHooks hooks()
    {
        PeerExchangeHooks hooks;
        hooks.configOffset = [] {
            return 0;
        };
        hooks.readsLog = [] {
            return true;
        };
        hooks.leads = [] {
            return false;
        };
        hooks.onLeader = [] {};
        hooks.configSnapshot = [] {
            return std::string();
        };
        hooks.tombstones = [] {
            return std::vector<KeyId>();
        };
        hooks.describeTraffic = [this](HeartbeatMessage &message) {
            message.waiting = this->waiting;
        };
        hooks.onConfigSnapshot = [](const std::string &) {};
        hooks.onTombstone = [](const KeyId &) {};
        hooks.onLoads = [](const std::vector<ServerLoad> &) {};
        hooks.onWaiting = [this](const std::vector<WaitingTier> &tiers) {
            this->reported = tiers;
        };
        hooks.onServices = [](const std::vector<ServiceCount> &) {};
        hooks.onReads = [](const std::vector<PromptRead> &) {};
        hooks.onDemands = [](const std::vector<ServiceDemand> &) {};
        hooks.onQuarantines = [](const QuarantinesMessage &) {};
        hooks.onServingCount = [](std::size_t) {};
        hooks.progress = [] {
            return StoreProgress();
        };
        hooks.onProgress = [](const Endpoint &, bool, const StoreProgress &, TimePoint) {};
        hooks.serversSince = [](std::uint64_t) {
            return ServersMessage();
        };
        hooks.onServers = [](const ServersMessage &) {};
        hooks.onCounts = [](const std::string &, const std::function<void()> &) {};
        hooks.onCountsTaken = [](std::uint64_t) {};
        return hooks;
    }

    Platform platform = platformWithoutInstances();
    std::vector<WaitingTier> waiting;
    std::vector<WaitingTier> reported;
    PeerExchange exchange;
};

const WaitingTier urgent{ModelName("m"), ServiceName(), 1};
const WaitingTier patient{ModelName("m"), ServiceName(), 3};

} // namespace

TEST(PeerExchange, ReportsTheMostUrgentTierThatWaitsAtAPeer)
{
    boost::asio::io_context context;
    ExchangingInstance one(context, "one", {});
    ExchangingInstance two(context, "two", {one.exchange.localEndpoint()});
    ExchangingInstance three(context, "three", {one.exchange.localEndpoint()});
    two.waiting = {patient};
    EXPECT_TRUE(runUntil(context, [&] {
        return one.reported == std::vector{patient};
    }));
    three.waiting = {urgent};
    EXPECT_TRUE(runUntil(context, [&] {
        return one.reported == std::vector{urgent};
    }));
    three.exchange.stop();
    EXPECT_TRUE(runUntil(context, [&] {
        return one.reported == std::vector{patient};
    }));
    two.waiting.clear();
    EXPECT_TRUE(runUntil(context, [&] {
        return one.reported.empty();
    }));
    two.exchange.stop();
    one.exchange.stop();
    // Lets the suspended coroutines end before the objects they use are destroyed.
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
}

TEST(PeerExchange, InstancesWithACommonSeedDiscoverEachOther)
{
    boost::asio::io_context context;
    ExchangingInstance one(context, "one", {});
    ExchangingInstance two(context, "two", {one.exchange.localEndpoint()});
    ExchangingInstance three(context, "three", {one.exchange.localEndpoint()});
    const auto knowsTwoOthers = [](const ExchangingInstance &instance) {
        return instance.exchange.membership().serving().size() == 2;
    };
    EXPECT_TRUE(runUntil(context, [&] {
        return knowsTwoOthers(one) && knowsTwoOthers(two) && knowsTwoOthers(three);
    }));
    for (ExchangingInstance *instance : {&one, &two, &three}) {
        instance->exchange.stop();
    }
    // Lets the suspended coroutines end before the objects they use are destroyed.
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
}
