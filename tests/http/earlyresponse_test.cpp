// Responses that come before the server has read the whole request. Guards against a part of a response that is taken for the
// whole, and against responses that are read only after the last byte of the request was written.

#include "httpfixture.h"

#include <flamingosaddle/http/client.h>

#include <gtest/gtest.h>

#include <cstddef>
#include <future>
#include <string>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace
{

constexpr Duration timeLimit = 1s;
// Fits into the buffers of a socket, but not into those of a server that reads nothing.
constexpr std::size_t bufferedUpload = 3'500'000;
// Exceeds all buffers, so that writing it ends only when the server reads.
constexpr std::size_t blockedUpload = 64'000'000;
const std::string wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n0123456789abcdefg";
const std::string undelimitedResponse = "HTTP/1.1 200 OK\r\n\r\n0123456789abcdefg";

struct Exchange {
    Result<HttpResponse> response = fail(ErrorKind::Internal, "not read", "");
    bool isReusable = false;
};

/** Sends a request on a connection whose bodies may end with it, and reads the whole response. */
awaitable<Exchange> exchangeWith(Endpoint endpoint, std::size_t uploadBytes)
{
    auto connected = co_await HttpConnection::connect(std::move(endpoint), timeLimit);
    HttpConnection &connection = *connected.value();
    connection.acceptBodyUntilClose();
    HttpRequest request;
    request.method = "POST";
    request.body.assign(uploadBytes, 'u');
    Exchange result;
    const Result<void> sent = co_await connection.send(request, timeLimit, TimePoint::max());
    if (!sent.has_value()) {
        result.response = fail(sent.error());
        co_return result;
    }
    Result<HttpResponseHead> head = co_await connection.readHead(timeLimit);
    if (!head.has_value()) {
        result.response = fail(head.error());
        co_return result;
    }
    HttpResponse response{head.value().status, std::move(head.value().headers), {}};
    std::string piece;
    while (true) {
        const Result<bool> more = co_await connection.readBody(piece, timeLimit);
        if (!more.has_value()) {
            result.response = fail(more.error());
            co_return result;
        }
        if (!more.value()) {
            break;
        }
        response.body += piece;
    }
    result.response = std::move(response);
    result.isReusable = connection.isReusable();
    co_return result;
}

/** A client and a server that the test plays. The clock stands still, so that a wait for a deadline never ends. */
class EarlyResponse : public testing::Test
{
protected:
    void begin(std::size_t uploadBytes)
    {
        this->exchange = this->thread.start(exchangeWith(this->server.endpoint(), uploadBytes));
        this->server.acceptRequest();
    }

    const PausedClock paused;
    ManualServer server;
    ContextThread thread;
    std::future<Exchange> exchange;
};

} // namespace

// The server cannot have read the request, so it has broken off, whatever ended the body.
TEST_F(EarlyResponse, ABodyThatEndsWithTheConnectionWhileTheRequestIsUnderWayIsLost)
{
    for (const std::size_t uploadBytes : {bufferedUpload, blockedUpload}) {
        for (const std::size_t readBytes : {std::size_t{0}, std::size_t{65'536}}) {
            this->begin(uploadBytes);
            this->server.readBody(readBytes);
            this->server.send(undelimitedResponse);
            this->server.finishSending();
            const Exchange result = this->exchange.get();
            ASSERT_TRUE(result.response.has_error()) << uploadBytes << ' ' << readBytes << ' ' << result.response.value().body;
            EXPECT_EQ(result.response.error().kind(), ErrorKind::ConnectionLost);
        }
    }
}

TEST_F(EarlyResponse, ABodyThatEndsWithTheConnectionAfterTheRequestWasReadIsWhole)
{
    this->begin(bufferedUpload);
    this->server.readBody(bufferedUpload);
    this->server.send(undelimitedResponse);
    this->server.finishSending();
    const Exchange result = this->exchange.get();
    ASSERT_TRUE(result.response.has_value()) << result.response.error().text();
    EXPECT_EQ(result.response.value().body, "0123456789abcdefg");
    EXPECT_FALSE(result.isReusable);
}

// A server may reject a long request without reading it. The response must not wait for the deadline.
TEST_F(EarlyResponse, AWholeResponseIsReadWhileTheRequestIsUnderWay)
{
    this->begin(blockedUpload);
    this->server.send(wholeResponse);
    const Exchange result = this->exchange.get();
    ASSERT_TRUE(result.response.has_value()) << result.response.error().text();
    EXPECT_EQ(result.response.value().body, "0123456789abcdefg");
    EXPECT_FALSE(result.isReusable) << "the rest of the request would be taken for the next one";
}

TEST_F(EarlyResponse, ARequestGoesOnAfterAnInterimResponse)
{
    this->begin(blockedUpload);
    this->server.send("HTTP/1.1 103 Early Hints\r\n\r\n");
    this->thread.settle();
    EXPECT_EQ(this->server.readBody(blockedUpload), blockedUpload);
    this->server.send(wholeResponse);
    const Exchange result = this->exchange.get();
    ASSERT_TRUE(result.response.has_value()) << result.response.error().text();
    EXPECT_TRUE(result.isReusable);
}

// A server that closes with a part of the request unread resets the connection, which must not hide its response.
TEST_F(EarlyResponse, AWholeResponseIsReadAfterAReset)
{
    this->begin(blockedUpload);
    this->server.send(wholeResponse);
    this->server.reset();
    const Exchange result = this->exchange.get();
    ASSERT_TRUE(result.response.has_value()) << result.response.error().text();
    EXPECT_EQ(result.response.value().body, "0123456789abcdefg");
    EXPECT_FALSE(result.isReusable);
}

// Guards against an end of the connection that follows a reset which the writing side was told of.
TEST_F(EarlyResponse, ABodyWithoutALengthIsLostAfterAReset)
{
    for (const std::size_t uploadBytes : {bufferedUpload, blockedUpload}) {
        this->begin(uploadBytes);
        this->server.send(undelimitedResponse);
        this->server.reset();
        const Exchange result = this->exchange.get();
        ASSERT_TRUE(result.response.has_error()) << uploadBytes;
    }
}

TEST_F(EarlyResponse, AServerThatReadsAndSendsNothingTimesOut)
{
    this->begin(blockedUpload);
    this->thread.settle();
    EXPECT_EQ(this->exchange.wait_for(0s), std::future_status::timeout);
    RuntimeClock::advance(timeLimit);
    const Exchange result = this->exchange.get();
    ASSERT_TRUE(result.response.has_error());
    EXPECT_EQ(result.response.error().kind(), ErrorKind::Timeout);
}
