#include "httpfixture.h"

#include <flamingosaddle/relay/backendpool.h>

#include <flamingosaddle/base/timer.h>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <optional>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using boost::asio::awaitable;

namespace
{

/** A server that counts its requests and does with each what the test says. */
struct PoolTest : testing::Test {
    std::atomic<int> requests = 0;
    std::atomic<bool> holds = false; ///< whether requests are left without an answer
    std::function<bool(int number)> breaksOff = [](int) {
        return false;
    };
    TestServer server{[this](HttpExchange &exchange) -> awaitable<void> {
        const int number = ++this->requests;
        if (this->breaksOff(number)) {
            exchange.abortHandle()();
            co_return;
        }
        if (this->holds) {
            Timer gone(co_await boost::asio::this_coro::executor, TimePoint::max());
            exchange.onGone([&gone]() {
                gone.cancel();
            });
            boost::system::error_code ignored;
            co_await gone.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            co_return;
        }
        const Result<void> written = co_await exchange.respond(jsonResponse(200, std::to_string(number)));
        EXPECT_TRUE(written.has_value());
    }};
    ContextThread thread;
    CallerSignal caller;
    BackendPool pool{BackendPoolOptions()};

    const Endpoint endpoint = server.endpoint();

    BackendPool::Order order(bool idempotent) const
    {
        BackendPool::Order order;
        order.endpoint = this->endpoint;
        order.idempotent = idempotent;
        return order;
    }

    /** Nothing when the request was answered. */
    std::optional<BackendFailure> call(bool idempotent, bool readBody = true)
    {
        return this->thread.await(this->callAndRead(this->order(idempotent), readBody));
    }

    awaitable<std::optional<BackendFailure>> callAndRead(BackendPool::Order order, bool readBody)
    {
        const auto step = [](RequestStep) {};
        BackendPool::Answer answer = co_await this->pool.call(order, this->caller, step);
        if (const BackendFailure *failure = std::get_if<BackendFailure>(&answer)) {
            co_return *failure;
        }
        BackendCall &call = std::get<BackendCall>(answer);
        std::string piece;
        bool more = readBody;
        while (more) {
            const Result<bool> read = co_await call.readBody(piece, std::chrono::seconds(5));
            EXPECT_TRUE(read.has_value());
            more = read.has_value() && read.value();
        }
        if (readBody) {
            call.release();
        }
        co_return std::nullopt;
    }
};

} // namespace

TEST_F(PoolTest, ReusesAConnectionWhoseAnswerWasReadWholeAndNoOther)
{
    EXPECT_EQ(this->call(true), std::nullopt);
    EXPECT_EQ(this->pool.idleCount(), 1U);
    EXPECT_EQ(this->call(true, false), std::nullopt);
    EXPECT_EQ(this->pool.idleCount(), 0U);
}

TEST_F(PoolTest, DropsIdleConnectionsAfterTheLimit)
{
    const PausedClock paused;
    EXPECT_EQ(this->call(true), std::nullopt);
    RuntimeClock::advance(BackendPoolOptions().idleLimit);
    this->pool.dropExpired();
    EXPECT_EQ(this->pool.idleCount(), 0U);
}

TEST_F(PoolTest, AnIdempotentRequestIsSentAgainOnAFreshConnection)
{
    EXPECT_EQ(this->call(true), std::nullopt);
    this->breaksOff = [](int number) {
        return number == 2;
    };
    EXPECT_EQ(this->call(true), std::nullopt);
    EXPECT_EQ(this->requests, 3);
}

TEST_F(PoolTest, ANonIdempotentRequestIsSentOnce)
{
    EXPECT_EQ(this->call(false), std::nullopt);
    this->breaksOff = [](int) {
        return true;
    };
    const std::optional<BackendFailure> reused = this->call(false);
    ASSERT_TRUE(reused.has_value());
    EXPECT_EQ(this->requests, 2);
    EXPECT_TRUE(reused->anyByteSent);
    EXPECT_EQ(reused->end, AttemptEnd::ServerError);

    const std::optional<BackendFailure> fresh = this->call(false);
    ASSERT_TRUE(fresh.has_value());
    EXPECT_EQ(this->requests, 3);
    EXPECT_EQ(fresh->end, AttemptEnd::ServerFailed);
}

TEST_F(PoolTest, NothingIsSentWhenTheServerCannotBeReached)
{
    this->server.server.reset();
    std::optional<BackendFailure> failure = this->call(false);
    while (failure.has_value() && failure->anyByteSent) {
        // The listening socket closes on the server's thread.
        failure = this->call(false);
    }
    ASSERT_TRUE(failure.has_value());
    EXPECT_EQ(failure->end, AttemptEnd::NotSent);
}

TEST_F(PoolTest, AGoneCallerClosesTheConnection)
{
    std::atomic<bool> received = false;
    TestServer silent([&received](HttpExchange &exchange) -> awaitable<void> {
        received = true;
        Timer gone(co_await boost::asio::this_coro::executor, TimePoint::max());
        exchange.onGone([&gone]() {
            gone.cancel();
        });
        boost::system::error_code ignored;
        co_await gone.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    });
    BackendPool::Order order;
    order.endpoint = silent.endpoint();
    std::future<std::optional<BackendFailure>> failure = this->thread.start(this->callAndRead(order, true));
    while (!received) {
        std::this_thread::yield();
    }
    boost::asio::post(this->thread.context, [this]() {
        this->caller.setGone();
    });
    EXPECT_EQ(failure.get().value().end, AttemptEnd::CallerGone);
}

namespace
{

AnswerVerdict judgeById(const HttpRequest &sent, const HttpResponseHead &head)
{
    if (head.headers.has("Not-Executed")) {
        return AnswerVerdict::NotExecuted;
    }
    return head.headers.find("Id") == sent.headers.find("Id") ? AnswerVerdict::Genuine : AnswerVerdict::OtherRequest;
}

std::string answerOf(const std::string &id, const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/** What a call gets from a server that answers with fixed bytes. */
std::variant<std::string, BackendFailure> callOn(const std::string &answer)
{
    RawServer server(answer);
    ContextThread thread;
    BackendPool pool{BackendPoolOptions()};
    CallerSignal caller;
    BackendPool::Order order;
    order.endpoint = server.endpoint();
    order.request.headers = {{"Id", "mine"}};
    order.judge = judgeById;
    return thread.await([](BackendPool &pool, BackendPool::Order order,
                            CallerSignal &caller) -> awaitable<std::variant<std::string, BackendFailure>> {
        const auto step = [](RequestStep) {};
        BackendPool::Answer answer = co_await pool.call(order, caller, step);
        if (const BackendFailure *failure = std::get_if<BackendFailure>(&answer)) {
            co_return *failure;
        }
        std::string piece;
        const Result<bool> more = co_await std::get<BackendCall>(answer).readBody(piece, std::chrono::seconds(5));
        EXPECT_TRUE(more.has_value());
        co_return piece;
    }(pool, order, caller));
}

} // namespace

TEST(BackendPool, PassesOverAnAnswerToAnEarlierRequest)
{
    EXPECT_EQ(std::get<std::string>(callOn(answerOf("earlier", "late") + answerOf("mine", "own"))), "own");
}

TEST(BackendPool, GivesUpAConnectionThatOnlyAnswersOthers)
{
    const std::string foreign = answerOf("a", "1") + answerOf("b", "2") + answerOf("c", "3") + answerOf("mine", "own");
    const BackendFailure failure = std::get<BackendFailure>(callOn(foreign));
    EXPECT_TRUE(failure.anyByteSent) << "the request may have run";
    EXPECT_EQ(failure.end, AttemptEnd::ServerError);
}

TEST(BackendPool, AnAnswerThatProvesThatNothingRanIsARejection)
{
    const BackendFailure failure = std::get<BackendFailure>(callOn(answerOf("mine", "full", "Not-Executed: 1\r\n")));
    EXPECT_FALSE(failure.anyByteSent);
    EXPECT_EQ(failure.end, AttemptEnd::Rejected);
}

TEST_F(PoolTest, ARequestWhoseTimeIsOverIsNotSentAgain)
{
    EXPECT_EQ(this->call(true), std::nullopt);
    this->holds = true;
    BackendPool::Order order = this->order(true);
    order.headTimeout = std::chrono::milliseconds(50);
    const std::optional<BackendFailure> failure = this->thread.await(this->callAndRead(order, true));
    ASSERT_TRUE(failure.has_value());
    EXPECT_EQ(failure->error.kind(), ErrorKind::Timeout);
    EXPECT_EQ(this->requests, 2) << "the one before, and this one once";
}
