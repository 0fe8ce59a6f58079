#include "callerfixture.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
namespace asio = boost::asio;

namespace
{

constexpr const char *resumeHeader = "X-Resume-After";

/** Returns the OpenAI adapter, changed to streams whose events carry ids and that end with their body. */
ProtocolAdapter numberedStreamAdapter()
{
    ProtocolAdapter adapter = openAiAdapter(secret, RequestClass());
    adapter.streamsEndWithDoneEvent = false;
    adapter.streamErrorEvent = [](const Error &) {
        return std::string();
    };
    adapter.buildBackendRequest = [](const BackendRequestContext &context) {
        HttpRequest request;
        request.method = context.callerRequest.method;
        request.target = context.callerRequest.target;
        request.body = context.callerRequest.body;
        if (context.resumeAfter.has_value()) {
            request.headers.add(resumeHeader, std::to_string(*context.resumeAfter));
        }
        return request;
    };
    return adapter;
}

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: text " + std::to_string(number) + "\n\n";
}

/** Sends the events with ids from @p first to @p last, then ends the stream or closes the connection within the next event. */
asio::awaitable<void> send(HttpExchange &exchange, int first, int last, bool interrupts)
{
    HttpHeaders headers;
    headers.add("Content-Type", "text/event-stream");
    Result<void> written = co_await exchange.beginStream(200, std::move(headers));
    for (int number = first; number <= last && written.has_value(); ++number) {
        const std::string piece = event(number);
        written = co_await exchange.writePiece(piece);
    }
    if (interrupts) {
        const std::string half = event(last + 1).substr(0, 5);
        written = co_await exchange.writePiece(half);
        exchange.abortHandle()();
        co_return;
    }
    written = co_await exchange.endStream();
}

/** Interrupts the stream after 3 of 6 events. A resuming request gets the rest, with its first id off by @p error. */
FakeBackend::Handler interruptedOnce(int error)
{
    return [error](HttpExchange &exchange) {
        const std::string resumed(exchange.request().headers.find(resumeHeader));
        return resumed.empty() ? send(exchange, 1, 3, true) : send(exchange, std::stoi(resumed) + 1 + error, 6, false);
    };
}

std::string routedResponse(const FakeBackend::Handler &handler)
{
    const FakeBackend first(handler);
    const FakeBackend second(handler);
    const CallerFixture setup({&first, &second}, {}, {}, {}, numberedStreamAdapter());
    return setup.exchange(chatRequest());
}

int unsignedField(const std::string &text, const std::string &part)
{
    int count = 0;
    for (std::size_t position = text.find(part); position != std::string::npos; position = text.find(part, position + 1)) {
        ++count;
    }
    return count;
}

bool isComplete(const std::string &response)
{
    return response.ends_with("0\r\n\r\n");
}

} // namespace

TEST(NumberedStream, ResumesAtAnotherServerAfterTheLastCompleteEvent)
{
    const std::string response = routedResponse(interruptedOnce(0));
    for (int number = 1; number <= 6; ++number) {
        EXPECT_EQ(unsignedField(response, "data: text " + std::to_string(number) + "\n"), 1) << response;
    }
    EXPECT_TRUE(isComplete(response));
}

TEST(NumberedStream, ARepeatedOrMissingEventNeverReachesTheCaller)
{
    for (const int error : {-1, 1}) {
        const std::string response = routedResponse(interruptedOnce(error));
        EXPECT_EQ(unsignedField(response, "data: text 3\n"), 1) << response;
        EXPECT_EQ(unsignedField(response, "data: text 5\n"), 0) << response;
        EXPECT_FALSE(isComplete(response)) << response;
    }
}

TEST(NumberedStream, AStreamThatEndsWithinAnEventIsIncomplete)
{
    const std::string response = routedResponse([](HttpExchange &exchange) -> asio::awaitable<void> {
        HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream");
        Result<void> written = co_await exchange.beginStream(200, std::move(headers));
        const std::string cut = event(1) + "id: 2\ndata: te";
        written = co_await exchange.writePiece(cut);
        written = co_await exchange.endStream();
    });
    EXPECT_FALSE(isComplete(response)) << response;
    EXPECT_EQ(unsignedField(response, "data: te\n"), 0);
}

TEST(NumberedStream, AStreamWithoutEventsKeepsTheHeadersOfItsServer)
{
    const std::string response = routedResponse([](HttpExchange &exchange) -> asio::awaitable<void> {
        HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream");
        headers.add("X-Signature", "of the server");
        Result<void> written = co_await exchange.beginStream(200, std::move(headers));
        written = co_await exchange.endStream();
    });
    EXPECT_NE(response.find("X-Signature: of the server"), std::string::npos) << response;
    EXPECT_TRUE(isComplete(response));
}
