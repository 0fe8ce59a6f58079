#include "httpfixture.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

// Guards against callers that make a server hold what they send: stopped bodies, bodies that no route takes, answers that nobody
// reads, connections that never send. RuntimeClock stands still, so that nothing here depends on the speed of the machine.

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using boost::asio::awaitable;

namespace
{

constexpr std::size_t kilobyte = 1024;

std::string head(const std::string &target, std::size_t length)
{
    return "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string statusOf(const std::string &answer)
{
    return answer.substr(0, answer.find('\r'));
}

class ServerMemory : public testing::Test
{
protected:
    ServerMemory()
    {
        RuntimeClock::pause();
        MemoryLimits limits;
        limits.budgetBytes = 1024 * kilobyte;
        limits.reserveBytes = 256 * kilobyte;
        limits.connectionBytes = 0;
        limits.smallHolderBytes = 128 * kilobyte;
        this->guard = std::make_shared<MemoryGuard>(
            limits, this->thread.context, [this](MemoryOwner, const std::string &, std::size_t, MemoryRefusal) {
                ++this->refusals;
            });
    }

    ~ServerMemory() override
    {
        this->server.reset();
        RuntimeClock::resume();
    }

    void start(HttpServerLimits limits = {})
    {
        HttpServer::Builder builder;
        builder.listenOn({ownLoopbackAddress(), 0}).limits(limits).contexts({&this->thread.context});
        builder.handler([this](HttpExchange &exchange) -> awaitable<void> {
            ++this->handled;
            HttpResponse response;
            response.body = exchange.request().target + " " + std::to_string(exchange.request().body.size());
            const Result<void> ignored = co_await exchange.respond(std::move(response));
            static_cast<void>(ignored);
        });
        builder.headCheck([](const HttpRequest &request) {
            HeadDecision decision;
            if (request.target == "/nowhere") {
                decision.refusal = HttpResponse{404, {}, "no route"};
            }
            decision.clientAccount = "bakery";
            return decision;
        });
        builder.memory(this->guard, MemoryOwner::Callers).onConnectionClosed([this] {
            ++this->displaced;
        });
        auto started = builder.start();
        ASSERT_TRUE(started.has_value());
        this->server = std::move(started).value();
    }

    void awaitCondition(const std::function<bool()> &condition)
    {
        while (!condition()) {
            std::this_thread::yield();
        }
    }

    ContextThread thread;
    std::shared_ptr<MemoryGuard> guard;
    std::unique_ptr<HttpServer> server;
    std::atomic<int> refusals{0};
    std::atomic<int> displaced{0};
    std::atomic<std::size_t> handled{0};
};

} // namespace

TEST_F(ServerMemory, StoppedBodiesPauseOthersAndAreThenRefusedAsNotRun)
{
    this->start();
    constexpr std::size_t large = 700 * kilobyte;
    RawClient stopped(this->server->localEndpoint());
    stopped.send(head("/a", large) + std::string(large - 1, 'x'));
    this->awaitCondition([this] {
        return this->guard->heldBytes() > 600 * kilobyte;
    });
    RawClient second(this->server->localEndpoint());
    std::thread sender([&second] {
        second.send(head("/b", large) + std::string(large, 'x'));
    });
    this->awaitCondition([this] {
        return this->guard->pausedCount() == 1;
    });
    RawClient ordinary(this->server->localEndpoint());
    ordinary.send(head("/c", 20 * kilobyte) + std::string(20 * kilobyte, 'x'));
    EXPECT_TRUE(ordinary.readUntil("/c 20480").ends_with("/c 20480"));
    EXPECT_EQ(this->refusals, 0);
    RuntimeClock::advance(std::chrono::milliseconds(600));
    this->awaitCondition([this] {
        return this->refusals > 0;
    });
    EXPECT_EQ(statusOf(stopped.readUntil("}}")), "HTTP/1.1 408 Request Timeout");
    EXPECT_TRUE(second.readUntil("/b 716800").ends_with("/b 716800"));
    sender.join();
    EXPECT_EQ(this->refusals, 1);
}

TEST_F(ServerMemory, MemoryIsFreeAfterTheRequests)
{
    this->start();
    RawClient client(this->server->localEndpoint());
    for (int round = 0; round < 3; ++round) {
        client.send(head("/a", 300 * kilobyte) + std::string(300 * kilobyte, 'x'));
        EXPECT_TRUE(client.readUntil("/a 307200").ends_with("/a 307200"));
        this->awaitCondition([this] {
            return this->guard->heldBytes() == 0;
        });
    }
}

TEST_F(ServerMemory, TheHeadDecidesWithoutTheBody)
{
    this->start();
    RawClient client(this->server->localEndpoint());
    client.send(head("/nowhere", 100 * kilobyte));
    EXPECT_EQ(statusOf(client.readUntil("no route")), "HTTP/1.1 404 Not Found");
}

TEST_F(ServerMemory, FieldsCountBeforeTheyAreParsed)
{
    this->start();
    std::string request = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n";
    while (request.size() < 15 * kilobyte) {
        request += "a:\r\n";
    }
    RawClient client(this->server->localEndpoint());
    client.send(request + "\r\n123456789");
    this->awaitCondition([this] {
        return this->guard->heldBytes() > 900 * kilobyte;
    });
    client.send("0");
    EXPECT_TRUE(client.readUntil("/a 10").ends_with("/a 10"));
}

TEST_F(ServerMemory, TheConnectionThatWaitsLongestYieldsToANewOne)
{
    HttpServerLimits limits;
    limits.maxConnections = 2;
    this->start(limits);
    RawClient first(this->server->localEndpoint());
    first.send("POST");
    RawClient second(this->server->localEndpoint());
    second.send(head("/a", 1) + "x");
    EXPECT_TRUE(second.readUntil("/a 1").ends_with("/a 1"));
    RuntimeClock::advance(std::chrono::milliseconds(1));
    RawClient third(this->server->localEndpoint());
    third.send(head("/b", 1) + "x");
    EXPECT_TRUE(third.readUntil("/b 1").ends_with("/b 1"));
    EXPECT_EQ(this->displaced, 1);
    EXPECT_EQ(first.readAll(), "");
}

TEST_F(ServerMemory, LimitsCanChangeWhileTheServerRuns)
{
    this->start();
    CallerLimits limits;
    limits.maxHeaderBytes = 2000;
    limits.maxBodyBytes = 1000;
    limits.headerTimeout = std::chrono::seconds(3);
    this->server->setCallerLimits(limits);
    RawClient inside(this->server->localEndpoint());
    inside.send(head("/a", 1000) + std::string(1000, 'x'));
    EXPECT_TRUE(inside.readUntil("/a 1000").ends_with("/a 1000"));
    RawClient body(this->server->localEndpoint());
    body.send(head("/a", 1001));
    EXPECT_EQ(statusOf(body.readUntil("}}")), "HTTP/1.1 413 Payload Too Large");
    RawClient fields(this->server->localEndpoint());
    fields.send("GET /a HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
    EXPECT_EQ(statusOf(fields.readUntil("}}")), "HTTP/1.1 431 Request Header Fields Too Large");
    RawClient slow(this->server->localEndpoint());
    slow.send("GET /a");
    this->awaitCondition([this, &slow] {
        this->thread.settle();
        RuntimeClock::advance(std::chrono::milliseconds(100));
        return slow.hasInput();
    });
    EXPECT_EQ(statusOf(slow.readUntil("}}")), "HTTP/1.1 408 Request Timeout");
}

// Each request that was sent ahead used to take in another read, so that all of them were kept as long as nobody read the
// answers.
TEST_F(ServerMemory, RequestsAheadAreReadOnlyAsTheyAreHandled)
{
    this->start();
    RawClient client(this->server->localEndpoint());
    std::atomic<bool> hasSent{false};
    std::thread sender([&client, &hasSent] {
        std::string requests;
        constexpr unsigned count = 200'000;
        for (unsigned i = 0; i < count; ++i) {
            requests += head("/a", 1) + "x";
        }
        client.send(requests);
        hasSent = true;
    });
    // The client reads nothing: the server stops when the answers fill the sockets, with one read of requests left at most.
    std::size_t before = 0;
    unsigned steady = 0;
    constexpr unsigned steadyRounds = 200;
    while (steady < steadyRounds) {
        this->thread.settle();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        const std::size_t now = this->handled;
        steady = now == before ? steady + 1 : 0;
        before = now;
    }
    EXPECT_FALSE(hasSent);
    EXPECT_LE(this->guard->heldBytes(), 64 * kilobyte) << "of 13 MB that the client would send";
    this->server->stop();
    sender.join();
}

// The operator raises the limit of bodies while a caller keeps a connection: the limit holds for its next request.
TEST_F(ServerMemory, LimitsThatWereRaisedHoldOnAnIdleConnection)
{
    HttpServerLimits limits;
    limits.maxBodyBytes = kilobyte;
    this->start(limits);
    RawClient client(this->server->localEndpoint());
    client.send(head("/a", 100) + std::string(100, 'x'));
    EXPECT_TRUE(client.readUntil("/a 100").ends_with("/a 100"));
    this->awaitCondition([this] {
        return this->guard->heldBytes() == 0;
    });
    CallerLimits raised;
    raised.maxBodyBytes = 64 * kilobyte;
    this->server->setCallerLimits(raised);
    client.send(head("/b", 20 * kilobyte) + std::string(20 * kilobyte, 'x'));
    EXPECT_TRUE(client.readUntil("/b 20480").ends_with("/b 20480"));
}
