#include "httpfixture.h"

#include <flamingosaddle/http/client.h>

#include <flamingosaddle/base/timer.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <atomic>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using boost::asio::awaitable;

namespace
{

HttpResponse echoOf(const HttpRequest &request)
{
    return {200, HttpHeaders{{"X-Method", request.method}}, request.body};
}

awaitable<void> echo(HttpExchange &exchange)
{
    const Result<void> written = co_await exchange.respond(echoOf(exchange.request()));
    EXPECT_TRUE(written.has_value());
}

Result<HttpResponse> fetchFrom(const Endpoint &endpoint)
{
    ContextThread thread;
    return thread.await(fetch(endpoint, {"POST", "/a?b=c", {}, "body"}));
}

} // namespace

TEST(HttpClient, FetchesAnAnswer)
{
    TestServer server(echo);
    const Result<HttpResponse> response = fetchFrom(server.endpoint());
    ASSERT_TRUE(response.has_value()) << response.error().text();
    EXPECT_EQ(response.value().status, 200);
    EXPECT_EQ(response.value().body, "body");
    EXPECT_EQ(response.value().headers.find("x-method"), "POST");
}

TEST(HttpClient, ReusesAConnectionAndSeesItGoStale)
{
    auto server = std::make_unique<TestServer>(echo);
    ContextThread thread;
    thread.await([](Endpoint endpoint, std::unique_ptr<TestServer> &server) -> awaitable<void> {
        auto connected = co_await HttpConnection::connect(endpoint, std::chrono::seconds(5));
        HttpConnection &connection = *connected.value();
        std::string piece;
        for (int round = 0; round < 2; ++round) {
            const std::string body = "body " + std::to_string(round);
            HttpRequest request;
            request.method = "POST";
            request.body = body;
            const Result<void> sent = co_await connection.send(request, std::chrono::seconds(5), TimePoint::max());
            EXPECT_TRUE(sent.has_value());
            const Result<HttpResponseHead> head = co_await connection.readHead(std::chrono::seconds(5));
            EXPECT_EQ(head.value().status, 200);
            Result<bool> more = co_await connection.readBody(piece, std::chrono::seconds(5));
            EXPECT_TRUE(more.value());
            EXPECT_EQ(piece, body);
            EXPECT_FALSE(connection.isReusable());
            more = co_await connection.readBody(piece, std::chrono::seconds(5));
            EXPECT_FALSE(more.value());
            EXPECT_TRUE(connection.isReusable());
            EXPECT_FALSE(connection.isStale());
        }
        server.reset();
        EXPECT_TRUE(connection.isStale());
    }(server->endpoint(), server));
}

TEST(HttpClient, TruncatedBodiesAreLostConnections)
{
    for (const char *answer :
        {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            "HTTP/1.1 200 OK\r\n\r\nabc", "HTTP/1.1 20", ""}) {
        RawServer server(answer);
        const Result<HttpResponse> response = fetchFrom(server.endpoint());
        ASSERT_FALSE(response.has_value()) << answer;
        EXPECT_EQ(response.error().kind(), ErrorKind::ConnectionLost) << answer;
    }
}

TEST(HttpClient, InvalidAnswersAreProtocolErrors)
{
    for (const char *answer : {"SMTP ready\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
             "HTTP/1.1 000 None\r\n\r\n", "HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 101 Switching Protocols\r\n\r\n", "HTTP/1.1 1000 OK\r\n\r\n"}) {
        RawServer server(answer);
        const Result<HttpResponse> response = fetchFrom(server.endpoint());
        ASSERT_FALSE(response.has_value()) << answer;
        EXPECT_EQ(response.error().kind(), ErrorKind::Protocol) << answer;
    }
}

// Guards against a faulty server that fills the memory of its caller with bytes that the parser cannot use.
TEST(HttpClient, ChunkFramingWithoutEndIsAProtocolError)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string endless(std::size_t{1024} * 1024, '1');
    for (const char *beginning : {"", "3;", "3\r\nabc\r\n3;", "0\r\n", "0\r\nTrailer: "}) {
        std::string answer = head;
        answer.append(beginning).append(endless);
        RawServer server(std::move(answer));
        const Result<HttpResponse> response = fetchFrom(server.endpoint());
        ASSERT_FALSE(response.has_value()) << beginning;
        EXPECT_EQ(response.error().kind(), ErrorKind::Protocol) << beginning;
    }
}

TEST(HttpClient, InterimAnswersArePassedOver)
{
    RawServer server("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    const Result<HttpResponse> response = fetchFrom(server.endpoint());
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response.value().body, "ok");
}

TEST(HttpClient, AClosedPortIsUnreachable)
{
    Endpoint endpoint;
    {
        TestServer server(echo);
        endpoint = server.endpoint();
    }
    const Result<HttpResponse> response = fetchFrom(endpoint);
    ASSERT_FALSE(response.has_value());
    EXPECT_EQ(response.error().kind(), ErrorKind::Unreachable);
}

TEST(HttpClient, ASilentServerTimesOutByTheRuntimeClock)
{
    std::atomic<bool> received = false;
    TestServer server([&received](HttpExchange &exchange) -> awaitable<void> {
        received = true;
        Timer gone(co_await boost::asio::this_coro::executor, TimePoint::max());
        exchange.onGone([&gone]() {
            gone.cancel();
        });
        boost::system::error_code ignored;
        co_await gone.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    });
    const PausedClock paused;
    ContextThread thread;
    std::future<Result<HttpResponse>> response = thread.start(fetch(server.endpoint(), {}));
    while (!received) {
        std::this_thread::yield();
    }
    RuntimeClock::advance(FetchOptions{}.timeout);
    const Result<HttpResponse> answer = response.get();
    ASSERT_FALSE(answer.has_value());
    EXPECT_EQ(answer.error().kind(), ErrorKind::Timeout);
}

TEST(HttpMessage, ReadsQueriesAndComparesNamesWithoutCase)
{
    const HttpRequest request{"GET", "/path?a=1&b=x%20y+z&c", {{"X-One", "1"}}, {}};
    EXPECT_EQ(request.path(), "/path");
    EXPECT_EQ(request.query("b"), "x y z");
    EXPECT_EQ(request.query("c"), "");
    EXPECT_EQ(request.headers.find("x-oNe"), "1");
}

namespace
{

/** Reads the answer of a server that sends fixed bytes and closes, over a connection that may end with its body. */
Result<std::string> readUntilClose(const std::string &answer, bool accepted)
{
    RawServer server(answer);
    ContextThread thread;
    return thread.await([](Endpoint endpoint, bool accepted) -> awaitable<Result<std::string>> {
        auto connected = co_await HttpConnection::connect(endpoint, std::chrono::seconds(5));
        HttpConnection &connection = *connected.value();
        if (accepted) {
            connection.acceptBodyUntilClose();
        }
        const HttpRequest request{"GET", "/", {}, {}};
        const Result<void> sent = co_await connection.send(request, std::chrono::seconds(5), TimePoint::max());
        const Result<HttpResponseHead> head = co_await connection.readHead(std::chrono::seconds(5));
        if (!sent.has_value() || !head.has_value()) {
            co_return fail(ErrorKind::ConnectionLost, "no answer", "");
        }
        std::string body;
        std::string piece;
        while (true) {
            const Result<bool> more = co_await connection.readBody(piece, std::chrono::seconds(5));
            if (!more.has_value()) {
                co_return fail(more.error());
            }
            if (!more.value()) {
                break;
            }
            body += piece;
        }
        EXPECT_FALSE(connection.isReusable());
        co_return body;
    }(server.endpoint(), accepted));
}

} // namespace

TEST(HttpClient, ABodyWithoutALengthIsWholeOnlyWhereThatWasAccepted)
{
    const std::string answer = "HTTP/1.1 200 OK\r\n\r\nbody";
    EXPECT_EQ(readUntilClose(answer, true).value(), "body");
    EXPECT_TRUE(readUntilClose(answer, false).has_error());
    EXPECT_TRUE(readUntilClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nbody", true).has_error())
        << "a body with a length ends with it";
}
