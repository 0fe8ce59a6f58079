// Decisions that a request needs before it may run and that are not made in time. Guards against requests that are not answered
// at their deadline because they wait for a claim or for the software version of their stream.

#include "callerfixture.h"

#include <flamingosaddle/base/delay.h>

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace
{

constexpr auto deadline = 1s;
constexpr auto decisionDelay = 1h;
constexpr auto clockStep = 50ms;
constexpr Duration latestAnswer = deadline + 2 * clockStep; ///< the clock moves on in steps

/** Routes every request with the deadline; @p resumed is the request whose stream it resumes, if not empty. */
ProtocolAdapter adapterWithDeadline(const std::string &resumed = {})
{
    ProtocolAdapter adapter = openAiAdapter(secret, RequestClass());
    adapter.route = [route = adapter.route, resumed](const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now) {
        Result<RoutedRequest> routed = route(snapshot, request, now);
        if (routed.has_value()) {
            routed.value().profile.requestClass.deadline = deadline;
            routed.value().resumable = !resumed.empty();
            routed.value().resumeAfter = resumed.empty() ? 0 : 3;
            routed.value().resumedRequest = resumed;
        }
        return routed;
    };
    return adapter;
}

/** The reported outcomes of claimed requests. Thread-safe. */
class ClaimOutcomes
{
public:
    void add(const ClaimOutcome &outcome)
    {
        const std::scoped_lock lock(this->mutex);
        this->states.push_back(outcome.state);
    }

    std::vector<ClaimOutcome::State> list() const
    {
        const std::scoped_lock lock(this->mutex);
        return this->states;
    }

private:
    mutable std::mutex mutex;
    std::vector<ClaimOutcome::State> states;
};

/** Sends a request, and moves the clock on until it is answered or several deadlines have passed. */
class WaitingCaller
{
public:
    WaitingCaller(CallerFixture &setup, const std::string &request)
        : answer(std::async(std::launch::async, [&setup, request]() {
            return setup.exchange(request);
        }))
    {
        constexpr int repetitions = 100; // long enough for timers to notice that the clock moved on
        for (; this->passed < 5 * deadline; this->passed += clockStep) {
            for (int i = 0; i < repetitions; ++i) {
                setup.thread.settle();
                if (this->answer.wait_for(1ms) == std::future_status::ready) {
                    this->response = this->answer.get();
                    return;
                }
            }
            RuntimeClock::advance(clockStep);
        }
        RuntimeClock::advance(decisionDelay); // ends the wait
    }

    std::optional<std::string> response; ///< nothing if there was none after several deadlines
    Duration passed = Duration::zero(); ///< clock time from the request to the response

private:
    std::future<std::string> answer;
};

} // namespace

TEST(DecisionWait, AClaimThatIsNotDecidedIsRefusedAtTheDeadline)
{
    const PausedClock paused;
    const auto outcomes = std::make_shared<ClaimOutcomes>();
    CallerHooks hooks;
    hooks.claim = [outcomes](const ClaimRequest &) -> awaitable<ClaimDecision> {
        co_await delay(decisionDelay);
        co_return ClaimGranted{[outcomes](const ClaimOutcome &outcome) {
            outcomes->add(outcome);
        }};
    };
    const FakeBackend service(neverRespond);
    CallerFixture setup({}, {&service}, hooks, {}, adapterWithDeadline());
    const std::string request
        = requestText("POST /s/deposit", "{}", std::string("Authorization: Bearer ") + validKey + "\r\nIdempotency-Key: i\r\n");
    const WaitingCaller caller(setup, request);
    ASSERT_TRUE(caller.response.has_value());
    EXPECT_LE(caller.passed, latestAnswer);
    EXPECT_EQ(statusOf(*caller.response), 503) << *caller.response;
    EXPECT_NE(caller.response->find("X-Flamingosaddle-Run-State: not-run"), std::string::npos) << *caller.response;
    EXPECT_NE(caller.response->find("Retry-After"), std::string::npos) << *caller.response;
    RuntimeClock::advance(decisionDelay);
    while (outcomes->list().empty()) {
        setup.thread.settle();
    }
    EXPECT_EQ(outcomes->list(), std::vector{ClaimOutcome::State::NotRun}) << "another request may use the key";
    EXPECT_TRUE(service.requests().empty());
}

// Guards against a drain that closes the connections of requests which have not run.
TEST(DecisionWait, ARequestThatWaitsForItsClaimIsRefusedAtTheEndOfADrain)
{
    for (const bool isDrainingBefore : {false, true}) {
        const PausedClock paused;
        std::promise<void> asked;
        CallerHooks hooks;
        hooks.claim = [&asked](const ClaimRequest &) -> awaitable<ClaimDecision> {
            asked.set_value();
            co_await delay(decisionDelay);
            co_return ClaimUnavailable();
        };
        const FakeBackend service(neverRespond);
        CallerFixture setup({}, {&service}, hooks);
        const std::string request = requestText(
            "POST /s/deposit", "{}", std::string("Authorization: Bearer ") + validKey + "\r\nIdempotency-Key: i\r\n");
        if (isDrainingBefore) {
            setup.limitDeadlines(RuntimeClock::now() + deadline);
            setup.thread.settle();
        }
        const std::future<void> isAsked = asked.get_future();
        std::future<void> drain = std::async(std::launch::async, [&]() {
            isAsked.wait();
            setup.limitDeadlines(RuntimeClock::now() + deadline);
        });
        const WaitingCaller caller(setup, request);
        drain.get();
        ASSERT_TRUE(caller.response.has_value()) << isDrainingBefore;
        EXPECT_LE(caller.passed, latestAnswer) << isDrainingBefore;
        EXPECT_EQ(statusOf(*caller.response), 503) << *caller.response;
        EXPECT_NE(caller.response->find("X-Flamingosaddle-Run-State: not-run"), std::string::npos) << *caller.response;
    }
}

TEST(DecisionWait, AStreamWhoseVersionIsNotFoundInTimeIsRefusedAtTheDeadline)
{
    const PausedClock paused;
    CallerHooks hooks;
    hooks.streamVersion = [](const std::string &, const ServiceName &) -> awaitable<StreamVersion> {
        co_await delay(decisionDelay);
        co_return StreamVersion{true, "v1", ""};
    };
    const FakeBackend engine(neverRespond);
    CallerFixture setup({&engine}, {}, hooks, {}, adapterWithDeadline("first"));
    const WaitingCaller caller(setup, chatRequest());
    ASSERT_TRUE(caller.response.has_value());
    EXPECT_LE(caller.passed, latestAnswer);
    EXPECT_EQ(statusOf(*caller.response), 503) << *caller.response;
    EXPECT_NE(caller.response->find("X-Flamingosaddle-Run-State: not-run"), std::string::npos) << *caller.response;
    EXPECT_NE(caller.response->find("Retry-After"), std::string::npos) << *caller.response;
    EXPECT_TRUE(engine.requests().empty());
}
