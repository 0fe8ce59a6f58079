#include "httpfixture.h"

#include <flamingosaddle/base/timer.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <future>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using boost::asio::awaitable;

namespace
{

HttpResponse echoOf(const HttpRequest &request)
{
    return {200, {}, request.body};
}

awaitable<void> echo(HttpExchange &exchange)
{
    const Result<void> written = co_await exchange.respond(echoOf(exchange.request()));
    EXPECT_TRUE(written.has_value());
}

awaitable<void> waitUntilGone(HttpExchange &exchange)
{
    Timer gone(co_await boost::asio::this_coro::executor, TimePoint::max());
    exchange.onGone([&gone]() {
        gone.cancel();
    });
    boost::system::error_code ignored;
    co_await gone.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

HttpServerLimits smallLimits()
{
    HttpServerLimits limits;
    limits.maxHeaderBytes = 1024;
    limits.maxBodyBytes = 2048;
    limits.idleTimeout = std::chrono::hours(100'000);
    return limits;
}

std::string post(const std::string &body, const std::string &more = {})
{
    return "POST /x HTTP/1.1\r\nHost: a\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string statusLine(const std::string &answer)
{
    return answer.substr(0, answer.find('\r'));
}

} // namespace

TEST(HttpServer, EchoesPipelinedRequestsOfOneConnection)
{
    TestServer server(echo);
    RawClient client(server.endpoint());
    client.send(post("one") + post("two", "Connection: close\r\n"));
    EXPECT_NE(client.readUntil("one").find("HTTP/1.1 200 OK"), std::string::npos);
    const std::string second = client.readAll();
    EXPECT_NE(second.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(second.ends_with("two"));
}

TEST(HttpServer, AnswersMalformedInputAndCloses)
{
    TestServer server(echo);
    for (const char *bad : {"\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "\x16\x03\x01\x02\n\n\r\n\r\n",
             "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "GET / HTTP/1.1\r\na b: c\r\n\r\n"}) {
        RawClient client(server.endpoint());
        client.send(bad);
        const std::string answer = client.readAll();
        EXPECT_EQ(statusLine(answer), "HTTP/1.1 400 Bad Request") << bad;
        EXPECT_NE(answer.find("X-Flamingosaddle-Run-State: not-run"), std::string::npos);
    }
    RawClient client(server.endpoint());
    client.send(post("fine", "Connection: close\r\n"));
    EXPECT_TRUE(client.readAll().ends_with("fine"));
}

TEST(HttpServer, RefusesOversizedHeaders)
{
    TestServer server(echo, smallLimits());
    RawClient oneField(server.endpoint());
    oneField.send("GET / HTTP/1.1\r\nA: " + std::string(4000, 'a') + "\r\n\r\n");
    EXPECT_TRUE(statusLine(oneField.readAll()).starts_with("HTTP/1.1 431"));

    RawClient manyFields(server.endpoint());
    std::string request = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 200; ++i) {
        request += "A: bbbbbbbbbbbbbbbb\r\n";
    }
    manyFields.send(request);
    EXPECT_TRUE(statusLine(manyFields.readAll()).starts_with("HTTP/1.1 431"));
}

TEST(HttpServer, RefusesOversizedBodies)
{
    TestServer server(echo, smallLimits());
    RawClient withLength(server.endpoint());
    withLength.send(post(std::string(4000, 'b')));
    EXPECT_TRUE(statusLine(withLength.readAll()).starts_with("HTTP/1.1 413"));

    RawClient chunked(server.endpoint());
    chunked.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfa0\r\n" + std::string(4000, 'b') + "\r\n0\r\n\r\n");
    EXPECT_TRUE(statusLine(chunked.readAll()).starts_with("HTTP/1.1 413"));
}

// Guards against a caller that fills the memory of the server with bytes that the parser cannot use.
TEST(HttpServer, RefusesChunkFramingWithoutEnd)
{
    TestServer server(echo, smallLimits());
    for (const char *beginning : {"", "3;", "3\r\nabc\r\n3;", "0\r\n", "0\r\nTrailer: "}) {
        RawClient client(server.endpoint());
        std::string request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        request.append(beginning).append(4000, '1');
        client.send(request);
        EXPECT_EQ(statusLine(client.readAll()), "HTTP/1.1 400 Bad Request") << beginning;
    }
}

// Guards against a body that fills the memory, since an answer to HTTP/1.0 is kept until it is whole.
TEST(HttpServer, AStreamToAnOldClientIsNotKeptWithoutLimit)
{
    HttpServerLimits limits;
    limits.maxHeldBackBytes = 1000;
    TestServer server(
        [](HttpExchange &exchange) -> awaitable<void> {
            Result<void> written = co_await exchange.beginStream(200, {});
            EXPECT_TRUE(written.has_value());
            for (int pieces = 0; pieces < 10 && written.has_value(); ++pieces) {
                written = co_await exchange.writePiece(std::string(200, 'x'));
            }
            EXPECT_TRUE(written.has_error());
        },
        limits);
    RawClient client(server.endpoint());
    client.send("GET / HTTP/1.0\r\n\r\n");
    EXPECT_EQ(client.readAll(), "");
}

// Guards against a stream that ends the process because its caller speaks HTTP/1.0.
TEST(HttpServer, AStreamIsSentWholeToAnOldClient)
{
    TestServer server([](HttpExchange &exchange) -> awaitable<void> {
        HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream; a value that is too long to be kept in place");
        Result<void> written = co_await exchange.beginStream(200, std::move(headers));
        const std::string piece(1000, 'x');
        for (int pieces = 0; pieces < 3 && written.has_value(); ++pieces) {
            written = co_await exchange.writePiece(piece);
        }
        written = co_await exchange.endStream();
        EXPECT_TRUE(written.has_value());
    });
    for (int i = 0; i < 3; ++i) {
        RawClient client(server.endpoint());
        client.send("GET / HTTP/1.0\r\n\r\n");
        const std::string answer = client.readAll();
        EXPECT_TRUE(statusLine(answer).ends_with("200 OK"));
        EXPECT_NE(answer.find("Content-Length: 3000\r\n"), std::string::npos);
        EXPECT_TRUE(answer.ends_with("\r\n\r\n" + std::string(3000, 'x')));
    }
}

TEST(HttpServer, RefusesASlowSender)
{
    TestServer server(echo, smallLimits());
    const PausedClock paused;
    for (const char *part : {"GET / HT", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"}) {
        RawClient client(server.endpoint());
        client.send(part);
        while (!client.hasInput()) {
            RuntimeClock::advance(std::chrono::seconds(1));
            std::this_thread::yield();
        }
        EXPECT_EQ(statusLine(client.readUntil("}}")), "HTTP/1.1 408 Request Timeout");
    }
}

TEST(HttpServer, TurnsAwayConnectionsOverTheLimit)
{
    HttpServerLimits limits;
    limits.maxConnections = 1;
    TestServer server(echo, limits);
    RawClient first(server.endpoint());
    first.send(post("first"));
    first.readUntil("first");
    RawClient second(server.endpoint());
    EXPECT_TRUE(statusLine(second.readAll()).starts_with("HTTP/1.1 503"));
}

TEST(HttpServer, NoticesThatTheCallerLeft)
{
    std::promise<void> ended;
    TestServer server([&ended](HttpExchange &exchange) -> awaitable<void> {
        co_await waitUntilGone(exchange);
        EXPECT_TRUE(exchange.isPeerGone());
        const Result<void> late = co_await exchange.respond(HttpResponse());
        EXPECT_FALSE(late.has_value());
        ended.set_value();
    });
    RawClient client(server.endpoint());
    client.send(post("hello"));
    client.close();
    ended.get_future().wait();
}

TEST(HttpServer, AbortEndsTheExchangeFromAnotherThread)
{
    std::promise<std::function<void()>> handle;
    TestServer server([&handle](HttpExchange &exchange) -> awaitable<void> {
        handle.set_value(exchange.abortHandle());
        co_await waitUntilGone(exchange);
    });
    RawClient client(server.endpoint());
    client.send(post("hello"));
    const std::function<void()> abort = handle.get_future().get();
    abort();
    EXPECT_EQ(client.readAll(), "");
    abort();
}

TEST(HttpServer, StreamsChunksAndMarksTheEnd)
{
    TestServer server([](HttpExchange &exchange) -> awaitable<void> {
        const bool whole = exchange.request().path() == "/whole";
        Result<void> written = co_await exchange.beginStream(200, HttpHeaders());
        EXPECT_TRUE(written.has_value());
        written = co_await exchange.writePiece("hello");
        EXPECT_TRUE(written.has_value());
        if (whole) {
            written = co_await exchange.endStream();
            EXPECT_TRUE(written.has_value());
        }
    });
    RawClient whole(server.endpoint());
    whole.send("GET /whole HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(whole.readUntil("0\r\n\r\n").ends_with("\r\n\r\n5\r\nhello\r\n0\r\n\r\n"));
    RawClient broken(server.endpoint());
    broken.send("GET /broken HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(broken.readAll().ends_with("5\r\nhello\r\n"));
}

TEST(HttpServer, DrainClosesIdleConnectionsAndLetsRequestsEnd)
{
    std::promise<void> started;
    std::promise<void> release;
    TestServer server([&](HttpExchange &exchange) -> awaitable<void> {
        if (exchange.request().path() == "/slow") {
            started.set_value();
            release.get_future().wait();
        }
        co_await echo(exchange);
    });
    RawClient idle(server.endpoint());
    idle.send(post("idle"));
    idle.readUntil("idle");
    RawClient busy(server.endpoint());
    busy.send("GET /slow HTTP/1.1\r\n\r\n");
    started.get_future().wait();
    server.server->drain();
    release.set_value();
    EXPECT_EQ(idle.readAll(), "");
    EXPECT_NE(busy.readAll().find("Connection: close"), std::string::npos);
}

RC_GTEST_PROP(HttpServer, SurvivesAnyBytes, (const std::string &bytes))
{
    static TestServer server(echo, smallLimits());
    std::string request = post("body", "Expect: 100-continue\r\n");
    request.replace(*rc::gen::inRange<std::size_t>(0, request.size()), *rc::gen::inRange<std::size_t>(0, 8), bytes);
    RawClient client(server.endpoint());
    client.send(request);
    client.finishSending();
    const std::string answer = client.readAll();
    RC_ASSERT(answer.empty() || answer.starts_with("HTTP/1.1 "));

    RawClient next(server.endpoint());
    next.send(post("fine", "Connection: close\r\n"));
    RC_ASSERT(next.readAll().ends_with("fine"));
}

TEST(HttpServer, RefusesABodyOfAnUnknownTransferCodingAndClosesTheConnection)
{
    for (const std::string coding : {"xchunked", "gzip, chunked", "identity"}) {
        TestServer server(echo);
        RawClient client(server.endpoint());
        client.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: " + coding
            + "\r\n\r\n1c\r\nGET /smuggled HTTP/1.1\r\n\r\n\r\n0\r\n\r\n");
        const std::string answer = client.readAll();
        EXPECT_EQ(answer.find("HTTP/1.1 400"), 0U) << coding << ": " << answer;
        EXPECT_EQ(answer.find("HTTP/1.1 ", 1), std::string::npos) << "the body was taken for a request: " << answer;
    }
}
