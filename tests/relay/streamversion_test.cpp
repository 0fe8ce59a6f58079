#include "numberedstream.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
namespace asio = boost::asio;

namespace
{

/** Sends 6 events, or what follows the position at which a request resumes; breaks off after the third event. */
boost::asio::awaitable<void> breakOffAfterThirdEvent(HttpExchange &exchange)
{
    const std::string resumed(exchange.request().headers.find(resumeHeader));
    return resumed.empty() ? send(exchange, 1, 3, true) : send(exchange, std::stoi(resumed) + 1, 6, false);
}

bool isComplete(const std::string &response)
{
    return response.ends_with("0\r\n\r\n");
}

/** Engines of given software versions, and a caller of one stream. */
class Engines
{
public:
    explicit Engines(std::vector<std::string> versions, ProtocolAdapter adapter = numberedStreamAdapter(), CallerHooks hooks = {})
        : versions(std::move(versions))
        , setup({}, {}, std::move(hooks), {}, std::move(adapter))
    {
        for (const std::string &version : this->versions) {
            this->engines.push_back(std::make_unique<FakeBackend>(breakOffAfterThirdEvent));
            this->setup.addEngine(this->engines.back()->endpoint(), version);
        }
    }

    std::string stream() const
    {
        return this->setup.exchange(chatRequest());
    }

    /** Returns the versions of the engines that got a part of the stream, and how many parts. */
    std::map<std::string, std::size_t> parts() const
    {
        std::map<std::string, std::size_t> parts;
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            const std::size_t requests = this->engines[i]->requests().size();
            if (requests > 0) {
                parts[this->versions[i]] += requests;
            }
        }
        return parts;
    }

private:
    std::vector<std::string> versions;
    CallerFixture setup;
    std::vector<std::unique_ptr<FakeBackend>> engines;
};

} // namespace

TEST(StreamVersion, AnInterruptedStreamContinuesAtItsSoftwareVersion)
{
    std::vector<std::string> versions = {"v1", "v1", "v2", "v2", "v3", "v3"};
    for (std::size_t i = 0; i < versions.size(); ++i) {
        std::rotate(versions.begin(), versions.begin() + 1, versions.end());
        const Engines engines(versions);
        const std::string response = engines.stream();
        EXPECT_TRUE(isComplete(response)) << response;
        ASSERT_EQ(engines.parts().size(), 1U) << "versions in one stream";
        EXPECT_EQ(engines.parts().begin()->second, 2U);
    }
}

// A server may be released in place, under the id that it had, while the connection to its old process is silent.
TEST(StreamVersion, AStreamGoesOnAtTheVersionThatBeganItAfterItsServerWasReleasedInPlace)
{
    FakeBackend released([](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream");
        Result<void> written = co_await exchange.beginStream(200, std::move(headers));
        const std::string piece = event(1) + event(2) + event(3);
        written = co_await exchange.writePiece(piece);
        co_await neverRespond(exchange);
    });
    const FakeBackend newer(breakOffAfterThirdEvent);
    const FakeBackend older(breakOffAfterThirdEvent);
    CallerFixture setup({}, {}, {}, {}, numberedStreamAdapter());
    const BackendServerId id = setup.addEngine(released.endpoint(), "v1");
    RawClient caller(setup.endpoint());
    caller.send(chatRequest());
    caller.readUntil(event(3));
    setup.setSoftwareVersion(id, "v2");
    setup.addEngine(newer.endpoint(), "v2");
    setup.addEngine(older.endpoint(), "v1");
    released.stop();
    EXPECT_TRUE(isComplete(caller.readAll()));
    EXPECT_EQ(newer.requests().size(), 0U) << "versions in one stream";
    EXPECT_EQ(older.requests().size(), 1U);
}

TEST(StreamVersion, TheOnlyServerOfAVersionIsNotReplacedByAnotherVersion)
{
    std::vector<std::string> versions = {"v1", "v2", "v3"};
    for (std::size_t i = 0; i < versions.size(); ++i) {
        std::rotate(versions.begin(), versions.begin() + 1, versions.end());
        const Engines engines(versions);
        engines.stream();
        EXPECT_EQ(engines.parts().size(), 1U) << "versions in one stream";
    }
}

namespace
{

/** Engines of two versions, a caller who resumes a stream after its third event, and a registry that answers @p version. */
std::pair<std::string, std::map<std::string, std::size_t>> resumeAt(const std::optional<std::string> &version)
{
    ProtocolAdapter adapter = numberedStreamAdapter();
    adapter.route = [route = adapter.route](const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now) {
        Result<RoutedRequest> routed = route(snapshot, request, now);
        if (routed.has_value()) {
            routed.value().resumable = true;
            routed.value().resumeAfter = 3;
            routed.value().resumedRequest = "first";
        }
        return routed;
    };
    adapter.buildBackendRequest = [build = adapter.buildBackendRequest](const BackendRequestContext &context) {
        HttpRequest request = build(context);
        request.headers.set(resumeHeader, "3");
        return request;
    };
    CallerHooks hooks;
    hooks.streamVersion = [version](const std::string &request, const ServiceName &) -> asio::awaitable<StreamVersion> {
        EXPECT_EQ(request, "first");
        co_return StreamVersion{version.has_value(), version.value_or(""), ""};
    };
    const Engines engines({"v1", "v2", "v1", "v2"}, adapter, hooks);
    const std::string response = engines.stream();
    return {response, engines.parts()};
}

} // namespace

TEST(StreamVersion, ACallersStreamIsResumedAtItsSoftwareVersion)
{
    for (const std::string version : {"v1", "v2"}) {
        const auto [response, parts] = resumeAt(version);
        EXPECT_TRUE(isComplete(response)) << response;
        EXPECT_EQ(parts, (std::map<std::string, std::size_t>{{version, 1}}));
    }
}

TEST(StreamVersion, AStreamWhoseVersionIsGoneOrNotKnownIsNotResumed)
{
    for (const std::optional<std::string> &version : {std::optional<std::string>(), std::optional<std::string>("v0")}) {
        const auto [response, parts] = resumeAt(version);
        EXPECT_EQ(statusOf(response), 503);
        EXPECT_NE(response.find("begin the stream anew"), std::string::npos) << response;
        EXPECT_NE(response.find("Retry-After"), std::string::npos) << response;
        EXPECT_TRUE(parts.empty());
    }
}

TEST(StreamVersion, BeginAndEndOfAResumableStreamAreReported)
{
    std::vector<std::string> begun;
    std::vector<std::string> completed;
    CallerHooks hooks;
    hooks.onStreamStarted = [&begun](const std::string &, const ServiceName &, const std::string &version) {
        begun.push_back(version);
    };
    hooks.onStreamCompleted = [&completed](const std::string &request) {
        completed.push_back(request);
    };
    {
        const Engines engines({"v1"}, numberedStreamAdapter(), hooks);
        engines.stream();
    } // joins the threads that call the hooks
    EXPECT_EQ(begun, std::vector<std::string>{"v1"}) << "once, though the stream broke off";
    EXPECT_EQ(completed.size(), 1U);
}

TEST(StreamVersion, ServersWithoutAVersionContinueEachOthersStreams)
{
    const Engines engines({"", ""});
    EXPECT_TRUE(isComplete(engines.stream()));
}
