/**
 * Measures the latency that the router adds to a request, compared with a direct connection to the same engines, and the
 * number of tokens that one core relays. Prints one JSON object per line: {"name", "value", "unit"}.
 */

#include "benchclient.h"
#include "benchengine.h"

#include <algorithm>
#include <cstdio>
#include <future>
#include <string>
#include <utility>
#include <vector>

using namespace flamingosaddle;
using namespace flamingosaddle::bench;
using namespace flamingosaddle::test;

namespace
{

constexpr int latencyRounds = 3000;
constexpr int pacedStreams = 16;
constexpr std::size_t engineCount = 4;
constexpr std::size_t clientThreads = 3;

void print(const std::string &name, double value, const char *unit)
{
    std::printf("{\"name\":\"%s\",\"value\":%.3f,\"unit\":\"%s\"}\n", name.c_str(), value, unit);
    std::fflush(stdout);
}

double microseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

std::vector<const FakeBackend *> pointers(const std::vector<std::unique_ptr<FakeBackend>> &engines)
{
    std::vector<const FakeBackend *> list;
    list.reserve(engines.size());
    for (const std::unique_ptr<FakeBackend> &engine : engines) {
        list.push_back(engine.get());
    }
    return list;
}

boost::asio::awaitable<StreamSamples> runStreams(Endpoint endpoint, int rounds)
{
    StreamSamples samples;
    BenchClient client(endpoint);
    for (int i = 0; i < rounds; ++i) {
        co_await client.request(samples);
    }
    co_return samples;
}

/** Runs concurrent streams on several client threads. */
StreamSamples runLoad(const Endpoint &endpoint, int streams, int rounds)
{
    std::vector<std::unique_ptr<ContextThread>> threads;
    threads.reserve(clientThreads);
    for (std::size_t i = 0; i < clientThreads; ++i) {
        threads.push_back(std::make_unique<ContextThread>());
    }
    std::vector<std::future<StreamSamples>> running;
    running.reserve(static_cast<std::size_t>(streams));
    for (int i = 0; i < streams; ++i) {
        running.push_back(threads[static_cast<std::size_t>(i) % clientThreads]->start(runStreams(endpoint, rounds)));
    }
    StreamSamples all;
    for (std::future<StreamSamples> &stream : running) {
        all.append(stream.get());
    }
    return all;
}

void printQuantiles(const std::string &name, const std::vector<Duration> &direct, const std::vector<Duration> &routed)
{
    for (const auto &[label, fraction] : {std::pair{"median", 0.5}, {"p95", 0.95}}) {
        const double directValue = microseconds(quantile(direct, fraction));
        const double routedValue = microseconds(quantile(routed, fraction));
        print(name + "_direct_" + label, directValue, "us");
        print(name + "_routed_" + label, routedValue, "us");
        print(name + "_added_" + label, routedValue - directValue, "us");
    }
}

boost::asio::awaitable<void> alternate(
    Endpoint direct, Endpoint routed, StreamSamples &directSamples, StreamSamples &routedSamples)
{
    BenchClient directClient(direct);
    BenchClient routedClient(routed);
    for (int i = 0; i < latencyRounds; ++i) {
        co_await directClient.request(directSamples);
        co_await routedClient.request(routedSamples);
    }
}

/** Measures the time to the first token of single requests, alternating between direct and routed ones. */
void measureFirstToken()
{
    const auto servers = makeEngines(1, StreamShape());
    CallerFixture router(pointers(servers), {});
    ContextThread client;
    StreamSamples direct;
    StreamSamples routed;
    client.await(alternate(servers[0]->endpoint(), router.endpoint(), direct, routed));
    printQuantiles("first_token", direct.firstToken, routed.firstToken);
    print("first_token_failures", static_cast<double>(direct.failures + routed.failures), "requests");
}

/** Measures the time to the first token of requests that an instance without a path forwards, compared with those of its peer. */
void measureForwarding()
{
    const auto servers = makeEngines(1, StreamShape());
    FakeBackend gone(streamTokens(1));
    gone.stop();
    CallerFixture peer(pointers(servers), {});
    CallerFixture cutOff({&gone}, {});
    cutOff.setPath(false);
    cutOff.asyncDispatcher().update([&peer](Dispatcher &dispatcher, TimePoint) {
        dispatcher.setPeerPaths(DataCentre("d"), {{InstanceId("peer"), peer.forwardEndpoint(), DataCentre("d"), {}}});
    });
    ContextThread client;
    StreamSamples direct;
    StreamSamples forwarded;
    client.await(alternate(peer.endpoint(), cutOff.endpoint(), direct, forwarded));
    for (const auto &[label, fraction] : {std::pair{"median", 0.5}, {"p95", 0.95}}) {
        const double added = microseconds(quantile(forwarded.firstToken, fraction) - quantile(direct.firstToken, fraction));
        print(std::string("first_token_forwarded_added_") + label, added, "us");
    }
    print("first_token_forwarded_failures", static_cast<double>(direct.failures + forwarded.failures), "requests");
}

/** Measures the delay of each token of paced streams, direct and routed. */
void measurePerToken()
{
    const auto servers = makeEngines(1, {300, std::chrono::milliseconds(5)});
    CallerFixture router(pointers(servers), {});
    const StreamSamples direct = runLoad(servers[0]->endpoint(), pacedStreams, 2);
    const StreamSamples routed = runLoad(router.endpoint(), pacedStreams, 2);
    printQuantiles("token", direct.tokenDelays, routed.tokenDelays);
}

/** Measures the tokens per second of CPU time of the single relaying thread. */
void measureThroughput(const std::string &name, int streams, int rounds, StreamShape shape)
{
    const auto servers = makeEngines(engineCount, shape);
    CallerFixture router(pointers(servers), {});
    const std::chrono::nanoseconds cpuBefore = router.thread.cpuTime();
    const TimePoint start = RuntimeClock::now();
    const StreamSamples samples = runLoad(router.endpoint(), streams, rounds);
    const double wall = std::chrono::duration<double>(RuntimeClock::now() - start).count();
    const double cpu = std::chrono::duration<double>(router.thread.cpuTime() - cpuBefore).count();
    const auto tokens = static_cast<double>(samples.tokens);
    print(name + "_tokens_per_core_second", tokens / cpu, "tokens/s");
    print(name + "_tokens_per_second", tokens / wall, "tokens/s");
    print(name + "_tokens_per_piece", tokens / static_cast<double>(std::max<std::uint64_t>(samples.reads, 1)), "tokens");
    print(name + "_failures", static_cast<double>(samples.failures), "requests");
}

} // namespace

int main()
{
    measureFirstToken();
    measureForwarding();
    measurePerToken();
    measureThroughput("paced", 120, 1, {400, std::chrono::milliseconds(10)});
    measureThroughput("saturated", 400, 1, {400, std::chrono::milliseconds(10)});
    measureThroughput("unpaced", 32, 4, {20000, Duration::zero()});
    return 0;
}
