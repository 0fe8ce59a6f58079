#include "numberedstream.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <optional>
#include <string>
#include <thread>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
namespace asio = boost::asio;

namespace
{

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

TEST(Response, OfAServerThatLeavesIsReported)
{
    constexpr const char *leavingHeader = "X-Leaving";
    const FakeBackend backend([](HttpExchange &exchange) -> asio::awaitable<void> {
        HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream");
        headers.add(leavingHeader, "yes");
        Result<void> written = co_await exchange.beginStream(200, std::move(headers));
        written = co_await exchange.endStream();
    });
    ProtocolAdapter adapter = numberedStreamAdapter();
    adapter.isServerLeaving = [](const HttpHeaders &fromBackend) {
        return fromBackend.has(leavingHeader);
    };
    std::atomic<int> reports = 0;
    CallerHooks hooks;
    hooks.onServerLeaving = [&reports](const BackendServerId &server, TimePoint sentAt) {
        EXPECT_FALSE(server.isEmpty());
        EXPECT_LE(sentAt, RuntimeClock::now());
        ++reports;
    };
    const CallerFixture setup({&backend}, {}, hooks, {}, adapter);
    setup.exchange(chatRequest());
    EXPECT_EQ(reports, 1);
}

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

namespace
{

/** An engine whose streams have neither a length nor chunks: it sends some events and a part of the next one, then closes. */
class UndelimitedEngine
{
public:
    /**
     * @param events number of whole events that are sent at first; a resuming request gets the rest up to 6
     * @param dies whether it stops listening before it closes the connection
     */
    UndelimitedEngine(int events, std::string cutEvent, bool dies = false)
        : events(events)
        , dies(dies)
        , cutEvent(std::move(cutEvent))
        , acceptor(this->context, {asio::ip::make_address(ownLoopbackAddress()), 0})
        , thread([this]() {
            this->run();
        })
    {
    }

    ~UndelimitedEngine()
    {
        if (!this->dies) {
            this->stopping = true;
            RawClient unblocking(this->endpoint());
        }
        this->thread.join();
    }

    UndelimitedEngine(const UndelimitedEngine &) = delete;
    UndelimitedEngine &operator=(const UndelimitedEngine &) = delete;

    Endpoint endpoint() const
    {
        const auto local = this->acceptor.local_endpoint();
        return {local.address().to_string(), local.port()};
    }

private:
    void run()
    {
        while (true) {
            asio::ip::tcp::socket peer = this->acceptor.accept();
            if (this->stopping) {
                return;
            }
            std::string request;
            boost::system::error_code error;
            asio::read_until(peer, asio::dynamic_buffer(request), "]}", error);
            const std::size_t resumed = request.find(resumeHeader);
            std::string response = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
            const int first = resumed == std::string::npos ? 1 : std::stoi(request.substr(resumed + 16)) + 1;
            const int last = resumed == std::string::npos ? this->events : 6;
            for (int number = first; number <= last; ++number) {
                response += event(number);
            }
            response += resumed == std::string::npos ? this->cutEvent : std::string();
            asio::write(peer, asio::buffer(response), error);
            if (this->dies) {
                this->acceptor.close();
                return;
            }
        }
    }

    int events;
    bool dies;
    std::string cutEvent;
    std::atomic<bool> stopping = false;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

std::string routedUndelimited(int events, const std::string &cutEvent)
{
    const UndelimitedEngine first(events, cutEvent);
    const UndelimitedEngine second(events, cutEvent);
    CallerOptions options;
    options.pool.allowBodyUntilClose = true;
    options.pool.confirmDeathByReconnect = true;
    CallerFixture setup({}, {}, {}, options, numberedStreamAdapter());
    setup.addEngine(first.endpoint());
    setup.addEngine(second.endpoint());
    return setup.exchange(chatRequest());
}

} // namespace

TEST(NumberedStream, AnUndelimitedStreamThatEndsAfterAnEventIsComplete)
{
    const std::string response = routedUndelimited(6, {});
    EXPECT_EQ(unsignedField(response, "data: text 6\n"), 1) << response;
    EXPECT_TRUE(isComplete(response)) << response;
}

TEST(NumberedStream, AnUndelimitedStreamThatEndsWithinAnEventIsResumed)
{
    const std::string response = routedUndelimited(3, "id: 4\ndata: te");
    for (int number = 1; number <= 6; ++number) {
        EXPECT_EQ(unsignedField(response, "data: text " + std::to_string(number) + "\n"), 1) << response;
    }
    EXPECT_TRUE(isComplete(response)) << response;
}

// A server that crashes before the first event closes the connection in the same way as after an empty stream.
TEST(NumberedStream, AnUndelimitedStreamWithoutEventsIsNotComplete)
{
    const std::string response = routedUndelimited(0, {});
    EXPECT_FALSE(isComplete(response)) << response;
    EXPECT_EQ(statusOf(response), 502) << response;
}

// Otherwise the quarantine would not learn of requests that crash servers with such streams.
TEST(NumberedStream, AnUndelimitedStreamOfADyingServerCountsAsItsDeath)
{
    for (const char *cutEvent : {"", "id: 1\ndata: te"}) {
        const UndelimitedEngine engine(0, cutEvent, true);
        std::optional<AttemptOutcome> attempt;
        CallerHooks hooks;
        hooks.onOutcome = [&attempt](const RequestOutcome &outcome) {
            attempt = outcome.lastAttempt;
        };
        CallerOptions options;
        options.pool.allowBodyUntilClose = true;
        options.pool.confirmDeathByReconnect = true;
        {
            CallerFixture setup({}, {}, hooks, options, numberedStreamAdapter());
            setup.addEngine(engine.endpoint());
            (void)setup.exchange(chatRequest("X-Flamingosaddle-Class: once\r\n"));
        }
        EXPECT_EQ(attempt, AttemptOutcome::ServerFailed) << cutEvent;
    }
}
