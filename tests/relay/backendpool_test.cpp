#include "httpfixture.h"

#include <flamingosaddle/relay/backendpool.h>

#include <flamingosaddle/base/timer.h>

#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <optional>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using boost::asio::awaitable;

namespace
{

/** A pool and a server that counts its requests and responds, waits or closes the connection as the test sets. */
struct BackendPoolTest : testing::Test {
    std::atomic<int> requests = 0;
    std::atomic<int> rejectedRequest = 0; ///< number of the request that gets a proof that it did not run
    std::atomic<bool> withholdsResponses = false; ///< whether requests get no response
    std::function<bool(int number)> closesConnection = [](int) {
        return false;
    };
    TestServer server{[this](HttpExchange &exchange) -> awaitable<void> {
        const int number = ++this->requests;
        if (this->closesConnection(number)) {
            exchange.abortHandle()();
            co_return;
        }
        if (this->withholdsResponses) {
            Timer disconnected(co_await boost::asio::this_coro::executor, TimePoint::max());
            exchange.onGone([&disconnected]() {
                disconnected.cancel();
            });
            boost::system::error_code ignored;
            co_await disconnected.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            co_return;
        }
        HttpResponse response = jsonResponse(200, std::to_string(number));
        if (number == this->rejectedRequest) {
            response.headers.add("Not-Executed", "1");
        }
        const Result<void> written = co_await exchange.respond(std::move(response));
        EXPECT_TRUE(written.has_value());
    }};
    ContextThread thread;
    DisconnectSignal caller;
    BackendPool pool{BackendPoolOptions()};

    const Endpoint endpoint = server.endpoint();

    BackendPool::CallParameters order(bool idempotent) const
    {
        BackendPool::CallParameters order;
        order.endpoint = this->endpoint;
        order.idempotent = idempotent;
        return order;
    }

    /** Sends a request; returns the failure, or nothing when a response was received. */
    std::optional<BackendFailure> call(bool idempotent, bool readBody = true)
    {
        return this->thread.await(this->callAndRead(this->order(idempotent), readBody));
    }

    awaitable<std::optional<BackendFailure>> callAndRead(BackendPool::CallParameters order, bool readBody)
    {
        const auto step = [](RequestStep) {};
        BackendPool::CallResult result = co_await this->pool.call(order, this->caller, step);
        if (const BackendFailure *failure = std::get_if<BackendFailure>(&result)) {
            co_return *failure;
        }
        BackendCall &call = std::get<BackendCall>(result);
        std::string piece;
        bool more = readBody;
        while (more) {
            const Result<bool> read = co_await call.readBody(piece, std::chrono::seconds(5));
            EXPECT_TRUE(read.has_value());
            more = read.has_value() && read.value();
        }
        if (readBody) {
            call.releaseConnection();
        }
        co_return std::nullopt;
    }
};

} // namespace

TEST_F(BackendPoolTest, ReusesAConnectionOnlyAfterTheCompleteResponseWasRead)
{
    EXPECT_EQ(this->call(true), std::nullopt);
    EXPECT_EQ(this->pool.idleConnectionCount(), 1U);
    EXPECT_EQ(this->call(true, false), std::nullopt);
    EXPECT_EQ(this->pool.idleConnectionCount(), 0U);
}

TEST_F(BackendPoolTest, ClosesIdleConnectionsAfterTheTimeout)
{
    const PausedClock paused;
    EXPECT_EQ(this->call(true), std::nullopt);
    RuntimeClock::advance(BackendPoolOptions().idleTimeout);
    this->pool.closeExpired();
    EXPECT_EQ(this->pool.idleConnectionCount(), 0U);
}

TEST_F(BackendPoolTest, AnIdempotentRequestIsSentAgainOnANewConnection)
{
    EXPECT_EQ(this->call(true), std::nullopt);
    this->closesConnection = [](int number) {
        return number == 2;
    };
    EXPECT_EQ(this->call(true), std::nullopt);
    EXPECT_EQ(this->requests, 3);
}

// Guards against servers that close connections after they have read a request, and get each request twice.
TEST_F(BackendPoolTest, ASecondSendingIsTakenFromTheLimitOnResends)
{
    EXPECT_EQ(this->call(true), std::nullopt);
    this->closesConnection = [](int number) {
        return number == 2;
    };
    unsigned asked = 0;
    BackendPool::CallParameters order = this->order(true);
    order.tryResend = [&asked]() {
        ++asked;
        return false;
    };
    const std::optional<BackendFailure> failure = this->thread.await(this->callAndRead(order, true));
    ASSERT_TRUE(failure.has_value());
    EXPECT_TRUE(failure->anyByteSent);
    EXPECT_EQ(failure->end, AttemptOutcome::ServerError);
    EXPECT_EQ(asked, 1U);
    EXPECT_EQ(this->requests, 2) << "the first request, and the second one sent once";
}

// The first sending may have run although the second one provably did not.
TEST_F(BackendPoolTest, ARequestThatWasSentBeforeMayHaveRunWhateverBecomesOfItsSecondSending)
{
    EXPECT_EQ(this->call(true), std::nullopt);
    this->closesConnection = [](int number) {
        return number == 2;
    };
    this->rejectedRequest = 3;
    BackendPool::CallParameters order = this->order(true);
    order.checkResponse = [](const HttpRequest &, const HttpResponseHead &head) {
        return head.headers.has("Not-Executed") ? ResponseCheck::NotExecuted : ResponseCheck::Valid;
    };
    const std::optional<BackendFailure> failure = this->thread.await(this->callAndRead(order, true));
    EXPECT_EQ(this->requests, 3);
    ASSERT_TRUE(failure.has_value());
    EXPECT_TRUE(failure->anyByteSent);
    EXPECT_EQ(failure->end, AttemptOutcome::ServerError);
}

// A faulty server may write an earlier rejection once more on a kept connection.
TEST_F(BackendPoolTest, ARejectionWithoutAnIdProvesNothingOnAKeptConnection)
{
    BackendPool::CallParameters order = this->order(false);
    order.checkResponse = [](const HttpRequest &, const HttpResponseHead &head) {
        return head.headers.has("Not-Executed") ? ResponseCheck::UnidentifiedRejection : ResponseCheck::Valid;
    };
    this->rejectedRequest = 1;
    const std::optional<BackendFailure> first = this->thread.await(this->callAndRead(order, true));
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(first->end, AttemptOutcome::Rejected) << "nothing else was sent on the connection";
    this->call(false);
    this->rejectedRequest = 3;
    const std::optional<BackendFailure> second = this->thread.await(this->callAndRead(order, true));
    ASSERT_TRUE(second.has_value());
    EXPECT_TRUE(second->anyByteSent);
    EXPECT_EQ(second->end, AttemptOutcome::ServerError);
}

TEST_F(BackendPoolTest, ARequestThatWasSentBeforeGetsANewConnection)
{
    this->call(false);
    EXPECT_EQ(this->pool.idleConnectionCount(), 1U);
    BackendPool::CallParameters order = this->order(false);
    this->thread.await(this->callAndRead(order, true));
    EXPECT_EQ(this->pool.idleConnectionCount(), 1U);
    order.isRepetition = true;
    this->thread.await(this->callAndRead(order, true));
    EXPECT_EQ(this->pool.idleConnectionCount(), 2U);
}

TEST_F(BackendPoolTest, ANonIdempotentRequestIsSentOnce)
{
    EXPECT_EQ(this->call(false), std::nullopt);
    this->closesConnection = [](int) {
        return true;
    };
    const std::optional<BackendFailure> onReusedConnection = this->call(false);
    ASSERT_TRUE(onReusedConnection.has_value());
    EXPECT_EQ(this->requests, 2);
    EXPECT_TRUE(onReusedConnection->anyByteSent);
    EXPECT_EQ(onReusedConnection->end, AttemptOutcome::ServerError);

    const std::optional<BackendFailure> onNewConnection = this->call(false);
    ASSERT_TRUE(onNewConnection.has_value());
    EXPECT_EQ(this->requests, 3);
    EXPECT_EQ(onNewConnection->end, AttemptOutcome::ServerFailed);
}

TEST_F(BackendPoolTest, NothingIsSentWhenTheServerCannotBeReached)
{
    this->server.server.reset();
    std::optional<BackendFailure> failure = this->call(false);
    while (failure.has_value() && failure->anyByteSent) {
        // The listening socket is closed asynchronously, on the server's thread.
        failure = this->call(false);
    }
    ASSERT_TRUE(failure.has_value());
    EXPECT_EQ(failure->end, AttemptOutcome::NotSent);
}

TEST_F(BackendPoolTest, ADisconnectedCallerClosesTheConnection)
{
    std::atomic<bool> received = false;
    TestServer silent([&received](HttpExchange &exchange) -> awaitable<void> {
        received = true;
        Timer disconnected(co_await boost::asio::this_coro::executor, TimePoint::max());
        exchange.onGone([&disconnected]() {
            disconnected.cancel();
        });
        boost::system::error_code ignored;
        co_await disconnected.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    });
    BackendPool::CallParameters order;
    order.endpoint = silent.endpoint();
    std::future<std::optional<BackendFailure>> failure = this->thread.start(this->callAndRead(order, true));
    while (!received) {
        std::this_thread::yield();
    }
    boost::asio::post(this->thread.context, [this]() {
        this->caller.setDisconnected();
    });
    EXPECT_EQ(failure.get().value().end, AttemptOutcome::CallerDisconnected);
}

namespace
{

ResponseCheck checkById(const HttpRequest &sent, const HttpResponseHead &head)
{
    if (head.headers.has("Other-Server")) {
        return ResponseCheck::Misdirected;
    }
    if (head.headers.has("Not-Executed")) {
        return ResponseCheck::NotExecuted;
    }
    return head.headers.find("Id") == sent.headers.find("Id") ? ResponseCheck::Valid : ResponseCheck::KeyReused;
}

std::string responseText(const std::string &id, const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/** Returns the body or the failure of a call to a server that responds with fixed bytes. */
std::variant<std::string, BackendFailure> callRawServer(
    const std::string &response, const std::function<void(const HttpResponseHead &, bool)> &onResponseHead = {})
{
    RawServer server(response);
    ContextThread thread;
    BackendPool pool{BackendPoolOptions()};
    DisconnectSignal caller;
    BackendPool::CallParameters order;
    order.endpoint = server.endpoint();
    order.request.headers = {{"Id", "mine"}};
    order.checkResponse = checkById;
    order.onResponseHead = onResponseHead;
    return thread.await([](BackendPool &pool, BackendPool::CallParameters order,
                            DisconnectSignal &caller) -> awaitable<std::variant<std::string, BackendFailure>> {
        const auto step = [](RequestStep) {};
        BackendPool::CallResult result = co_await pool.call(order, caller, step);
        if (const BackendFailure *failure = std::get_if<BackendFailure>(&result)) {
            co_return *failure;
        }
        std::string piece;
        const Result<bool> more = co_await std::get<BackendCall>(result).readBody(piece, std::chrono::seconds(5));
        EXPECT_TRUE(more.has_value());
        co_return piece;
    }(pool, order, caller));
}

} // namespace

TEST(BackendPool, SkipsAResponseToAnEarlierRequest)
{
    EXPECT_EQ(std::get<std::string>(callRawServer(responseText("earlier", "late") + responseText("mine", "own"))), "own");
}

TEST(BackendPool, AbandonsAConnectionWithOnlyResponsesToOtherRequests)
{
    const std::string responses
        = responseText("a", "1") + responseText("b", "2") + responseText("c", "3") + responseText("mine", "own");
    const BackendFailure failure = std::get<BackendFailure>(callRawServer(responses));
    EXPECT_TRUE(failure.anyByteSent) << "the request may have run";
    EXPECT_EQ(failure.end, AttemptOutcome::ServerError);
}

TEST(BackendPool, AResponseThatProvesNonExecutionIsARejection)
{
    const BackendFailure failure = std::get<BackendFailure>(callRawServer(responseText("mine", "full", "Not-Executed: 1\r\n")));
    EXPECT_FALSE(failure.anyByteSent);
    EXPECT_EQ(failure.end, AttemptOutcome::Rejected);
}

// What a server states in its headers holds for that server only, so a response must not be taken for one of another server or
// for one to another request.
TEST(BackendPool, ReportsOnlyTheHeadOfTheCalledServersResponseToTheRequest)
{
    std::vector<std::pair<std::string, bool>> reported;
    const auto report = [&reported](const HttpResponseHead &head, bool isRejection) {
        reported.emplace_back(head.headers.find("Limit"), isRejection);
    };
    callRawServer(responseText("earlier", "late", "Limit: 1\r\n") + responseText("mine", "own", "Limit: 2\r\n"), report);
    callRawServer(responseText("mine", "full", "Not-Executed: 1\r\nLimit: 3\r\n"), report);
    const auto misdirected = callRawServer(responseText("mine", "", "Other-Server: 1\r\nLimit: 4\r\n"), report);
    EXPECT_EQ(reported, (std::vector<std::pair<std::string, bool>>{{"2", false}, {"3", true}}));
    EXPECT_EQ(std::get<BackendFailure>(misdirected).end, AttemptOutcome::Rejected);
    EXPECT_FALSE(std::get<BackendFailure>(misdirected).anyByteSent);
}

TEST_F(BackendPoolTest, ATimedOutRequestIsNotSentAgain)
{
    EXPECT_EQ(this->call(true), std::nullopt);
    this->withholdsResponses = true;
    BackendPool::CallParameters order = this->order(true);
    order.headTimeout = std::chrono::milliseconds(50);
    const std::optional<BackendFailure> failure = this->thread.await(this->callAndRead(order, true));
    ASSERT_TRUE(failure.has_value());
    EXPECT_EQ(failure->error.kind(), ErrorKind::Timeout);
    EXPECT_EQ(this->requests, 2) << "the first request, and the second one sent once";
}

namespace
{

/** A server that answers the first request, and then dies: it stops listening before it closes the connection. */
class DyingServer
{
public:
    DyingServer()
        : acceptor(this->context, {boost::asio::ip::make_address(ownLoopbackAddress()), 0})
        , thread([this]() {
            this->run();
        })
    {
    }

    ~DyingServer()
    {
        this->thread.join();
    }

    DyingServer(const DyingServer &) = delete;
    DyingServer &operator=(const DyingServer &) = delete;

    Endpoint endpoint() const
    {
        const auto local = this->acceptor.local_endpoint();
        return {local.address().to_string(), local.port()};
    }

private:
    void run()
    {
        boost::asio::ip::tcp::socket socket = this->acceptor.accept();
        std::string received;
        const auto readRequest = [&socket, &received]() {
            boost::system::error_code error;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
            received.clear();
        };
        readRequest();
        boost::asio::write(socket, boost::asio::buffer(responseText("mine", "own")));
        readRequest();
        this->acceptor.close();
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

} // namespace

// Otherwise the quarantine would not learn of requests that crash servers on reused connections.
TEST(BackendPool, AServerThatRefusesANewConnectionIsDeadAlsoAfterAReusedOne)
{
    for (const bool idempotent : {false, true}) {
        DyingServer server;
        ContextThread thread;
        BackendPoolOptions options;
        options.confirmDeathByReconnect = true;
        BackendPool pool(options);
        DisconnectSignal caller;
        BackendPool::CallParameters order;
        order.endpoint = server.endpoint();
        order.idempotent = idempotent;
        const auto callOnce = [&]() {
            return thread.await([](BackendPool &pool, BackendPool::CallParameters order,
                                    DisconnectSignal &caller) -> awaitable<std::optional<BackendFailure>> {
                const auto step = [](RequestStep) {};
                BackendPool::CallResult result = co_await pool.call(order, caller, step);
                if (const BackendFailure *failure = std::get_if<BackendFailure>(&result)) {
                    co_return *failure;
                }
                BackendCall &call = std::get<BackendCall>(result);
                std::string piece;
                while ((co_await call.readBody(piece, std::chrono::seconds(5))).value()) {
                }
                call.releaseConnection();
                co_return std::nullopt;
            }(pool, order, caller));
        };
        EXPECT_EQ(callOnce(), std::nullopt);
        const std::optional<BackendFailure> failure = callOnce();
        ASSERT_TRUE(failure.has_value());
        EXPECT_EQ(failure->end, AttemptOutcome::ServerFailed) << (idempotent ? "idempotent" : "not idempotent");
        EXPECT_TRUE(failure->anyByteSent);
    }
}
