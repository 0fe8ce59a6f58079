// A planned stop of a daemon under load. Guards against requests that end without an answer.

#include "cluster.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>

using namespace flamingosaddle;
using namespace flamingosaddle::process;

namespace
{

constexpr std::size_t slots = 8; // of the engine
constexpr std::size_t requestCount = 12;

/** One daemon before an engine that reads requests and does not answer. */
class Drain : public testing::Test
{
protected:
    void SetUp() override
    {
        this->cluster.addEngine("engine-a", "dc-a");
        this->cluster.addService("bookings-a", "dc-a");
        this->cluster.addDaemon("dc-a", "i1", {"--drain-notice", "200", "--drain-timeout", "2000"});
        this->cluster.publishStandardConfiguration();
        this->key = this->cluster.giveKey("bakery");
        this->cluster.waitUntilServing(this->key);
        this->cluster.backend("engine-a").standin.setFaults({{"silent", true}});
    }

    DaemonProcess &daemon()
    {
        return this->cluster.daemons().front();
    }

    /** Sends requests and waits until they run or wait for a slot. */
    void sendRequests()
    {
        const HttpRequest request = withKey(chatRequest("text", 4, true), this->key.key);
        for (std::size_t i = 0; i < requestCount; ++i) {
            this->answers.push_back(std::async(std::launch::async, [this, request]() {
                return call(this->daemon().caller, request, std::chrono::seconds(20));
            }));
        }
        ASSERT_TRUE(waitUntil([this]() {
            const Json status = jsonOf(call(this->daemon().admin, getRequest("/v1/status")));
            return status.at("waiting") == requestCount - slots;
        })) << this->daemon().process.output();
    }

    /** Waits for all answers; counts those with that status and run state. */
    std::size_t countAnswers(int status, const std::string &runState)
    {
        std::size_t count = 0;
        for (std::future<Result<HttpResponse>> &pending : this->answers) {
            const Result<HttpResponse> answer = pending.get();
            const bool isCounted = answer.has_value() && answer.value().status == status
                && answer.value().headers.find("X-Flamingosaddle-Run-State") == runState;
            count += isCounted ? 1 : 0;
        }
        return count;
    }

    Cluster cluster;
    GivenKey key;
    std::vector<std::future<Result<HttpResponse>>> answers;
};

} // namespace

TEST_F(Drain, RequestsThatWaitAreRefusedBeforeTheEnd)
{
    this->sendRequests();
    this->daemon().process.signal(SIGTERM);
    EXPECT_EQ(this->countAnswers(503, "not-run"), requestCount - slots) << this->daemon().process.output();
    EXPECT_EQ(this->daemon().process.waitForEnd(std::chrono::seconds(20)), 0);
}

// Guards against a drain that a repeated signal cuts short.
TEST_F(Drain, ARepeatedSignalDoesNotEndTheDrain)
{
    this->sendRequests();
    for (unsigned signals = 0; signals < 3; ++signals) {
        this->daemon().process.signal(SIGTERM);
        ASSERT_TRUE(waitUntil([this]() {
            return this->daemon().process.output().find("draining") != std::string::npos;
        }));
    }
    EXPECT_EQ(this->countAnswers(503, "not-run"), requestCount - slots) << this->daemon().process.output();
    EXPECT_EQ(this->daemon().process.waitForEnd(std::chrono::seconds(20)), 0);
}

// Guards against a signal that ends the process while it ends by itself.
TEST_F(Drain, SignalsDoNotChangeTheEndOfTheProcess)
{
    this->daemon().process.signal(SIGTERM);
    std::optional<int> status;
    while (!status.has_value()) {
        this->daemon().process.signal(SIGHUP);
        status = this->daemon().process.waitForEnd(std::chrono::milliseconds(0));
    }
    EXPECT_EQ(status, 0) << this->daemon().process.output();
}

// Guards against a caller that learns from a closed connection only that its request may have run.
TEST_F(Drain, RequestsThatRunAreAnsweredAtTheEnd)
{
    this->sendRequests();
    this->daemon().process.signal(SIGTERM);
    EXPECT_EQ(this->countAnswers(504, "unknown"), slots) << this->daemon().process.output();
    EXPECT_EQ(this->daemon().process.waitForEnd(std::chrono::seconds(20)), 0);
}

// Guards against a process that crashes at its end because requests wait for the platform, and against requests that have not run
// and whose connections are closed without an answer.
TEST(DrainDuringClaims, RequestsThatWaitForTheirClaimsAreRefusedAndTheProcessEndsInOrder)
{
    Cluster cluster;
    cluster.addEngine("engine-a", "dc-a");
    cluster.addService("bookings-a", "dc-a");
    DaemonProcess &daemon = cluster.addDaemon("dc-a", "i1", {"--drain-notice", "50", "--drain-timeout", "500"});
    cluster.publishStandardConfiguration();
    const GivenKey key = cluster.giveKey("bakery");
    cluster.waitUntilServing(key);
    cluster.platform().setFaults({{"log", {{"delayMs", 5000}}}});
    std::vector<std::future<Result<HttpResponse>>> answers;
    for (std::size_t i = 0; i < requestCount; ++i) {
        HttpRequest deposit = withKey(getRequest("/deposits/" + std::to_string(i)), key.key);
        deposit.method = "POST";
        deposit.body = "{}";
        deposit.headers.set("Idempotency-Key", std::to_string(i));
        answers.push_back(std::async(std::launch::async, [&daemon, deposit]() {
            return call(daemon.caller, deposit, std::chrono::seconds(20));
        }));
    }
    ASSERT_TRUE(waitUntil([&daemon]() {
        return jsonOf(call(daemon.admin, getRequest("/v1/status"))).at("activeExchanges") == requestCount;
    })) << daemon.process.output();
    daemon.process.signal(SIGTERM);
    EXPECT_EQ(daemon.process.waitForEnd(std::chrono::seconds(20)), 0) << daemon.process.output();
    for (std::future<Result<HttpResponse>> &pending : answers) {
        const Result<HttpResponse> answer = pending.get();
        ASSERT_TRUE(answer.has_value()) << answer.error().text();
        EXPECT_EQ(answer.value().status, 503);
        EXPECT_EQ(answer.value().headers.find("X-Flamingosaddle-Run-State"), "not-run");
    }
}
