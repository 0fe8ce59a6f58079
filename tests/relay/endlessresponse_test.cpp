// Responses of backend servers that never end, a byte now and then. Guards against requests that are not answered because each
// byte puts off the end of a wait.

#include "callerfixture.h"

#include <flamingosaddle/relay/backendpool.h>

#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <future>
#include <optional>
#include <string>
#include <vector>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace
{

constexpr Duration timeLimit = 1s;
// The clock moves on in this many steps up to a time limit.
constexpr int stepsPerLimit = 20;

/** The time at which a wait with that limit has surely ended, as awaitDuringResponse() measures it. */
Duration latestEnd(Duration limit)
{
    return limit + 2 * limit / stepsPerLimit;
}

const std::string soundHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/** How an endless response begins, and what follows again and again. */
struct EndlessResponse {
    std::string beginning;
    std::string filler;
};

const std::vector<EndlessResponse> endlessHeads = {
    {"HTTP/1.1 200 OK\r\nX-Noise: ", "x"},
    {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
};

const std::vector<EndlessResponse> endlessBodies = {
    {soundHead, "1"},
    {soundHead + "3;extension=", "x"},
    {soundHead + "0\r\nTrailer: ", "x"},
};

ResponseCheck checkRejection(const HttpRequest &, const HttpResponseHead &head)
{
    return head.headers.has("Not-Executed") ? ResponseCheck::NotExecuted : ResponseCheck::Valid;
}

/**
 * Lets the server go on with its response while the clock moves on. Returns after which time the result was there, or nothing if
 * it was not after several times @p limit.
 */
template <typename T>
std::optional<Duration> awaitDuringResponse(
    ManualServer &server, ContextThread &client, std::future<T> &result, const std::string &filler, Duration limit)
{
    constexpr int repetitions = 100; // long enough for timers to notice that the clock moved on
    const Duration clockStep = limit / stepsPerLimit;
    for (Duration passed = Duration::zero(); passed < 5 * limit; passed += clockStep) {
        for (int i = 0; i < repetitions; ++i) {
            server.send(filler);
            client.settle();
            if (result.wait_for(0s) == std::future_status::ready) {
                return passed;
            }
        }
        RuntimeClock::advance(clockStep);
    }
    return std::nullopt;
}

/** A pool and a server that the test plays. */
class EndlessResponseTest : public testing::Test
{
protected:
    EndlessResponseTest()
    {
        this->order.endpoint = this->server.endpoint();
        this->order.headTimeout = timeLimit;
        this->order.checkResponse = checkRejection;
    }

    /** Returns the failure of a call, or of reading the first piece of its response's body. */
    awaitable<std::optional<BackendFailure>> callAndRead()
    {
        const auto step = [](RequestStep) {};
        BackendPool::CallResult result = co_await this->pool.call(this->order, this->caller, step);
        if (const BackendFailure *failure = std::get_if<BackendFailure>(&result)) {
            co_return *failure;
        }
        std::string piece;
        const Result<bool> more = co_await std::get<BackendCall>(result).readBody(piece, this->bodyTimeout);
        if (more.has_value()) {
            co_return std::nullopt;
        }
        co_return BackendFailure{more.error(), true, AttemptOutcome::ServerError};
    }

    /** Plays an endless response to one call. */
    void play(const EndlessResponse &response)
    {
        this->failure.reset();
        std::future<std::optional<BackendFailure>> call = this->thread.start(this->callAndRead());
        this->server.acceptRequest();
        this->server.send(response.beginning);
        this->passed = awaitDuringResponse(this->server, this->thread, call, response.filler, timeLimit);
        if (this->passed.has_value()) {
            this->failure = call.get();
            return;
        }
        this->thread.stop();
    }

    const PausedClock paused;
    ManualServer server;
    DisconnectSignal caller;
    BackendPool pool{BackendPoolOptions()};
    BackendPool::CallParameters order;
    Duration bodyTimeout = timeLimit;
    ContextThread thread;
    std::optional<Duration> passed; ///< clock time until the call ended; nothing if it did not
    std::optional<BackendFailure> failure;
};

} // namespace

TEST_F(EndlessResponseTest, AHeadThatNeverEndsTimesOut)
{
    for (const EndlessResponse &response : endlessHeads) {
        this->play(response);
        ASSERT_TRUE(this->passed.has_value()) << response.filler;
        EXPECT_LE(*this->passed, latestEnd(timeLimit)) << response.filler;
        ASSERT_TRUE(this->failure.has_value());
        EXPECT_TRUE(this->failure->anyByteSent) << "the request may have run";
    }
}

TEST_F(EndlessResponseTest, ABodyThatGoesOnWithoutAPieceTimesOut)
{
    for (const EndlessResponse &response : endlessBodies) {
        this->play(response);
        ASSERT_TRUE(this->passed.has_value()) << response.beginning;
        EXPECT_LE(*this->passed, latestEnd(timeLimit)) << response.beginning;
        ASSERT_TRUE(this->failure.has_value());
        EXPECT_TRUE(this->failure->anyByteSent) << "the request may have run";
    }
}

// A wait that has no timeout of its own has the deadline of the exchange.
TEST_F(EndlessResponseTest, NoWaitOutlastsTheDeadline)
{
    this->order.headTimeout = 1h;
    this->bodyTimeout = 1h;
    for (const std::vector<EndlessResponse> &responses : {endlessHeads, endlessBodies}) {
        for (const EndlessResponse &response : responses) {
            this->order.deadline = RuntimeClock::now() + timeLimit;
            this->play(response);
            ASSERT_TRUE(this->passed.has_value()) << response.beginning << response.filler;
            EXPECT_LE(*this->passed, latestEnd(timeLimit)) << response.beginning << response.filler;
        }
    }
}

// Guards against a drain that cuts the callers of calls that began before it.
TEST_F(EndlessResponseTest, ALimitOfTheDeadlinesEndsCallsThatRun)
{
    this->order.headTimeout = 1h;
    std::future<std::optional<BackendFailure>> call = this->thread.start(this->callAndRead());
    this->server.acceptRequest();
    boost::asio::post(this->thread.context, [this]() {
        this->pool.limitDeadlines(RuntimeClock::now() + timeLimit);
    });
    const std::optional<Duration> ended = awaitDuringResponse(this->server, this->thread, call, "", timeLimit);
    ASSERT_TRUE(ended.has_value());
    EXPECT_LE(*ended, latestEnd(timeLimit));
    const std::optional<BackendFailure> ending = call.get();
    ASSERT_TRUE(ending.has_value());
    EXPECT_EQ(ending->error.kind(), ErrorKind::Timeout);
}

// Guards against a crash at the end of a process that does not wait for its calls.
TEST(EndlessResponse, AConnectionInUseOutlivesItsPool)
{
    ManualServer server;
    DisconnectSignal caller;
    auto pool = std::make_unique<BackendPool>(BackendPoolOptions());
    ContextThread thread;
    BackendPool::CallParameters order;
    order.endpoint = server.endpoint();
    const auto callOnce = [](BackendPool &pool, BackendPool::CallParameters order, DisconnectSignal &caller) -> awaitable<void> {
        const BackendPool::CallResult ignored = co_await pool.call(order, caller, [](RequestStep) {});
    };
    const std::future<void> call = thread.start(callOnce(*pool, order, caller));
    server.acceptRequest();
    thread.stop();
    pool.reset();
}

// Guards against a caller without an answer.
TEST(EndlessResponse, TheCallerIsAnsweredAtTheDeadlineOfItsRequest)
{
    const PausedClock paused;
    const Duration deadline = RequestClass().deadline;
    CallerOptions options;
    options.headTimeout = 1h;
    options.progressTimeout = 1h;
    for (const std::vector<EndlessResponse> &responses : {endlessHeads, endlessBodies}) {
        for (const EndlessResponse &response : responses) {
            ManualServer server;
            CallerFixture setup({}, {}, {}, options);
            setup.addEngine(server.endpoint());
            std::future<std::string> answer = std::async(std::launch::async, [&setup]() {
                return setup.exchange(chatRequest());
            });
            server.acceptRequest();
            server.send(response.beginning);
            const std::optional<Duration> passed = awaitDuringResponse(server, setup.thread, answer, response.filler, deadline);
            ASSERT_TRUE(passed.has_value()) << response.beginning << response.filler;
            EXPECT_LE(*passed, latestEnd(deadline)) << response.beginning << response.filler;
            const std::string text = answer.get();
            EXPECT_GE(statusOf(text), 502) << text;
            EXPECT_NE(text.find("X-Flamingosaddle-Run-State: unknown"), std::string::npos) << text;
        }
    }
}

// The request has not run, and waits for nothing that its caller needs.
TEST_F(EndlessResponseTest, ARejectionWhoseBodyNeverEndsIsOneBeforeTheTimeLimit)
{
    const std::string rejection = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n";
    for (const std::string framing : {"", "Transfer-Encoding: chunked\r\n", "Content-Length: 900000000000\r\n"}) {
        const std::string filler = framing.find("chunked") == std::string::npos ? "x" : "1\r\nx\r\n";
        this->play({rejection + framing + "\r\n", filler});
        ASSERT_TRUE(this->passed.has_value()) << framing;
        EXPECT_LT(*this->passed, timeLimit) << framing;
        ASSERT_TRUE(this->failure.has_value());
        EXPECT_FALSE(this->failure->anyByteSent) << framing;
        EXPECT_EQ(this->failure->end, AttemptOutcome::Rejected) << framing;
        EXPECT_FALSE(this->server.send("x") && this->server.send("x")) << "the connection is closed";
    }
}
