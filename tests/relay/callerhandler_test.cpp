#include "callerfixture.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <algorithm>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using boost::asio::awaitable;

namespace
{

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/** The tokens "t0", "t1", ... in the order in which they stand in an answer. */
std::string tokensIn(const std::string &answer)
{
    std::string tokens;
    constexpr std::string_view before = "\"content\":\"";
    for (std::size_t at = answer.find(before); at != std::string::npos; at = answer.find(before, at + 1)) {
        const std::size_t start = at + before.size();
        tokens += answer.substr(start, answer.find('"', start) - start);
    }
    return tokens;
}

/** What the hooks of a handler were told. */
struct Recorder {
    std::mutex mutex;
    std::vector<UsageEvent> usages;
    std::vector<RequestOutcome> outcomes;
    std::vector<std::string> steps;

    CallerHooks hooks()
    {
        CallerHooks hooks;
        hooks.usage = [this](const UsageEvent &event) {
            const std::scoped_lock lock(this->mutex);
            this->usages.push_back(event);
        };
        hooks.outcome = [this](const RequestOutcome &outcome) {
            const std::scoped_lock lock(this->mutex);
            this->outcomes.push_back(outcome);
        };
        hooks.step = [this](RequestStep step) {
            const std::scoped_lock lock(this->mutex);
            this->steps.emplace_back(toString(step));
        };
        return hooks;
    }

    /** The outcome is recorded after the caller has the answer. */
    RequestOutcome firstOutcome()
    {
        while (true) {
            const std::scoped_lock lock(this->mutex);
            if (!this->outcomes.empty()) {
                return this->outcomes.front();
            }
        }
    }
};

awaitable<void> answerPlainly(HttpExchange &exchange)
{
    const Result<void> written = co_await exchange.respond(jsonResponse(200, R"({"ran":true})"));
    EXPECT_TRUE(written.has_value());
}

awaitable<void> breakOff(HttpExchange &exchange)
{
    exchange.abortHandle()();
    co_return;
}

std::string deposit(const std::string &headers = {})
{
    return requestText("POST /s/deposit", "{}", std::string("Authorization: Bearer ") + validKey + "\r\n" + headers);
}

CallerHooks claiming(ClaimAnswer answer)
{
    CallerHooks hooks;
    hooks.claim = [answer = std::move(answer)](const ClaimRequest &request) -> awaitable<ClaimAnswer> {
        EXPECT_EQ(request.idempotencyKey, "i");
        co_return answer;
    };
    return hooks;
}

} // namespace

TEST(CallerHandler, StreamsTokensAndPassesOnNoSecret)
{
    FakeBackend engine(streamOf(3));
    Recorder recorder;
    CallerSetup setup({&engine}, {}, recorder.hooks());
    const std::string answer = setup.exchange(chatRequest("Cookie: c=1\r\nProxy-Authorization: x\r\nX-Other: y\r\n"));
    EXPECT_EQ(statusOf(answer), 200);
    EXPECT_EQ(tokensIn(answer), "t0t1t2");
    EXPECT_TRUE(has(answer, "data: [DONE]") && answer.ends_with("0\r\n\r\n"));
    EXPECT_TRUE(has(answer, "X-Request-Id: ") && has(answer, "traceparent: 00-"));

    const HttpHeaders seen = engine.requests().at(0).headers;
    for (const char *name : {"Authorization", "Cookie", "Proxy-Authorization", "X-Other", "Connection"}) {
        EXPECT_FALSE(seen.has(name)) << name;
    }
    EXPECT_EQ(seen.find("X-Flamingosaddle-Priority"), "1");
    EXPECT_TRUE(has(answer, std::string(seen.find("X-Request-Id"))));

    const RequestOutcome outcome = recorder.firstOutcome();
    EXPECT_TRUE(outcome.whole);
    EXPECT_EQ(outcome.tokens, 3U);
    EXPECT_EQ(outcome.className, ClassName("chat"));
    ASSERT_EQ(recorder.usages.size(), 1U);
    EXPECT_EQ(recorder.usages[0].promptTokens, 11U);
    EXPECT_EQ(recorder.usages[0].completionTokens, 3U);
    EXPECT_EQ(recorder.steps.front(), "accept");
    EXPECT_EQ(recorder.steps.back(), "last_byte");
}

TEST(CallerHandler, RefusesWithTheRightStatusAndARemedy)
{
    FakeBackend engine(streamOf(1));
    CallerSetup setup({&engine}, {});
    const std::string key = std::string("Authorization: Bearer ") + validKey + "\r\n";
    const std::string chat = "POST /v1/chat/completions";
    const std::string body = R"({"model":"m"})";
    const std::vector<std::pair<std::string, int>> cases = {{requestText(chat, body), 401},
        {requestText(chat, body, "Authorization: Bearer other\r\n"), 401}, {requestText("GET /nowhere", "", key), 404},
        {requestText(chat, "{", key), 400}, {requestText(chat, R"({"model":"none"})", key), 404},
        {requestText(chat, R"({"model":"hidden"})", key), 403}, {requestText("GET /v1/completions", "", key), 400},
        {requestText(chat, body, key + "X-Flamingosaddle-Class: none\r\n"), 400}, {requestText("GET /s/x", "", key), 503}};
    for (const auto &[request, status] : cases) {
        const std::string answer = setup.exchange(request);
        EXPECT_EQ(statusOf(answer), status) << request << answer;
        EXPECT_TRUE(has(answer, "X-Flamingosaddle-Run-State: not-run")) << answer;
        const nlohmann::json error = nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4)).at("error");
        EXPECT_TRUE(has(error.at("message"), "; ")) << error;
        EXPECT_EQ(error.at("type"), error.at("code"));
        EXPECT_EQ(has(answer, "Retry-After"), status == 503);
    }
    EXPECT_TRUE(engine.requests().empty());
}

TEST(CallerHandler, RefusesKeyedRequestsWhenTheConfigurationIsNotFresh)
{
    FakeBackend service(answerPlainly);
    CallerSetup setup({}, {&service});
    setup.publish(RuntimeClock::now() - std::chrono::seconds(1));
    const std::string answer = setup.exchange(deposit());
    EXPECT_EQ(statusOf(answer), 503);
    EXPECT_TRUE(has(answer, "Retry-After") && has(answer, "not-run"));
    EXPECT_EQ(statusOf(setup.exchange(requestText("GET /open", ""))), 200);
}

TEST(CallerHandler, ListsThePermittedModels)
{
    FakeBackend engine(streamOf(1));
    CallerSetup setup({&engine}, {});
    const std::string answer
        = setup.exchange(requestText("GET /v1/models", "", std::string("Authorization: bearer ") + validKey + "\r\n"));
    EXPECT_TRUE(has(answer, "\"m\""));
    EXPECT_FALSE(has(answer, "hidden"));
}

TEST(CallerHandler, ResumesABrokenStreamOnAnotherEngine)
{
    FakeBackend first(streamOf(5, 2));
    FakeBackend second(streamOf(5, 2));
    Recorder recorder;
    CallerSetup setup({&first, &second}, {}, recorder.hooks());
    const std::string answer = setup.exchange(chatRequest());
    EXPECT_EQ(tokensIn(answer), "t0t1t2t3t4");
    EXPECT_TRUE(has(answer, "data: [DONE]") && answer.ends_with("0\r\n\r\n"));
    ASSERT_EQ(first.requests().size(), 1U);
    ASSERT_EQ(second.requests().size(), 1U);
    const std::string resume = "\"flamingosaddle_resume_tokens\":2";
    EXPECT_NE(has(first.requests()[0].body, resume), has(second.requests()[0].body, resume));
    const RequestOutcome outcome = recorder.firstOutcome();
    EXPECT_EQ(outcome.tokens, 5U);
    EXPECT_EQ(outcome.wastedTokens, 0U);
    EXPECT_EQ(outcome.attempts, 2U);
}

TEST(CallerHandler, ABrokenStreamNeverEndsAsAWholeOne)
{
    FakeBackend engine(streamOf(5, 2));
    Recorder recorder;
    CallerSetup setup({&engine}, {}, recorder.hooks());
    const std::string answer = setup.exchange(chatRequest("X-Flamingosaddle-Class: once\r\n"));
    EXPECT_EQ(tokensIn(answer), "t0t1");
    EXPECT_TRUE(has(answer, "data: {\"error\""));
    EXPECT_FALSE(has(answer, "[DONE]"));
    EXPECT_FALSE(answer.ends_with("0\r\n\r\n"));
    EXPECT_EQ(engine.requests().size(), 1U);
    const RequestOutcome outcome = recorder.firstOutcome();
    EXPECT_EQ(outcome.wastedTokens, 2U);
    EXPECT_EQ(outcome.runState, RunState::Unknown);
}

TEST(CallerHandler, ANonIdempotentRequestIsSentOnceAndItsFailureIsUnknown)
{
    FakeBackend first(breakOff);
    FakeBackend second(breakOff);
    CallerSetup setup({}, {&first, &second});
    const std::string answer = setup.exchange(deposit());
    EXPECT_EQ(statusOf(answer), 502);
    EXPECT_TRUE(has(answer, "X-Flamingosaddle-Run-State: unknown"));
    EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
}

TEST(CallerHandler, AnIdempotentRequestIsTriedOnAnotherServer)
{
    FakeBackend first(breakOff);
    FakeBackend second(answerPlainly);
    CallerSetup setup({}, {&first, &second});
    const std::string key = std::string("Authorization: Bearer ") + validKey + "\r\n";
    for (int i = 0; i < 4; ++i) {
        const std::string answer = setup.exchange(requestText("GET /s/" + std::to_string(i), "", key));
        EXPECT_EQ(statusOf(answer), 200);
    }
}

TEST(CallerHandler, ASilentServerEndsAtTheProgressDeadline)
{
    FakeBackend silent(staySilent);
    CallerSetup setup({}, {&silent});
    const PausedClock paused;
    RawClient client(setup.endpoint());
    client.send(deposit());
    while (silent.requests().empty()) {
        std::this_thread::yield();
    }
    // The handler may not yet wait for the answer when the server has the request.
    while (!client.hasInput()) {
        RuntimeClock::advance(CallerOptions().headTimeout);
        std::this_thread::yield();
    }
    const std::string answer = client.readAll();
    EXPECT_EQ(statusOf(answer), 504);
    EXPECT_TRUE(has(answer, "X-Flamingosaddle-Run-State: unknown"));
}

TEST(CallerHandler, ClaimsDecideWhetherANamedRequestRuns)
{
    FakeBackend service(answerPlainly);
    const std::string named = deposit("Idempotency-Key: i\r\n");
    std::promise<ClaimOutcome> settled;
    {
        CallerSetup setup({}, {&service}, claiming(ClaimRun{[&settled](ClaimOutcome outcome) {
            settled.set_value(std::move(outcome));
        }}));
        EXPECT_EQ(statusOf(setup.exchange(named)), 200);
        const ClaimOutcome outcome = settled.get_future().get();
        EXPECT_EQ(outcome.state, ClaimOutcome::State::Answered);
        EXPECT_EQ(outcome.answer.body, R"({"ran":true})");
    }
    CallerSetup answered({}, {&service}, claiming(ClaimAnswered{jsonResponse(201, "stored")}));
    EXPECT_TRUE(has(answered.exchange(named), "stored"));
    CallerSetup started({}, {&service}, claiming(ClaimStarted()));
    const std::string unknown = started.exchange(named);
    EXPECT_TRUE(statusOf(unknown) == 409 && has(unknown, "X-Flamingosaddle-Run-State: unknown"));
    CallerSetup unavailable({}, {&service}, claiming(ClaimUnavailable{std::chrono::seconds(7)}));
    const std::string later = unavailable.exchange(named);
    EXPECT_TRUE(statusOf(later) == 503 && has(later, "Retry-After: 7") && has(later, "not-run"));
    EXPECT_EQ(service.requests().size(), 1U);
}

TEST(CallerHandler, AWithdrawnKeyCutsRunningAndKeptAliveConnections)
{
    FakeBackend engine(streamOf(1));
    FakeBackend silent(staySilent);
    CallerSetup setup({&engine}, {&silent});
    RawClient idle(setup.endpoint());
    idle.send("GET /v1/models HTTP/1.1\r\nAuthorization: Bearer " + std::string(validKey) + "\r\n\r\n");
    EXPECT_EQ(statusOf(idle.readUntil("}]")), 200);
    RawClient running(setup.endpoint());
    running.send(deposit());
    while (silent.requests().empty()) {
        std::this_thread::yield();
    }
    EXPECT_EQ(setup.keys.connectionCount(KeyId("k")), 2U);
    setup.withdrawKey();
    EXPECT_EQ(running.readAll(), "");
    idle.readAll();
    EXPECT_EQ(statusOf(setup.exchange(deposit())), 401);
}

TEST(CallerHandler, AnAnswerOverTheBufferIsPassedOnInPieces)
{
    const std::string large(100'000, 'x');
    FakeBackend service([&large](HttpExchange &exchange) -> awaitable<void> {
        const Result<void> written = co_await exchange.respond(jsonResponse(200, large));
        EXPECT_TRUE(written.has_value());
    });
    CallerOptions options;
    options.maxBufferedAnswerBytes = 1000;
    CallerSetup setup({}, {&service}, {}, options);
    const std::string answer = setup.exchange(deposit());
    EXPECT_TRUE(has(answer, "Transfer-Encoding: chunked") && answer.ends_with("0\r\n\r\n"));
    EXPECT_EQ(std::count(answer.begin() + static_cast<std::ptrdiff_t>(answer.find("\r\n\r\n")), answer.end(), 'x'), 100'000);
}
