#include "callerfixture.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <algorithm>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace
{

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/** Returns the concatenated tokens "t0", "t1", ... of a streamed response, in their order. */
std::string tokensIn(const std::string &response)
{
    std::string tokens;
    constexpr std::string_view marker = "\"content\":\"";
    for (std::size_t at = response.find(marker); at != std::string::npos; at = response.find(marker, at + 1)) {
        const std::size_t start = at + marker.size();
        tokens += response.substr(start, response.find('"', start) - start);
    }
    return tokens;
}

/** Records the calls of a handler's hooks. */
struct HookRecorder {
    std::mutex mutex;
    std::vector<UsageEvent> usages;
    std::vector<RequestOutcome> outcomes;
    std::vector<std::string> steps;

    CallerHooks hooks()
    {
        CallerHooks hooks;
        hooks.onUsage = [this](const UsageEvent &event) {
            const std::scoped_lock lock(this->mutex);
            this->usages.push_back(event);
        };
        hooks.onOutcome = [this](const RequestOutcome &outcome) {
            const std::scoped_lock lock(this->mutex);
            this->outcomes.push_back(outcome);
        };
        hooks.onStep = [this](RequestStep step) {
            const std::scoped_lock lock(this->mutex);
            this->steps.emplace_back(toString(step));
        };
        return hooks;
    }

    /** Waits for the first outcome, which is recorded after the caller has received the response. */
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

awaitable<void> respondWithJson(HttpExchange &exchange)
{
    const Result<void> written = co_await exchange.respond(jsonResponse(200, R"({"ran":true})"));
    EXPECT_TRUE(written.has_value());
}

awaitable<void> closeConnection(HttpExchange &exchange)
{
    exchange.abortHandle()();
    co_return;
}

std::string depositRequest(const std::string &headers = {})
{
    return requestText("POST /s/deposit", "{}", std::string("Authorization: Bearer ") + validKey + "\r\n" + headers);
}

CallerHooks claimHooks(ClaimDecision result)
{
    CallerHooks hooks;
    hooks.claim = [result = std::move(result)](const ClaimRequest &request) -> awaitable<ClaimDecision> {
        EXPECT_EQ(request.idempotencyKey, "i");
        co_return result;
    };
    return hooks;
}

} // namespace

TEST(CallerHandler, AServerWithARejectionLimitIsNotAskedAgainAtOnce)
{
    const FakeBackend service([](HttpExchange &exchange) -> awaitable<void> {
        HttpResponse response = jsonResponse(503, "{}");
        response.headers.add("X-Rejection-Limit", "2");
        const Result<void> written = co_await exchange.respond(std::move(response));
        EXPECT_TRUE(written.has_value());
    });
    ProtocolAdapter adapter = openAiAdapter(secret, RequestClass());
    adapter.checkResponse = [](const HttpRequest &, const HttpResponseHead &head) {
        return head.status == 503 ? ResponseCheck::NotExecuted : ResponseCheck::Valid;
    };
    adapter.rejectionLimit = [](const HttpHeaders &headers) {
        return parseRejectionLimit(headers.find("X-Rejection-Limit"));
    };
    adapter.route = [route = adapter.route](const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now) {
        Result<RoutedRequest> routed = route(snapshot, request, now);
        routed.value().profile.requestClass.deadline = 1s;
        return routed;
    };
    const CallerFixture setup({}, {&service}, {}, {}, adapter);
    const std::string response = setup.exchange(requestText("GET /open/x", ""));
    EXPECT_EQ(statusOf(response), 503) << response;
    EXPECT_TRUE(contains(response, "X-Flamingosaddle-Run-State: not-run")) << response;
    EXPECT_EQ(service.requests().size(), 1U) << "each further rejection brings the server closer to its failure";
}

TEST(CallerHandler, StreamsTokensAndForwardsNoCredentials)
{
    FakeBackend engine(streamTokens(3));
    HookRecorder recorder;
    CallerFixture setup({&engine}, {}, recorder.hooks());
    const std::string response = setup.exchange(chatRequest("Cookie: c=1\r\nProxy-Authorization: x\r\nX-Other: y\r\n"));
    EXPECT_EQ(statusOf(response), 200);
    EXPECT_EQ(tokensIn(response), "t0t1t2");
    EXPECT_TRUE(contains(response, "data: [DONE]") && response.ends_with("0\r\n\r\n"));
    EXPECT_TRUE(contains(response, "X-Request-Id: ") && contains(response, "traceparent: 00-"));

    const HttpHeaders seen = engine.requests().at(0).headers;
    for (const char *name : {"Authorization", "Cookie", "Proxy-Authorization", "X-Other", "Connection"}) {
        EXPECT_FALSE(seen.has(name)) << name;
    }
    EXPECT_EQ(seen.find("X-Flamingosaddle-Priority"), "1");
    EXPECT_TRUE(contains(response, std::string(seen.find("X-Request-Id"))));

    const RequestOutcome outcome = recorder.firstOutcome();
    EXPECT_TRUE(outcome.complete);
    EXPECT_EQ(outcome.relayedTokens, 3U);
    EXPECT_EQ(outcome.className, ClassName("chat"));
    ASSERT_EQ(outcome.traffic.size(), 1U);
    EXPECT_EQ(outcome.traffic[0].sentBytes, engine.requests().at(0).body.size());
    EXPECT_GT(outcome.traffic[0].receivedBytes, 3 * std::string_view("data: ").size());
    ASSERT_EQ(recorder.usages.size(), 1U);
    EXPECT_EQ(recorder.usages[0].promptTokens, 11U);
    EXPECT_EQ(recorder.usages[0].completionTokens, 3U);
    EXPECT_EQ(recorder.steps.front(), "accept");
    EXPECT_EQ(recorder.steps.back(), "last_byte");
}

TEST(CallerHandler, RefusesWithAStatusAndARemedy)
{
    FakeBackend engine(streamTokens(1));
    CallerFixture setup({&engine}, {});
    const std::string key = std::string("Authorization: Bearer ") + validKey + "\r\n";
    const std::string chat = "POST /v1/chat/completions";
    const std::string body = R"({"model":"m"})";
    const std::vector<std::pair<std::string, int>> cases = {{requestText(chat, body), 401},
        {requestText(chat, body, "Authorization: Bearer other\r\n"), 401}, {requestText("GET /nowhere", "", key), 404},
        {requestText(chat, "{", key), 400}, {requestText(chat, R"({"model":"none"})", key), 404},
        {requestText(chat, R"({"model":"hidden"})", key), 403}, {requestText("GET /v1/completions", "", key), 400},
        {requestText(chat, body, key + "X-Flamingosaddle-Class: none\r\n"), 400}, {requestText("GET /s/x", "", key), 503}};
    for (const auto &[request, status] : cases) {
        const std::string response = setup.exchange(request);
        EXPECT_EQ(statusOf(response), status) << request << response;
        EXPECT_TRUE(contains(response, "X-Flamingosaddle-Run-State: not-run")) << response;
        const nlohmann::json error = nlohmann::json::parse(response.substr(response.find("\r\n\r\n") + 4)).at("error");
        EXPECT_TRUE(contains(error.at("message"), "; ")) << error;
        EXPECT_EQ(error.at("type"), error.at("code"));
        EXPECT_EQ(contains(response, "Retry-After"), status == 503);
    }
    EXPECT_TRUE(engine.requests().empty());
}

TEST(CallerHandler, RefusesKeyedRequestsWhenTheConfigurationIsNotFresh)
{
    FakeBackend service(respondWithJson);
    CallerFixture setup({}, {&service});
    setup.publish(RuntimeClock::now() - std::chrono::seconds(1));
    const std::string response = setup.exchange(depositRequest());
    EXPECT_EQ(statusOf(response), 503);
    EXPECT_TRUE(contains(response, "Retry-After") && contains(response, "not-run"));
    EXPECT_EQ(statusOf(setup.exchange(requestText("GET /open", ""))), 200);
}

TEST(CallerHandler, ListsThePermittedModels)
{
    FakeBackend engine(streamTokens(1));
    CallerFixture setup({&engine}, {});
    const std::string response
        = setup.exchange(requestText("GET /v1/models", "", std::string("Authorization: bearer ") + validKey + "\r\n"));
    EXPECT_TRUE(contains(response, "\"m\""));
    EXPECT_FALSE(contains(response, "hidden"));
}

TEST(CallerHandler, ResumesAnInterruptedStreamOnAnotherEngine)
{
    FakeBackend first(streamTokens(5, 2));
    FakeBackend second(streamTokens(5, 2));
    HookRecorder recorder;
    CallerFixture setup({&first, &second}, {}, recorder.hooks());
    const std::string response = setup.exchange(chatRequest());
    EXPECT_EQ(tokensIn(response), "t0t1t2t3t4");
    EXPECT_TRUE(contains(response, "data: [DONE]") && response.ends_with("0\r\n\r\n"));
    ASSERT_EQ(first.requests().size(), 1U);
    ASSERT_EQ(second.requests().size(), 1U);
    const std::string resume = "\"flamingosaddle_resume_tokens\":2";
    EXPECT_NE(contains(first.requests()[0].body, resume), contains(second.requests()[0].body, resume));
    const RequestOutcome outcome = recorder.firstOutcome();
    EXPECT_EQ(outcome.relayedTokens, 5U);
    EXPECT_EQ(outcome.wastedTokens, 0U);
    EXPECT_EQ(outcome.attempts, 2U);
}

TEST(CallerHandler, AnInterruptedStreamNeverEndsAsACompleteOne)
{
    FakeBackend engine(streamTokens(5, 2));
    HookRecorder recorder;
    CallerFixture setup({&engine}, {}, recorder.hooks());
    const std::string response = setup.exchange(chatRequest("X-Flamingosaddle-Class: once\r\n"));
    EXPECT_EQ(tokensIn(response), "t0t1");
    EXPECT_TRUE(contains(response, "data: {\"error\""));
    EXPECT_FALSE(contains(response, "[DONE]"));
    EXPECT_FALSE(response.ends_with("0\r\n\r\n"));
    EXPECT_EQ(engine.requests().size(), 1U);
    const RequestOutcome outcome = recorder.firstOutcome();
    EXPECT_EQ(outcome.wastedTokens, 2U);
    EXPECT_EQ(outcome.runState, RunState::Unknown);
}

TEST(CallerHandler, ANonIdempotentRequestIsSentOnceAndItsFailureIsUnknown)
{
    FakeBackend first(closeConnection);
    FakeBackend second(closeConnection);
    CallerFixture setup({}, {&first, &second});
    const std::string response = setup.exchange(depositRequest());
    EXPECT_EQ(statusOf(response), 502);
    EXPECT_TRUE(contains(response, "X-Flamingosaddle-Run-State: unknown"));
    EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
}

TEST(CallerHandler, AnIdempotentRequestIsRetriedOnAnotherServer)
{
    FakeBackend first(closeConnection);
    FakeBackend second(respondWithJson);
    CallerFixture setup({}, {&first, &second});
    const std::string key = std::string("Authorization: Bearer ") + validKey + "\r\n";
    for (int i = 0; i < 4; ++i) {
        const std::string response = setup.exchange(requestText("GET /s/" + std::to_string(i), "", key));
        EXPECT_EQ(statusOf(response), 200);
    }
}

TEST(CallerHandler, AServerWithoutAResponseTimesOut)
{
    FakeBackend silent(neverRespond);
    CallerFixture setup({}, {&silent});
    const PausedClock paused;
    RawClient client(setup.endpoint());
    client.send(depositRequest());
    while (silent.requests().empty()) {
        std::this_thread::yield();
    }
    // The handler may start to wait for the response after the server has received the request, so time advances repeatedly.
    while (!client.hasInput()) {
        RuntimeClock::advance(CallerOptions().headTimeout);
        std::this_thread::yield();
    }
    const std::string response = client.readAll();
    EXPECT_EQ(statusOf(response), 504);
    EXPECT_TRUE(contains(response, "X-Flamingosaddle-Run-State: unknown"));
}

TEST(CallerHandler, ClaimsDecideWhetherARequestWithAnIdempotencyKeyRuns)
{
    FakeBackend service(respondWithJson);
    const std::string keyed = depositRequest("Idempotency-Key: i\r\n");
    std::promise<ClaimOutcome> settled;
    {
        CallerFixture setup({}, {&service}, claimHooks(ClaimGranted{[&settled](ClaimOutcome outcome) {
            settled.set_value(std::move(outcome));
        }}));
        EXPECT_EQ(statusOf(setup.exchange(keyed)), 200);
        const ClaimOutcome outcome = settled.get_future().get();
        EXPECT_EQ(outcome.state, ClaimOutcome::State::Completed);
        EXPECT_EQ(outcome.response.body, R"({"ran":true})");
    }
    CallerFixture answered({}, {&service}, claimHooks(ClaimCompleted{jsonResponse(201, "stored")}));
    EXPECT_TRUE(contains(answered.exchange(keyed), "stored"));
    CallerFixture started({}, {&service}, claimHooks(ClaimOutcomeUnknown()));
    const std::string inDoubt = started.exchange(keyed);
    EXPECT_TRUE(statusOf(inDoubt) == 409 && contains(inDoubt, "X-Flamingosaddle-Run-State: unknown"));
    CallerFixture unavailable({}, {&service}, claimHooks(ClaimUnavailable{std::chrono::seconds(7)}));
    const std::string later = unavailable.exchange(keyed);
    EXPECT_TRUE(statusOf(later) == 503 && contains(later, "Retry-After: 7") && contains(later, "not-run"));
    EXPECT_EQ(service.requests().size(), 1U);
}

TEST(CallerHandler, AWithdrawnKeyClosesActiveAndIdleConnections)
{
    FakeBackend engine(streamTokens(1));
    FakeBackend silent(neverRespond);
    CallerFixture setup({&engine}, {&silent});
    RawClient idle(setup.endpoint());
    idle.send("GET /v1/models HTTP/1.1\r\nAuthorization: Bearer " + std::string(validKey) + "\r\n\r\n");
    EXPECT_EQ(statusOf(idle.readUntil("}]")), 200);
    RawClient running(setup.endpoint());
    running.send(depositRequest());
    while (silent.requests().empty()) {
        std::this_thread::yield();
    }
    EXPECT_EQ(setup.connections.connectionCount(KeyId("k")), 2U);
    setup.withdrawKey();
    EXPECT_EQ(running.readAll(), "");
    idle.readAll();
    EXPECT_EQ(statusOf(setup.exchange(depositRequest())), 401);
}

TEST(CallerHandler, AResponseOverTheBufferLimitIsStreamed)
{
    const std::string large(100'000, 'x');
    FakeBackend service([&large](HttpExchange &exchange) -> awaitable<void> {
        const Result<void> written = co_await exchange.respond(jsonResponse(200, large));
        EXPECT_TRUE(written.has_value());
    });
    CallerOptions options;
    options.maxBufferedResponseBytes = 1000;
    CallerFixture setup({}, {&service}, {}, options);
    const std::string response = setup.exchange(depositRequest());
    EXPECT_TRUE(contains(response, "Transfer-Encoding: chunked") && response.ends_with("0\r\n\r\n"));
    EXPECT_EQ(
        std::count(response.begin() + static_cast<std::ptrdiff_t>(response.find("\r\n\r\n")), response.end(), 'x'), 100'000);
}

TEST(CallerHandler, AnUnavailableServerGetsNoRequestUntilTheTimeThatItNamed)
{
    const auto rejecting = [](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        HttpResponse response = jsonResponse(503, "{}");
        response.headers.add("Retry-After", "600");
        const Result<void> ignored = co_await exchange.respond(std::move(response));
    };
    FakeBackend first(rejecting);
    FakeBackend second(rejecting);
    ProtocolAdapter adapter = openAiAdapter(secret, RequestClass());
    adapter.checkResponse = [](const HttpRequest &, const HttpResponseHead &head) {
        return head.status == 503 ? ResponseCheck::NotExecuted : ResponseCheck::Valid;
    };
    CallerFixture fixture({}, {&first, &second}, {}, {}, adapter);
    EXPECT_EQ(statusOf(fixture.exchange(requestText("GET /open/x", ""))), 503);
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(statusOf(fixture.exchange(requestText("GET /open/x", ""))), 429) << "refused by the forecast";
    }
    EXPECT_LE(first.requests().size(), 1U);
    EXPECT_LE(second.requests().size(), 1U);
    EXPECT_EQ(first.requests().size() + second.requests().size(), 2U);
}

TEST(ProtocolAdapter, ReadsThePauseThatAServerAsksFor)
{
    const auto pause = [](int status, const std::string &value) {
        return requestedPause({status, {{"Retry-After", value}}});
    };
    EXPECT_EQ(pause(503, "2"), Duration(2s));
    EXPECT_EQ(pause(503, "0.5"), Duration(500ms));
    EXPECT_EQ(pause(200, "2"), std::nullopt);
    EXPECT_EQ(requestedPause({503, {}}), std::nullopt);
    EXPECT_GT(pause(503, "99999999999999999999"), Duration(1h));
    for (const char *invalid : {"", "-1", "inf", "1 s", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        EXPECT_EQ(pause(503, invalid), std::nullopt) << invalid;
    }
}

TEST(CallerHandler, OnlyARegularResponseLiftsTheRateLimitOfAServer)
{
    std::atomic<int> status = 200;
    std::atomic<bool> statesLimit = true;
    FakeBackend service([&](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        HttpResponse response = jsonResponse(status, "{}");
        if (statesLimit) {
            response.headers.add("X-Flamingosaddle-Rate-Limit", "1000");
        }
        const Result<void> ignored = co_await exchange.respond(std::move(response));
    });
    ProtocolAdapter adapter = openAiAdapter(secret, RequestClass());
    adapter.checkResponse = [](const HttpRequest &, const HttpResponseHead &head) {
        return head.status == 503 ? ResponseCheck::NotExecuted : ResponseCheck::Valid;
    };
    CallerFixture fixture({}, {&service}, {}, {}, adapter);
    const std::string request = requestText("GET /open/x", "");
    EXPECT_EQ(fixture.asyncDispatcher().rateLimitedCount(), 0U);
    const std::string limited = fixture.exchange(request);
    EXPECT_EQ(statusOf(limited), 200);
    EXPECT_EQ(limited.find("Rate-Limit"), std::string::npos) << "it concerns the router only";
    EXPECT_EQ(fixture.asyncDispatcher().rateLimitedCount(), 1U);
    statesLimit = false;
    status = 503;
    fixture.exchange(request);
    EXPECT_EQ(fixture.asyncDispatcher().rateLimitedCount(), 1U) << "a rejection need not know the limit";
    status = 200;
    EXPECT_EQ(statusOf(fixture.exchange(request)), 200);
    EXPECT_EQ(fixture.asyncDispatcher().rateLimitedCount(), 0U);
}

// Guards against servers that get requests again beyond the limit, because resends of some kind are not counted.
TEST(CallerHandler, AllResendsTogetherKeepTheirLimit)
{
    std::atomic<unsigned> arrivals = 0;
    const FakeBackend::Handler closeEachSecond = [&arrivals](HttpExchange &exchange) -> awaitable<void> {
        if (++arrivals % 2 == 0) {
            exchange.abortHandle()();
            co_return;
        }
        const Result<void> ignored = co_await exchange.respond(jsonResponse(200, "{}"));
    };
    const FakeBackend first(closeEachSecond);
    const FakeBackend second(closeEachSecond);
    DispatcherOptions dispatcherOptions;
    dispatcherOptions.retryPercent = 100;
    dispatcherOptions.maxAttempts = 4;
    dispatcherOptions.resendLimit = {10s, 0.2, 0};
    const PausedClock paused;
    const CallerFixture setup({}, {&first, &second}, {}, {}, openAiAdapter(secret, RequestClass()), dispatcherOptions);
    constexpr unsigned requests = 100;
    for (unsigned i = 0; i < requests; ++i) {
        setup.exchange(requestText("GET /open/lookup", ""));
    }
    EXPECT_GT(arrivals, requests) << "resends are limited, not forbidden";
    EXPECT_LE(arrivals, requests + requests / 5);
}
