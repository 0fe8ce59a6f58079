// Requests of an instance without a path to the backend servers, which peers serve. Guards against requests that run twice, are
// forwarded more than once, are counted twice or go on after their caller has left, and against refusals that wrongly say that
// nothing ran.

#include "callerfixture.h"
#include "forwarding.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <vector>

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

/** Returns the text of a request to the plain service with the valid key. */
std::string serviceRequest(const std::string &line, const std::string &headers = {})
{
    return requestText(line, "{}", std::string("Authorization: Bearer ") + validKey + "\r\n" + headers);
}

std::string deposit()
{
    return serviceRequest("POST /s/deposit", "X-Flamingosaddle-Class: once\r\n");
}

awaitable<void> respond(HttpExchange &exchange)
{
    HttpResponse response = jsonResponse(200, R"({"ran":true})");
    response.headers.add("X-Signature", "signed");
    const Result<void> written = co_await exchange.respond(std::move(response));
    EXPECT_TRUE(written.has_value());
}

awaitable<void> breakOff(HttpExchange &exchange)
{
    exchange.abortHandle()();
    co_return;
}

/** Records what an instance reports of its requests. */
struct Recorder {
    std::mutex mutex;
    std::vector<RequestOutcome> outcomes;
    unsigned usages = 0;
    unsigned starts = 0;

    CallerHooks hooks()
    {
        CallerHooks hooks;
        hooks.onOutcome = [this](const RequestOutcome &outcome) {
            const std::scoped_lock lock(this->mutex);
            this->outcomes.push_back(outcome);
        };
        hooks.onUsage = [this](const UsageEvent &) {
            const std::scoped_lock lock(this->mutex);
            ++this->usages;
        };
        hooks.onStarted = [this](const ClientAccountId &, Duration) {
            const std::scoped_lock lock(this->mutex);
            ++this->starts;
        };
        return hooks;
    }

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

CallerOptions optionsOf(const std::string &instance)
{
    CallerOptions options;
    options.instance = InstanceId(instance);
    return options;
}

PeerPath peerAt(const std::string &instance, const Endpoint &address)
{
    return {InstanceId(instance), address, DataCentre("d"), {}};
}

void setPeers(const CallerFixture &fixture, const std::vector<PeerPath> &peers)
{
    fixture.asyncDispatcher().update([&peers](Dispatcher &dispatcher, TimePoint) {
        dispatcher.setPeerPaths(DataCentre("d"), peers);
    });
}

/** An instance "a" whose backend servers accept no connections, and the backend servers and instance "b" that serves. */
class Forward : public testing::Test
{
protected:
    Forward()
        : Forward(streamTokens(3), respond)
    {
    }

    Forward(FakeBackend::Handler engine, FakeBackend::Handler service)
        : goneEngine(streamTokens(3))
        , goneService(respond)
        , engine(std::move(engine))
        , service(std::move(service))
        , cutOff({&this->goneEngine}, {&this->goneService}, this->recorderOfA.hooks(), optionsOf("a"))
        , peer({&this->engine}, {&this->service}, this->recorderOfB.hooks(), optionsOf("b"))
    {
        this->goneEngine.stop();
        this->goneService.stop();
        this->cutOff.setPath(false);
        setPeers(this->cutOff, {peerAt("b", this->peer.forwardEndpoint())});
    }

    Recorder recorderOfA;
    Recorder recorderOfB;
    FakeBackend goneEngine;
    FakeBackend goneService;
    FakeBackend engine;
    FakeBackend service;
    CallerFixture cutOff;
    CallerFixture peer;
};

} // namespace

TEST_F(Forward, APeerServesTheRequestsOfAnInstanceWithoutAPath)
{
    const std::string stream = this->cutOff.exchange(chatRequest());
    EXPECT_EQ(statusOf(stream), 200) << stream;
    EXPECT_TRUE(contains(stream, "[DONE]")) << stream;
    const std::string answer = this->cutOff.exchange(deposit());
    EXPECT_EQ(statusOf(answer), 200) << answer;
    EXPECT_TRUE(contains(answer, "X-Signature: signed")) << answer;
    EXPECT_TRUE(answer.ends_with(R"({"ran":true})")) << answer;
    EXPECT_EQ(this->engine.requests().size(), 1U);
    EXPECT_EQ(this->service.requests().size(), 1U);
}

TEST_F(Forward, BothInstancesLogTheRequestAndOnlyThePeerCountsIt)
{
    this->cutOff.exchange(chatRequest());
    const RequestOutcome atOrigin = this->recorderOfA.firstOutcome();
    const RequestOutcome atPeer = this->recorderOfB.firstOutcome();
    EXPECT_EQ(atOrigin.forwardedTo, InstanceId("b"));
    EXPECT_EQ(atPeer.forwardedBy, InstanceId("a"));
    EXPECT_EQ(atOrigin.requestId, atPeer.requestId);
    EXPECT_TRUE(atOrigin.complete);
    EXPECT_TRUE(atPeer.complete);
    EXPECT_EQ(this->recorderOfA.usages + this->recorderOfA.starts, 0U);
    EXPECT_EQ(this->recorderOfB.usages, 1U);
    EXPECT_EQ(this->recorderOfB.starts, 1U);
}

TEST_F(Forward, APeerWithoutAPathDoesNotForwardTheRequestAgain)
{
    this->peer.setPath(false);
    this->engine.stop();
    const FakeBackend third(respond);
    setPeers(this->peer, {peerAt("c", third.endpoint())});
    const std::string refused = this->cutOff.exchange(chatRequest());
    EXPECT_EQ(statusOf(refused), 503) << refused;
    EXPECT_TRUE(contains(refused, "X-Flamingosaddle-Run-State: not-run")) << refused;
    EXPECT_TRUE(contains(refused, "Retry-After: 1")) << refused;
    EXPECT_FALSE(contains(refused, "Not-Taken")) << "the mark is for instances: " << refused;
    EXPECT_EQ(third.requests().size(), 0U);
}

TEST_F(Forward, AnotherPeerIsAskedIfOneIsGoneOrHasNoPath)
{
    FakeBackend gone(respond);
    gone.stop();
    FakeBackend deadEngine(streamTokens(3));
    deadEngine.stop();
    CallerFixture alsoCutOff({&deadEngine}, {&this->service}, {}, optionsOf("c"));
    alsoCutOff.setPath(false);
    for (int i = 0; i < 8; ++i) {
        setPeers(this->cutOff,
            {peerAt("gone", gone.endpoint()), peerAt("c", alsoCutOff.forwardEndpoint()),
                peerAt("b", this->peer.forwardEndpoint())});
        EXPECT_EQ(statusOf(this->cutOff.exchange(chatRequest())), 200);
    }
    EXPECT_EQ(this->engine.requests().size(), 8U);
}

TEST_F(Forward, APeerWithAnOlderConfigurationDoesNotServe)
{
    const FakeBackend added(streamTokens(3));
    this->cutOff.addEngine(added.endpoint());
    this->cutOff.asyncDispatcher().setServers({});
    BackendServer server;
    server.id = BackendServerId("gone");
    server.models = {ModelName("m")};
    server.slots = 8;
    this->cutOff.asyncDispatcher().setServers({server});
    const std::string refused = this->cutOff.exchange(chatRequest());
    EXPECT_EQ(statusOf(refused), 503) << refused;
    EXPECT_EQ(this->engine.requests().size(), 0U);
}

TEST_F(Forward, RefusalsOfThePeerReachTheCaller)
{
    this->peer.withdrawKey();
    EXPECT_EQ(statusOf(this->cutOff.exchange(chatRequest())), 401);
}

TEST_F(Forward, TheAddressForForwardedRequestsTakesNoOthers)
{
    RawClient client(this->peer.forwardEndpoint());
    client.send(chatRequest());
    EXPECT_EQ(statusOf(client.readAll()), 400);
}

TEST(Forwarded, AnInstanceLearnsFromAForwardedResponseThatItsServerLeaves)
{
    FakeBackend gone(respond);
    gone.stop();
    const FakeBackend leaving([](HttpExchange &exchange) -> awaitable<void> {
        HttpResponse response = jsonResponse(200, "{}");
        response.headers.add("X-Leaving", "1");
        const Result<void> ignored = co_await exchange.respond(std::move(response));
    });
    ProtocolAdapter adapter = openAiAdapter(secret, RequestClass());
    adapter.isServerLeaving = [](const HttpHeaders &headers) {
        return headers.has("X-Leaving");
    };
    std::mutex mutex;
    std::vector<BackendServerId> reported;
    CallerHooks hooks;
    hooks.onServerLeaving = [&mutex, &reported](const BackendServerId &server, TimePoint) {
        const std::scoped_lock lock(mutex);
        reported.push_back(server);
    };
    Recorder recorder;
    CallerFixture peer({}, {&leaving}, recorder.hooks(), optionsOf("b"), adapter);
    CallerFixture cutOff({}, {&gone}, hooks, optionsOf("a"), adapter);
    cutOff.setPath(false);
    setPeers(cutOff, {peerAt("b", peer.forwardEndpoint())});
    const std::string response = cutOff.exchange(serviceRequest("GET /s/lookup"));
    EXPECT_EQ(statusOf(response), 200) << response;
    EXPECT_FALSE(contains(response, "Served-By")) << "for instances only: " << response;
    const std::scoped_lock lock(mutex);
    EXPECT_EQ(reported, std::vector<BackendServerId>{recorder.firstOutcome().server}) << "it would use the server itself later";
}

TEST(ForwardFailure, ARequestIsNotHandedToASecondPeerWhenTheFirstIsLost)
{
    FakeBackend gone(respond);
    gone.stop();
    const FakeBackend lostPeer(breakOff);
    const FakeBackend secondPeer(respond);
    for (const std::string &request : {deposit(), serviceRequest("GET /s/lookup")}) {
        Recorder recorder;
        CallerFixture cutOff({}, {&gone}, recorder.hooks(), optionsOf("a"));
        cutOff.setPath(false);
        // The second peer is in another data centre, so the first is chosen.
        PeerPath second = peerAt("second", secondPeer.endpoint());
        second.dataCentre = DataCentre("other");
        setPeers(cutOff, {peerAt("lost", lostPeer.endpoint()), second});
        const std::string response = cutOff.exchange(request);
        EXPECT_EQ(statusOf(response), 502) << response;
        EXPECT_TRUE(contains(response, "X-Flamingosaddle-Run-State: unknown")) << response;
        EXPECT_EQ(recorder.firstOutcome().runState, RunState::Unknown);
    }
    EXPECT_EQ(lostPeer.requests().size(), 2U);
    EXPECT_EQ(secondPeer.requests().size(), 0U);
}

// Guards against resends that no instance counts: the next peer would take the request for one that no server has seen.
TEST(ForwardFailure, ARequestThatServersRejectedAtOnePeerIsNotLeftToAnother)
{
    FakeBackend gone(respond);
    gone.stop();
    std::atomic<AsyncDispatcher *> dispatcherOfPeer = nullptr;
    const FakeBackend rejecting([&dispatcherOfPeer](HttpExchange &exchange) -> awaitable<void> {
        dispatcherOfPeer.load()->update([](Dispatcher &dispatcher, TimePoint now) {
            dispatcher.drain(now);
        });
        HttpResponse response = jsonResponse(503, "{}");
        response.headers.add("Not-Executed", "1");
        const Result<void> ignored = co_await exchange.respond(std::move(response));
    });
    ProtocolAdapter adapter = openAiAdapter(secret, RequestClass());
    adapter.checkResponse = [](const HttpRequest &, const HttpResponseHead &head) {
        return head.headers.has("Not-Executed") ? ResponseCheck::NotExecuted : ResponseCheck::Valid;
    };
    CallerFixture peer({}, {&rejecting}, {}, optionsOf("b"), adapter);
    dispatcherOfPeer = &peer.asyncDispatcher();
    CallerFixture cutOff({}, {&gone}, {}, optionsOf("a"), adapter);
    const FakeBackend second(respond);
    cutOff.setPath(false);
    PeerPath other = peerAt("second", second.endpoint());
    other.dataCentre = DataCentre("other");
    setPeers(cutOff, {peerAt("b", peer.forwardEndpoint()), other});
    const std::string response = cutOff.exchange(deposit());
    EXPECT_EQ(statusOf(response), 503) << response;
    EXPECT_EQ(rejecting.requests().size(), 1U);
    EXPECT_EQ(second.requests().size(), 0U);
}

// Guards against a request that waits for the rest of a peer's refusal until its deadline.
TEST(ForwardFailure, ARefusalOfAPeerWhoseBodyNeverEndsIsOne)
{
    const PausedClock paused;
    FakeBackend gone(respond);
    gone.stop();
    ManualServer stuckPeer;
    CallerFixture cutOff({}, {&gone}, {}, optionsOf("a"));
    cutOff.setPath(false);
    setPeers(cutOff, {peerAt("stuck", stuckPeer.endpoint())});
    std::future<std::string> response = std::async(std::launch::async, [&cutOff]() {
        return cutOff.exchange(serviceRequest("GET /s/lookup"));
    });
    stuckPeer.acceptRequest();
    HttpHeaders headers{{"Content-Length", "100"}};
    markNotTaken(headers, true);
    std::string head = "HTTP/1.1 503 Service Unavailable\r\n";
    for (const HttpHeader &field : headers.fields()) {
        head += field.name + ": " + field.value + "\r\n";
    }
    stuckPeer.send(head + "\r\n");
    for (int i = 0; i < 100 && response.wait_for(5ms) != std::future_status::ready; ++i) {
        RuntimeClock::advance(10ms);
    }
    ASSERT_EQ(response.wait_for(0s), std::future_status::ready) << "it waits for the rest";
    EXPECT_EQ(statusOf(response.get()), 503);
}

// Guards against a caller without an answer while the server of a peer sends bytes that are no part of an answer.
TEST(ForwardFailure, ACallerIsAnsweredAtTheDeadlineWhileThePeersServerDoesNotEnd)
{
    constexpr int stepsPerDeadline = 20;
    constexpr int repetitions = 100; // long enough for timers to notice that the clock moved on
    const PausedClock paused;
    FakeBackend gone(respond);
    gone.stop();
    ManualServer endless;
    CallerOptions peerOptions = optionsOf("b");
    peerOptions.headTimeout = 1h;
    peerOptions.progressTimeout = 1h;
    CallerFixture cutOff({&gone}, {}, {}, optionsOf("a"));
    CallerFixture peer({}, {}, {}, peerOptions);
    peer.addEngine(endless.endpoint());
    cutOff.setPath(false);
    setPeers(cutOff, {peerAt("b", peer.forwardEndpoint())});
    std::future<std::string> response = std::async(std::launch::async, [&cutOff]() {
        return cutOff.exchange(chatRequest());
    });
    endless.acceptRequest();
    endless.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const Duration deadline = RequestClass().deadline;
    int steps = 0;
    for (int i = 0; response.wait_for(0s) != std::future_status::ready && steps < 2 * stepsPerDeadline; ++i) {
        endless.send("1");
        peer.thread.settle();
        cutOff.thread.settle();
        if (i % repetitions == repetitions - 1) {
            RuntimeClock::advance(deadline / stepsPerDeadline);
            ++steps;
        }
    }
    ASSERT_EQ(response.wait_for(0s), std::future_status::ready) << "not at the deadline, nor as long again after it";
    EXPECT_LE(steps, stepsPerDeadline + 2);
    EXPECT_GE(statusOf(response.get()), 502);
}

TEST(ForwardFailure, AStreamThatItsPeerBreaksOffDoesNotLookComplete)
{
    FakeBackend gone(streamTokens(3));
    gone.stop();
    const FakeBackend lostPeer(streamTokens(5, 2));
    CallerFixture cutOff({&gone}, {}, {}, optionsOf("a"));
    cutOff.setPath(false);
    setPeers(cutOff, {peerAt("lost", lostPeer.endpoint())});
    const std::string response = cutOff.exchange(chatRequest());
    EXPECT_EQ(statusOf(response), 200);
    EXPECT_TRUE(contains(response, "t0")) << response;
    EXPECT_FALSE(response.ends_with("0\r\n\r\n")) << response;
}

TEST(ForwardFailure, TheServerIsToldWhenTheCallerLeaves)
{
    FakeBackend gone(streamTokens(3));
    gone.stop();
    std::atomic<unsigned> left = 0;
    std::atomic<unsigned> arrived = 0;
    const FakeBackend engine([&left, &arrived](HttpExchange &exchange) -> awaitable<void> {
        ++arrived;
        co_await neverRespond(exchange);
        ++left;
    });
    CallerFixture peer({&engine}, {}, {}, optionsOf("b"));
    CallerFixture cutOff({&gone}, {}, {}, optionsOf("a"));
    cutOff.setPath(false);
    setPeers(cutOff, {peerAt("b", peer.forwardEndpoint())});
    {
        RawClient client(cutOff.endpoint());
        client.send(chatRequest());
        while (arrived == 0) {
            std::this_thread::yield();
        }
    }
    while (left == 0) {
        std::this_thread::yield();
    }
    EXPECT_EQ(arrived, 1U);
}

TEST(ForwardedRequest, TravelsBesideTheCallersOwnRequest)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/path?query";
    request.body = "body";
    request.headers = {{"Host", "x"}, {"Authorization", "Bearer key"}, {"Connection", "close, X-Hop"}, {"X-Hop", "1"},
        {"X-Flamingosaddle-Earlier-Attempts", "9"}, {"X-Other", "2"}};
    const ForwardedRequest forwarded{InstanceId("a"), "id", 1500ms, 2, 77};
    const HttpRequest sent = buildForwardedRequest(request, forwarded);
    EXPECT_EQ(sent.method, request.method);
    EXPECT_EQ(sent.target, request.target);
    EXPECT_EQ(sent.payload(), request.body);
    EXPECT_EQ(parseForwardedRequest(sent).value(), forwarded) << "a caller's own fields do not count";
    const HttpHeaders left{{"Host", "x"}, {"Authorization", "Bearer key"}, {"X-Other", "2"}};
    EXPECT_EQ(withoutForwardingFields(sent).headers, left);
}

TEST(ForwardedRequest, MalformedFieldsAreRefused)
{
    HttpRequest sent = buildForwardedRequest({}, {InstanceId("a"), "id", 0ms, 0, 0});
    EXPECT_TRUE(parseForwardedRequest(sent).has_value());
    for (const char *text : {"", "-1", "1x", "99999999999999999999"}) {
        sent.headers.set("X-Flamingosaddle-Elapsed-Ms", text);
        EXPECT_TRUE(parseForwardedRequest(sent).has_error()) << text;
    }
}

TEST(ForwardedRequest, TheTimeThatHasPassedCountsAgainstTheDeadline)
{
    const FakeBackend service(respond);
    Recorder recorder;
    CallerFixture peer({}, {&service}, recorder.hooks(), optionsOf("b"));
    RawClient client(peer.forwardEndpoint());
    client.send(serviceRequest("GET /s/lookup",
        "X-Flamingosaddle-Elapsed-Ms: 3600000\r\nX-Flamingosaddle-Earlier-Attempts: 0\r\n"
        "X-Flamingosaddle-Config-Offset: 0\r\n"));
    const std::string response = client.readAll();
    EXPECT_EQ(statusOf(response), 504) << response;
    EXPECT_EQ(recorder.firstOutcome().refusal, RefusalReason::DeadlineMissed);
}

// Guards against an age that counts from a time before this instance had the configuration.
TEST(ForwardedRequest, TheAgeOfTheConfigurationDoesNotCountTheTimeAtTheOtherInstance)
{
    const FakeBackend service(respond);
    Recorder recorder;
    CallerOptions options = optionsOf("b");
    options.freshnessLimit = 5s;
    CallerFixture peer({}, {&service}, recorder.hooks(), options);
    peer.publish(RuntimeClock::now() + options.freshnessLimit);
    RawClient client(peer.forwardEndpoint());
    client.send(serviceRequest("GET /s/lookup",
        "X-Flamingosaddle-Elapsed-Ms: 3600000\r\nX-Flamingosaddle-Earlier-Attempts: 0\r\n"
        "X-Flamingosaddle-Config-Offset: 0\r\n"));
    client.readAll();
    const std::optional<Duration> age = recorder.firstOutcome().configAge;
    ASSERT_TRUE(age.has_value());
    EXPECT_GE(*age, Duration::zero());
}
