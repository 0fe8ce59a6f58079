// Responses of backend servers that break off or change in the middle. Guards against callers that get a part of a response, or a
// part of another one, framed as a whole.

#include "numberedstream.h"

#include <flamingosaddle/http/client.h>

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using boost::asio::awaitable;

namespace
{

/** Sends a request on a connection whose responses may end with it, and reads the response's head. */
awaitable<Result<HttpResponseHead>> readHeadFrom(Endpoint endpoint)
{
    Result<std::unique_ptr<HttpConnection>> connected
        = co_await HttpConnection::connect(std::move(endpoint), std::chrono::seconds(5));
    HttpConnection &connection = *connected.value();
    const HttpRequest request;
    const Result<void> sent = co_await connection.send(request, std::chrono::seconds(5), TimePoint::max());
    EXPECT_TRUE(sent.has_value());
    connection.acceptBodyUntilClose();
    Result<HttpResponseHead> head = co_await connection.readHead(std::chrono::seconds(5));
    co_return head;
}

bool isComplete(const std::string &response)
{
    return response.ends_with("0\r\n\r\n");
}

/** Sends the first three events of a stream and breaks off; resumed, answers with @p status and a body of @p type. */
FakeBackend::Handler failWhenResumed(int status, const std::string &type)
{
    return [status, type](HttpExchange &exchange) -> awaitable<void> {
        if (exchange.request().headers.find(resumeHeader).empty()) {
            co_await send(exchange, 1, 3, true);
            co_return;
        }
        HttpResponse response;
        response.status = status;
        response.headers.add("Content-Type", type);
        response.body = "id: 4\ndata: the error's text\n\n";
        const Result<void> ignored = co_await exchange.respond(std::move(response));
    };
}

} // namespace

TEST(BrokenResponse, AHeadThatBreaksOffIsNoResponse)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Signature: signed\r\n";
    ContextThread client;
    for (const std::string framing : {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"}) {
        const std::string whole = head + framing + "\r\n";
        for (std::size_t length = 1; length < whole.size(); ++length) {
            const RawServer server(whole.substr(0, length));
            const Result<HttpResponseHead> read = client.await(readHeadFrom(server.endpoint()));
            EXPECT_TRUE(read.has_error()) << "after " << length << " bytes of " << whole;
        }
    }
}

TEST(BrokenResponse, AStreamIsNotContinuedWithTheBodyOfAnotherStatus)
{
    for (const char *type : {"text/event-stream", "application/json"}) {
        for (const int status : {201, 404, 500, 503}) {
            const FakeBackend first(failWhenResumed(status, type));
            const FakeBackend second(failWhenResumed(status, type));
            const CallerFixture setup({&first, &second}, {}, {}, {}, numberedStreamAdapter());
            const std::string response = setup.exchange(chatRequest());
            EXPECT_EQ(statusOf(response), 200);
            EXPECT_EQ(response.find("the error's text"), std::string::npos) << status << ' ' << type;
            EXPECT_FALSE(isComplete(response)) << status << ' ' << type;
        }
    }
}
