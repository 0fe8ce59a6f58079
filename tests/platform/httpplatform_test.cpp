#include <flamingosaddle/platform/httpplatform.h>

#include <flamingosaddle/http/server.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <optional>

using namespace flamingosaddle;

namespace
{

/**
 * A platform on loopback that gives one fixed answer and keeps the last request.
 */
class FixedPlatform
{
public:
    FixedPlatform()
    {
        auto started = HttpServer::Builder()
                           .listenOn(Endpoint{"127.0.0.1", 0})
                           .handler([this](HttpExchange &exchange) {
                               return this->answer(exchange);
                           })
                           .contexts({&this->context})
                           .start();
        this->server = std::move(started.value());
    }

    template <typename T>
    Result<T> await(Platform::Answer<T> call)
    {
        std::optional<Result<T>> result;
        boost::asio::co_spawn(this->context, this->store(std::move(call), result), boost::asio::detached);
        this->context.restart();
        this->context.run();
        return std::move(*result);
    }

    Platform client() const
    {
        HttpPlatformOptions options;
        options.endpoint = this->server->localEndpoint();
        return httpPlatform(options);
    }

    void closeListener()
    {
        this->server->stop();
        this->context.restart();
        this->context.poll();
    }

    HttpResponse response;
    HttpRequest seen;

private:
    template <typename T>
    boost::asio::awaitable<void> store(Platform::Answer<T> call, std::optional<Result<T>> &result)
    {
        Result<T> answer = co_await std::move(call);
        result.emplace(std::move(answer));
        this->context.stop();
    }

    boost::asio::awaitable<void> answer(HttpExchange &exchange)
    {
        this->seen = exchange.request();
        (void)co_await exchange.respond(this->response);
    }

    boost::asio::io_context context;
    std::unique_ptr<HttpServer> server;
};

} // namespace

TEST(HttpPlatform, AppendsToTheNamedStream)
{
    FixedPlatform platform;
    platform.response = jsonResponse(200, R"({"offset": 41})");
    const Result<std::uint64_t> offset = platform.await(platform.client().append(LogStream::ConfigSnapshot, "{}"));
    ASSERT_TRUE(offset.has_value()) << offset.error().text();
    EXPECT_EQ(offset.value(), 41U);
    EXPECT_EQ(platform.seen.method, "POST");
    EXPECT_EQ(platform.seen.target, "/log/config-snapshot");
    EXPECT_EQ(platform.seen.body, "{}");
}

TEST(HttpPlatform, ReadsFromAnOffsetAndTellsATrimmedLog)
{
    FixedPlatform platform;
    platform.response = jsonResponse(200, R"({"first":0,"next":5,"head":5,"records":[{"offset":4,"body":"x"}]})");
    const Result<LogBatch> batch = platform.await(platform.client().read(LogStream::Config, 4, std::chrono::milliseconds(250)));
    ASSERT_TRUE(batch.has_value()) << batch.error().text();
    EXPECT_EQ(batch.value().records.size(), 1U);
    EXPECT_EQ(platform.seen.query("from"), "4");
    EXPECT_EQ(platform.seen.query("waitMs"), "250");
    platform.response = jsonResponse(410, R"({"error":{"kind":"trimmed","message":"gone"},"first":9,"head":12})");
    const Result<LogBatch> trimmed = platform.await(platform.client().read(LogStream::Config, 4, std::chrono::milliseconds(0)));
    ASSERT_TRUE(trimmed.has_error());
    EXPECT_EQ(trimmed.error().kind(), ErrorKind::Trimmed);
}

TEST(HttpPlatform, AsksForTheBoundsWithoutRecords)
{
    FixedPlatform platform;
    platform.response = jsonResponse(200, R"({"first":3,"next":3,"head":8,"records":[]})");
    const Result<LogBounds> bounds = platform.await(platform.client().bounds(LogStream::Config));
    ASSERT_TRUE(bounds.has_value()) << bounds.error().text();
    EXPECT_EQ(bounds.value(), (LogBounds{3, 8}));
    EXPECT_EQ(platform.seen.query("limit"), "0");
}

TEST(HttpPlatform, EscapesTheDataCentreInThePath)
{
    FixedPlatform platform;
    platform.response = jsonResponse(200, R"({"machines":[]})");
    ASSERT_TRUE(platform.await(platform.client().backendMachines(DataCentre("a/../b"))).has_value());
    EXPECT_EQ(platform.seen.target, "/data-centres/a%2F..%2Fb/machines");
}

namespace
{

Duration leaseHeld()
{
    return std::chrono::seconds(60);
}

Duration leaseOver()
{
    return Duration::zero();
}

} // namespace

TEST(HttpPlatform, SendsNeitherOrderNorReportOnceTheLeaseIsOver)
{
    FixedPlatform platform;
    platform.response = jsonResponse(200, "{}");
    EXPECT_EQ(platform.await(platform.client().order(PlatformOrder{}, leaseOver)).error().kind(), ErrorKind::Cancelled);
    EXPECT_EQ(platform.await(platform.client().reportUsage(UsageReport{}, leaseOver)).error().kind(), ErrorKind::Cancelled);
    EXPECT_EQ(platform.seen.target, "/"); // nothing arrived
}

TEST(HttpPlatform, TellsARefusedOrderFromAnUnknownOne)
{
    FixedPlatform platform;
    platform.response = jsonResponse(409, "{}");
    EXPECT_EQ(platform.await(platform.client().order(PlatformOrder{}, leaseHeld)).error().kind(), ErrorKind::Refused);
    platform.response = jsonResponse(503, "{}");
    EXPECT_EQ(platform.await(platform.client().reportUsage(UsageReport{}, leaseHeld)).error().kind(), ErrorKind::Unavailable);
    platform.response = jsonResponse(200, "<html>");
    EXPECT_EQ(platform.await(platform.client().instances()).error().kind(), ErrorKind::Protocol);
}

TEST(HttpPlatform, TellsThatNothingWasSentWhenNobodyListens)
{
    FixedPlatform platform;
    const Platform client = platform.client();
    platform.closeListener();
    EXPECT_EQ(platform.await(client.append(LogStream::Config, "{}")).error().kind(), ErrorKind::Unreachable);
}
