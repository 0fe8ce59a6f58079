// Requests that a caller sends on one connection without waiting for the answers. Guards against deadlines that begin only when
// the answer before has been sent.

#include "callerfixture.h"

#include <gtest/gtest.h>

#include <future>
#include <string>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using namespace std::chrono_literals;

namespace
{

constexpr auto deadline = 1s;
constexpr auto clockStep = 50ms;
constexpr int requests = 4;

ProtocolAdapter adapterWithDeadline()
{
    ProtocolAdapter adapter = openAiAdapter(secret, RequestClass());
    adapter.route = [route = adapter.route](const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now) {
        Result<RoutedRequest> routed = route(snapshot, request, now);
        if (routed.has_value()) {
            routed.value().profile.requestClass.deadline = deadline;
        }
        return routed;
    };
    return adapter;
}

std::string depositText(int number, bool isLast)
{
    const std::string connection = isLast ? "Connection: close\r\n" : "";
    return "POST /s/deposit" + std::to_string(number) + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + validKey
        + "\r\nContent-Length: 0\r\n" + connection + "\r\n";
}

int countAnswers(const std::string &responses)
{
    int count = 0;
    for (std::size_t position = responses.find("HTTP/1.1 50"); position != std::string::npos;
         position = responses.find("HTTP/1.1 50", position + 1)) {
        ++count;
    }
    return count;
}

/** Sends the requests with @p pause between them and returns the clock time until all are answered, if they are. */
std::optional<Duration> timeToAnswers(Duration pause)
{
    const PausedClock paused;
    const FakeBackend service(neverRespond);
    CallerOptions options;
    options.headTimeout = 1h;
    CallerFixture setup({}, {&service}, {}, options, adapterWithDeadline());
    RawClient client(setup.endpoint());
    for (int i = 0; i < requests; ++i) {
        client.send(depositText(i, i + 1 == requests));
        setup.thread.settle();
        if (i == 0) {
            while (service.requests().empty()) {
                setup.thread.settle();
            }
        }
        RuntimeClock::advance(i + 1 < requests ? pause : Duration::zero());
    }
    std::future<std::string> answers = std::async(std::launch::async, [&client]() {
        return client.readAll();
    });
    constexpr int repetitions = 100; // long enough for timers to notice that the clock moved on
    for (Duration passed = Duration::zero(); passed < 3 * requests * deadline; passed += clockStep) {
        for (int i = 0; i < repetitions; ++i) {
            setup.thread.settle();
            if (answers.wait_for(1ms) == std::future_status::ready) {
                EXPECT_EQ(countAnswers(answers.get()), requests);
                return passed;
            }
        }
        RuntimeClock::advance(clockStep);
    }
    return std::nullopt;
}

} // namespace

TEST(Pipelining, RequestsSentTogetherAreAnsweredAtTheDeadline)
{
    const std::optional<Duration> passed = timeToAnswers(Duration::zero());
    ASSERT_TRUE(passed.has_value());
    EXPECT_LE(*passed, deadline + 2 * clockStep);
}

TEST(Pipelining, EachRequestIsAnsweredAtItsOwnDeadline)
{
    const std::optional<Duration> passed = timeToAnswers(deadline / 10);
    ASSERT_TRUE(passed.has_value());
    EXPECT_LE(*passed, deadline + 2 * clockStep);
    EXPECT_GE(*passed, deadline - 2 * clockStep) << "the last one has its whole time";
}
