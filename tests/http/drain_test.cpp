#include "httpfixture.h"

#include <flamingosaddle/base/timer.h>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <future>
#include <thread>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using boost::asio::awaitable;

namespace
{

/** A server whose one exchange streams a piece and ends when the test says so. */
struct DrainTest : testing::Test {
    Timer *release = nullptr; // of the exchange that runs
    TestServer server{[this](HttpExchange &exchange) -> awaitable<void> {
        Timer untilReleased(co_await boost::asio::this_coro::executor, TimePoint::max());
        this->release = &untilReleased;
        Result<void> written = co_await exchange.beginStream(200, {});
        written = co_await exchange.writePiece("first");
        boost::system::error_code ignored;
        co_await untilReleased.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        written = co_await exchange.endStream();
    }};
    RawClient client{server.endpoint()};

    /** Waits until the server has @p count connections. */
    void waitForConnections(std::size_t count)
    {
        while (this->server.server->connectionCount() != count) {
            std::this_thread::yield();
        }
    }

    void beginStream()
    {
        this->client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        this->client.readUntil("first");
    }

    std::string endStreamAndAskAgain()
    {
        boost::asio::post(this->server.thread.context, [this] {
            this->release->cancel();
        });
        this->client.readUntil("0\r\n\r\n");
        this->client.send("GET /second HTTP/1.1\r\nHost: x\r\n\r\n");
        return this->client.readUntil("first");
    }
};

} // namespace

TEST_F(DrainTest, TakesNoRequestOnAKeptConnectionOnceTheNoticeIsOver)
{
    this->beginStream();
    const PausedClock paused;
    this->server.server->announceDrain();
    RuntimeClock::advance(std::chrono::seconds(3));
    this->server.server->drain();
    EXPECT_EQ(this->endStreamAndAskAgain(), "");
}

// Guards against the end of a process that has accepted a connection and not yet counted it.
TEST_F(DrainTest, HasNotEndedBeforeTheLastConnectionIsTakenIn)
{
    this->waitForConnections(1);
    this->client.close();
    this->waitForConnections(0);
    std::promise<void> isBusy;
    std::promise<void> begun;
    boost::asio::post(this->server.thread.context, [&begun, busy = isBusy.get_future().share()]() {
        begun.set_value();
        busy.wait();
    });
    begun.get_future().wait();
    RawClient last(this->server.endpoint());
    last.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    this->server.server->drain();
    EXPECT_EQ(this->server.server->connectionCount(), 0U);
    EXPECT_FALSE(this->server.server->isDrained());
    isBusy.set_value();
    EXPECT_NE(last.readUntil("first").find("200"), std::string::npos);
    EXPECT_FALSE(this->server.server->isDrained());
    boost::asio::post(this->server.thread.context, [this] {
        this->release->cancel();
    });
    last.readAll();
    while (!this->server.server->isDrained()) {
        std::this_thread::yield();
    }
}

TEST_F(DrainTest, TakesOneMoreRequestOfACallerThatWasNotToldOfTheDrain)
{
    this->beginStream();
    const PausedClock paused;
    this->server.server->drain();
    const std::string answer = this->endStreamAndAskAgain();
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    boost::asio::post(this->server.thread.context, [this] {
        this->release->cancel();
    });
    this->client.readAll();
}
