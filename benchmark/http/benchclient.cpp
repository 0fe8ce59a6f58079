#include "benchclient.h"

#include "benchengine.h"

#include <algorithm>

namespace flamingosaddle::bench
{

namespace asio = boost::asio;

namespace
{

constexpr Duration timeout = std::chrono::seconds(60);

HttpRequest streamedRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.add("Authorization", std::string("Bearer ") + test::validKey);
    request.headers.add("Content-Type", "application/json");
    request.body = R"({"model":"m","stream":true,"messages":[{"role":"user","content":"Draft the bake plan for Monday."}]})";
    return request;
}

} // namespace

void StreamSamples::append(const StreamSamples &other)
{
    this->firstToken.insert(this->firstToken.end(), other.firstToken.begin(), other.firstToken.end());
    this->tokenDelays.insert(this->tokenDelays.end(), other.tokenDelays.begin(), other.tokenDelays.end());
    this->tokens += other.tokens;
    this->reads += other.reads;
    this->failures += other.failures;
}

BenchClient::BenchClient(Endpoint endpoint)
    : endpoint(std::move(endpoint))
{
}

asio::awaitable<void> BenchClient::request(StreamSamples &samples)
{
    if (!this->connection || !this->connection->isReusable() || this->connection->isStale()) {
        Result<std::unique_ptr<HttpConnection>> connected = co_await HttpConnection::connect(this->endpoint, timeout);
        if (!connected.has_value()) {
            ++samples.failures;
            co_return;
        }
        this->connection = std::move(connected.value());
    }
    const bool complete = co_await this->exchange(samples);
    if (!complete) {
        ++samples.failures;
        this->connection.reset();
    }
}

asio::awaitable<bool> BenchClient::exchange(StreamSamples &samples)
{
    const HttpRequest request = streamedRequest();
    const TimePoint start = RuntimeClock::now();
    const Result<void> sent = co_await this->connection->send(request, timeout, TimePoint::max());
    if (!sent.has_value()) {
        co_return false;
    }
    const Result<HttpResponseHead> head = co_await this->connection->readHead(timeout);
    if (!head.has_value() || head.value().status != 200) {
        co_return false;
    }
    std::string piece;
    bool first = true;
    while (true) {
        const Result<bool> more = co_await this->connection->readBody(piece, timeout);
        if (!more.has_value() || !more.value()) {
            co_return more.has_value();
        }
        if (first) {
            samples.firstToken.push_back(RuntimeClock::now() - start);
            first = false;
        }
        ++samples.reads;
        visitTokenDelays(piece, [&samples](Duration age) {
            samples.tokenDelays.push_back(age);
            ++samples.tokens;
        });
    }
}

Duration quantile(std::vector<Duration> samples, double fraction)
{
    if (samples.empty()) {
        return Duration::zero();
    }
    const auto position = samples.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), position, samples.end());
    return *position;
}

} // namespace flamingosaddle::bench
