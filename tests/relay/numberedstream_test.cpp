#include "callerfixture.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
namespace asio = boost::asio;

namespace
{

constexpr const char *resumeHeader = "X-Resume-After";

/** The OpenAI-shaped requests with streams whose events carry numbers and that end with their body. */
CallerInterface numberedInterface()
{
    CallerInterface interface = openAiInterface(secret, RequestClass());
    interface.streamsHaveEndMark = false;
    interface.brokenStreamEvent = [](const Error &) {
        return std::string();
    };
    interface.backendRequest = [](const BackendRequestContext &context) {
        HttpRequest request;
        request.method = context.fromCaller.method;
        request.target = context.fromCaller.target;
        request.body = context.fromCaller.body;
        if (context.resumeAfter.has_value()) {
            request.headers.add(resumeHeader, std::to_string(*context.resumeAfter));
        }
        return request;
    };
    return interface;
}

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: text " + std::to_string(number) + "\n\n";
}

/** Sends the events from one number to another, then ends the stream or breaks off in the midst of the next event. */
asio::awaitable<void> send(HttpExchange &exchange, int first, int last, bool breaksOff)
{
    HttpHeaders headers;
    headers.add("Content-Type", "text/event-stream");
    Result<void> written = co_await exchange.beginStream(200, std::move(headers));
    for (int number = first; number <= last && written.has_value(); ++number) {
        const std::string piece = event(number);
        written = co_await exchange.writePiece(piece);
    }
    if (breaksOff) {
        const std::string half = event(last + 1).substr(0, 5);
        written = co_await exchange.writePiece(half);
        exchange.abortHandle()();
        co_return;
    }
    written = co_await exchange.endStream();
}

/** Breaks off after three events of six; a request that resumes gets the rest, with an error in the first number or not. */
FakeBackend::Answer brokenOnce(int error)
{
    return [error](HttpExchange &exchange) {
        const std::string resumed(exchange.request().headers.find(resumeHeader));
        return resumed.empty() ? send(exchange, 1, 3, true) : send(exchange, std::stoi(resumed) + 1 + error, 6, false);
    };
}

std::string answerWith(const FakeBackend::Answer &answer)
{
    const FakeBackend first(answer);
    const FakeBackend second(answer);
    const CallerSetup setup({&first, &second}, {}, {}, {}, numberedInterface());
    return setup.exchange(chatRequest());
}

int countOf(const std::string &text, const std::string &part)
{
    int count = 0;
    for (std::size_t place = text.find(part); place != std::string::npos; place = text.find(part, place + 1)) {
        ++count;
    }
    return count;
}

bool isWhole(const std::string &answer)
{
    return answer.ends_with("0\r\n\r\n");
}

} // namespace

TEST(NumberedStream, GoesOnAtAnotherServerBehindTheLastWholeEvent)
{
    const std::string answer = answerWith(brokenOnce(0));
    for (int number = 1; number <= 6; ++number) {
        EXPECT_EQ(countOf(answer, "data: text " + std::to_string(number) + "\n"), 1) << answer;
    }
    EXPECT_TRUE(isWhole(answer));
}

TEST(NumberedStream, ARepeatedOrMissingEventNeverReachesTheCaller)
{
    for (const int error : {-1, 1}) {
        const std::string answer = answerWith(brokenOnce(error));
        EXPECT_EQ(countOf(answer, "data: text 3\n"), 1) << answer;
        EXPECT_EQ(countOf(answer, "data: text 5\n"), 0) << answer;
        EXPECT_FALSE(isWhole(answer)) << answer;
    }
}

TEST(NumberedStream, AStreamThatEndsWithinAnEventIsNotWhole)
{
    const std::string answer = answerWith([](HttpExchange &exchange) -> asio::awaitable<void> {
        HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream");
        Result<void> written = co_await exchange.beginStream(200, std::move(headers));
        const std::string cut = event(1) + "id: 2\ndata: te";
        written = co_await exchange.writePiece(cut);
        written = co_await exchange.endStream();
    });
    EXPECT_FALSE(isWhole(answer)) << answer;
    EXPECT_EQ(countOf(answer, "data: te\n"), 0);
}

TEST(NumberedStream, OneWithoutEventsKeepsTheFieldsOfItsServer)
{
    const std::string answer = answerWith([](HttpExchange &exchange) -> asio::awaitable<void> {
        HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream");
        headers.add("X-Signature", "of the server");
        Result<void> written = co_await exchange.beginStream(200, std::move(headers));
        written = co_await exchange.endStream();
    });
    EXPECT_NE(answer.find("X-Signature: of the server"), std::string::npos) << answer;
    EXPECT_TRUE(isWhole(answer));
}
