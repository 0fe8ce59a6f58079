#include "httpfixture.h"

#include <flamingosaddle/relay/asyncdispatcher.h>

#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <atomic>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using boost::asio::awaitable;

namespace
{

RequestProfile makeProfile(int tier)
{
    RequestProfile profile;
    profile.clientAccount = ClientAccountId("account");
    profile.requestClass.tier = tier;
    profile.requestClass.firstTokenTarget = std::chrono::hours(1);
    profile.requestClass.deadline = std::chrono::hours(2);
    profile.model = ModelName("m");
    profile.fingerprint = 7;
    profile.arrival = RuntimeClock::now();
    return profile;
}

std::vector<BackendServer> makeServers(int count)
{
    std::vector<BackendServer> list;
    for (int i = 0; i < count; ++i) {
        BackendServer server;
        server.id = BackendServerId("s" + std::to_string(i));
        server.dataCentre = DataCentre("a");
        server.models = {ModelName("m")};
        server.slots = 1;
        list.push_back(server);
    }
    return list;
}

/** A dispatcher that is shared by two threads. */
struct AsyncDispatcherTest : testing::Test {
    ContextThread first;
    ContextThread second;
    DisconnectSignal firstCaller;
    DisconnectSignal secondCaller;
    std::atomic<int> serverFailures = 0;
    AsyncDispatcher dispatcher{Dispatcher(DispatcherOptions()), first.context.get_executor(),
        {[this](const ServerDeath &death) {
             EXPECT_EQ(death.fingerprint, 7U);
             ++this->serverFailures;
         },
            {}, {}, {}, {}}};

    ServerGrant acquireOnFirst()
    {
        AsyncDispatcher::AcquireResult acquired = this->first.await(this->dispatcher.acquire(makeProfile(0), this->firstCaller));
        return std::get<ServerGrant>(std::move(acquired));
    }

    void waitForWaitingCount(std::size_t count)
    {
        while (this->dispatcher.waitingCount() != count) {
            std::this_thread::yield();
        }
    }
};

} // namespace

TEST_F(AsyncDispatcherTest, AWaitingRequestIsResumedOnItsOwnExecutorWhenAServerBecomesFree)
{
    this->dispatcher.setServers(makeServers(1));
    ServerGrant grant = this->acquireOnFirst();
    std::future<std::thread::id> resumedOn = this->second.start([](AsyncDispatcherTest &test) -> awaitable<std::thread::id> {
        const AsyncDispatcher::AcquireResult acquired = co_await test.dispatcher.acquire(makeProfile(0), test.secondCaller);
        EXPECT_TRUE(std::holds_alternative<ServerGrant>(acquired));
        co_return std::this_thread::get_id();
    }(*this));
    this->waitForWaitingCount(1);
    grant.finish(AttemptOutcome::Completed);
    const std::thread::id secondThread = this->second.await([]() -> awaitable<std::thread::id> {
        co_return std::this_thread::get_id();
    }());
    EXPECT_EQ(resumedOn.get(), secondThread);
}

TEST_F(AsyncDispatcherTest, DestroyingAnUnfinishedGrantReleasesItsServer)
{
    this->dispatcher.setServers(makeServers(1));
    {
        const ServerGrant grant = this->acquireOnFirst();
        EXPECT_EQ(this->dispatcher.runningCount(), 1U);
    }
    EXPECT_EQ(this->dispatcher.runningCount(), 0U);
    EXPECT_EQ(this->serverFailures, 0);
}

TEST_F(AsyncDispatcherTest, AWaitingRequestIsCancelledWhenItsCallerDisconnects)
{
    this->dispatcher.setServers(makeServers(1));
    const ServerGrant grant = this->acquireOnFirst();
    std::future<AsyncDispatcher::AcquireResult> acquired
        = this->second.start(this->dispatcher.acquire(makeProfile(0), this->secondCaller));
    this->waitForWaitingCount(1);
    boost::asio::post(this->second.context, [this]() {
        this->secondCaller.setDisconnected();
    });
    EXPECT_EQ(std::get<Refusal>(acquired.get()).reason, RefusalReason::Cancelled);
    EXPECT_EQ(this->dispatcher.waitingCount(), 0U);
}

TEST_F(AsyncDispatcherTest, ARetryUsesAnotherServerAndReportsTheFailure)
{
    this->dispatcher.setServers(makeServers(2));
    ServerGrant grant = this->acquireOnFirst();
    const BackendServerId dead = grant.server();
    const std::optional<Refusal> refusal = this->first.await(grant.retry(AttemptOutcome::ServerFailed, true, this->firstCaller));
    EXPECT_FALSE(refusal.has_value());
    EXPECT_NE(grant.server(), dead);
    EXPECT_EQ(this->serverFailures, 1);
    EXPECT_EQ(this->dispatcher.runningCount(), 1U);
}

TEST_F(AsyncDispatcherTest, AWaitingRequestIsRefusedAtItsDeadline)
{
    this->dispatcher.setServers(makeServers(1));
    const ServerGrant grant = this->acquireOnFirst();
    const PausedClock paused;
    std::future<AsyncDispatcher::AcquireResult> acquired
        = this->second.start(this->dispatcher.acquire(makeProfile(0), this->secondCaller));
    this->waitForWaitingCount(1);
    RuntimeClock::advance(std::chrono::hours(3));
    const Refusal refusal = std::get<Refusal>(acquired.get());
    EXPECT_EQ(refusal.runState, RunState::NotRun);
}

TEST_F(AsyncDispatcherTest, AllRequestsOfTwoThreadsComplete)
{
    constexpr int requestsEach = 500;
    this->dispatcher.setServers(makeServers(2));
    const auto work = [](AsyncDispatcher &dispatcher, DisconnectSignal &caller) -> awaitable<int> {
        int granted = 0;
        for (int i = 0; i < requestsEach; ++i) {
            AsyncDispatcher::AcquireResult acquired = co_await dispatcher.acquire(makeProfile(0), caller);
            if (ServerGrant *grant = std::get_if<ServerGrant>(&acquired)) {
                grant->recordFirstToken();
                grant->recordTokens(3);
                grant->finish(AttemptOutcome::Completed);
                ++granted;
            }
        }
        co_return granted;
    };
    std::future<int> one = this->first.start(work(this->dispatcher, this->firstCaller));
    std::future<int> two = this->second.start(work(this->dispatcher, this->secondCaller));
    EXPECT_EQ(one.get(), requestsEach);
    EXPECT_EQ(two.get(), requestsEach);
    EXPECT_EQ(this->dispatcher.runningCount(), 0U);
}
