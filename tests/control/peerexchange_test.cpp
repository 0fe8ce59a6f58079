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
    platform.registerInstance = [](const Incarnation &, const Endpoint &) -> Platform::AsyncResult<std::vector<InstanceEntry>> {
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
        boost::asio::co_spawn(context, this->exchange.runHeartbeats(), boost::asio::detached);
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
        hooks.hasFreshConfig = [] {
            return true;
        };
        hooks.isLeader = [] {
            return false;
        };
        hooks.onLeaderHeartbeat = [] {};
        hooks.onLeaderLoss = [] {};
        hooks.configSnapshot = [] {
            return std::string();
        };
        hooks.tombstones = [] {
            return std::vector<KeyId>();
        };
        hooks.fillTrafficState = [this](HeartbeatMessage &message) {
            message.waitingTiers = this->waiting;
            message.rateLimits = this->limits;
            message.rejectionLimits = this->rejectionLimits;
        };
        hooks.onConfigSnapshot = [](const std::string &) {};
        hooks.onTombstone = [](const KeyId &) {};
        hooks.onLoads = [](const std::vector<ServerLoad> &) {};
        hooks.onWaitingTiers = [this](const std::vector<WaitingTier> &tiers) {
            this->reported = tiers;
        };
        hooks.onServedTokens = [](const std::vector<ServedTokens> &) {};
        hooks.onPrefills = [](const std::vector<PromptPrefill> &) {};
        hooks.onDemands = [](const std::vector<ServiceDemand> &) {};
        hooks.deathCounts = [this] {
            return this->deaths;
        };
        hooks.onQuarantines = [this](const QuarantinesMessage &message) {
            this->reportedDeaths = message;
        };
        hooks.onServingCount = [](std::size_t) {};
        hooks.onRejectionLimits = [this](const std::vector<RejectionLimitReport> &reports) {
            this->reportedRejectionLimits = reports;
        };
        hooks.onRateLimits = [this](const std::vector<RateLimitReport> &reports) {
            this->reportedLimits = reports;
        };
        hooks.onSharingInstances = [this](const std::vector<InstanceId> &instances) {
            this->sharingInstances = instances;
        };
        hooks.progress = [] {
            return StoreProgress();
        };
        hooks.onRelayProgress = [](const Endpoint &, bool, const StoreProgress &, TimePoint) {};
        hooks.serversSince = [](std::uint64_t) {
            return ServersMessage();
        };
        hooks.onServers = [](const ServersMessage &) {};
        hooks.onCounts = [](const std::string &, const std::function<void()> &) {};
        hooks.onCountsAcknowledged = [](std::uint64_t) {};
        return hooks;
    }

    Platform platform = platformWithoutInstances();
    std::vector<WaitingTier> waiting;
    std::vector<WaitingTier> reported;
    std::vector<RateLimitReport> limits;
    std::vector<RateLimitReport> reportedLimits;
    std::vector<RejectionLimitReport> rejectionLimits;
    std::vector<RejectionLimitReport> reportedRejectionLimits;
    std::vector<InstanceId> sharingInstances;
    QuarantinesMessage deaths;
    QuarantinesMessage reportedDeaths;
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

TEST(PeerExchange, PassesOnRateLimitsAndTheInstancesThatShareThem)
{
    boost::asio::io_context context;
    ExchangingInstance one(context, "one", {});
    ExchangingInstance two(context, "two", {one.exchange.localEndpoint()});
    const std::vector<RateLimitReport> limits{
        {BackendServerId("s"), 2500, std::chrono::milliseconds(40)}, {BackendServerId("t"), std::nullopt, {}}};
    two.limits = limits;
    const std::vector<RejectionLimitReport> rejectionLimits{
        {{ModelName(), ServiceName("bookings")}, 3, std::chrono::milliseconds(9)}};
    two.rejectionLimits = rejectionLimits;
    EXPECT_TRUE(runUntil(context, [&] {
        return one.reportedLimits == limits && one.reportedRejectionLimits == rejectionLimits
            && one.sharingInstances == std::vector{InstanceId("two")};
    }));
    // A draining instance still sends requests, so it keeps its share.
    two.exchange.setState(MemberState::Draining);
    EXPECT_TRUE(runUntil(context, [&] {
        return one.exchange.membership().serving().empty();
    }));
    EXPECT_EQ(one.sharingInstances, std::vector{InstanceId("two")});
    two.exchange.stop();
    EXPECT_TRUE(runUntil(context, [&] {
        return one.sharingInstances.empty();
    })) << "it has drained";
    one.exchange.stop();
    // Lets the suspended coroutines end before the objects they use are destroyed.
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
}

TEST(PeerExchange, TellsANewlyConnectedPeerWhichRequestsKilledServers)
{
    boost::asio::io_context context;
    ExchangingInstance one(context, "one", {});
    one.deaths.deathCounts = {{7, 2, std::chrono::minutes(30)}};
    ExchangingInstance two(context, "two", {one.exchange.localEndpoint()});
    EXPECT_TRUE(runUntil(context, [&] {
        return two.reportedDeaths == one.deaths;
    }));
    EXPECT_EQ(one.reportedDeaths, QuarantinesMessage()) << "nothing to tell";
    two.exchange.stop();
    one.exchange.stop();
    // Lets the suspended coroutines end before the objects they use are destroyed.
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
}
