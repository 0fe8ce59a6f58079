// Responses with odd statuses, and responses that come before the server has read the request, straight from a backend server and
// by way of a peer. Guards against callers that get what is no response, get a part of one as the whole, or wait until their
// deadline for what is known at once.

#include "callerfixture.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <future>
#include <memory>
#include <string>

using namespace flamingosaddle;
using namespace flamingosaddle::test;
using namespace std::chrono_literals;

namespace
{

// Fits into the buffers of a socket, but not into those of a server that reads nothing.
constexpr std::size_t longBodyBytes = 3'500'000;
const std::string undelimitedResponse = "HTTP/1.1 200 OK\r\nX-Signature: signed\r\n\r\n0123456789abcdefg";

/** Where the server that the test plays stands. */
enum class Place {
    Server, ///< the instance sends requests to it
    ServerOfPeer, ///< the instance forwards requests to a peer, which sends them to it
    Peer, ///< the instance forwards requests to it
};

const char *toString(Place place)
{
    switch (place) {
    case Place::Server:
        return "backend server";
    case Place::ServerOfPeer:
        return "backend server of a peer";
    case Place::Peer:
        return "peer";
    }
    return "";
}

/** Returns the text of a request that runs at most once, with a prompt of @p bytes. */
std::string onceRequest(std::size_t bytes)
{
    const std::string body
        = R"({"model":"m","stream":false,"messages":[{"role":"user","content":")" + std::string(bytes, 'u') + R"("}]})";
    return requestText("POST /v1/chat/completions", body,
        std::string("Authorization: Bearer ") + validKey + "\r\nX-Flamingosaddle-Class: once\r\n");
}

CallerOptions optionsOf(const std::string &instance)
{
    CallerOptions options;
    options.instance = InstanceId(instance);
    options.pool.allowBodyUntilClose = true;
    return options;
}

/** An instance whose caller's request reaches a server that the test plays, with the clock standing still. */
class RequestPath
{
public:
    explicit RequestPath(Place place)
        : gone(neverRespond)
    {
        this->gone.stop();
        if (place == Place::Server) {
            this->instance = std::make_unique<CallerFixture>(
                std::vector<const FakeBackend *>{}, std::vector<const FakeBackend *>{}, CallerHooks(), optionsOf("a"));
            this->instance->addEngine(this->server.endpoint());
            return;
        }
        this->instance = std::make_unique<CallerFixture>(
            std::vector<const FakeBackend *>{&this->gone}, std::vector<const FakeBackend *>{}, CallerHooks(), optionsOf("a"));
        this->instance->setPath(false);
        Endpoint endpoint = this->server.endpoint();
        if (place == Place::ServerOfPeer) {
            this->peer = std::make_unique<CallerFixture>(
                std::vector<const FakeBackend *>{}, std::vector<const FakeBackend *>{}, CallerHooks(), optionsOf("b"));
            this->peer->addEngine(this->server.endpoint());
            endpoint = this->peer->forwardEndpoint();
        }
        this->instance->asyncDispatcher().update([&endpoint](Dispatcher &dispatcher, TimePoint) {
            dispatcher.setPeerPaths(DataCentre("d"), {{InstanceId("b"), endpoint, DataCentre("d"), {}}});
        });
    }

    /** Lets a caller send a request, and waits until the server has its head. */
    void begin(std::size_t bytes)
    {
        this->response = std::async(std::launch::async, [this, bytes]() {
            return this->instance->exchange(onceRequest(bytes));
        });
        this->server.acceptRequest();
    }

    /** Returns what the caller got. No time passes, so that a wait for a deadline never ends. */
    std::string responseAtOnce()
    {
        return this->response.get();
    }

    const PausedClock paused;
    FakeBackend gone;
    ManualServer server;
    std::unique_ptr<CallerFixture> peer;
    std::unique_ptr<CallerFixture> instance;
    std::future<std::string> response;
};

class OddResponse : public testing::TestWithParam<Place>
{
};

} // namespace

TEST_P(OddResponse, AStatusThatIsNoneIsKnownAtOnce)
{
    for (const std::string status : {"000 None", "001 None", "099 None", "101 Switching Protocols"}) {
        RequestPath path(GetParam());
        path.begin(1);
        path.server.send("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}");
        const std::string response = path.responseAtOnce();
        EXPECT_EQ(statusOf(response), 502) << response;
        EXPECT_NE(response.find("X-Flamingosaddle-Run-State: unknown"), std::string::npos) << response;
    }
}

// What a server responds is the caller's to judge, as long as it is a response.
TEST_P(OddResponse, AStatusBeyondTheKnownClassesIsReturnedUnchanged)
{
    for (const int status : {600, 999}) {
        RequestPath path(GetParam());
        path.begin(1);
        path.server.send("HTTP/1.1 " + std::to_string(status) + " Odd\r\nContent-Length: 2\r\n\r\n{}");
        const std::string response = path.responseAtOnce();
        EXPECT_EQ(statusOf(response), status) << response;
    }
}

TEST_P(OddResponse, APartOfAResponseThatEndsWhileTheRequestIsUnderWayIsNone)
{
    RequestPath path(GetParam());
    path.begin(longBodyBytes);
    path.server.send(undelimitedResponse);
    path.server.finishSending();
    const std::string response = path.responseAtOnce();
    EXPECT_EQ(statusOf(response), 502) << response;
    EXPECT_EQ(response.find("0123456789abcdefg"), std::string::npos) << response;
}

TEST_P(OddResponse, AWholeResponseIsReturnedWhileTheRequestIsUnderWay)
{
    RequestPath path(GetParam());
    path.begin(longBodyBytes);
    path.server.send("HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n0123456789abcdefg");
    const std::string response = path.responseAtOnce();
    EXPECT_EQ(statusOf(response), 200) << response;
    EXPECT_TRUE(response.ends_with("0123456789abcdefg")) << response;
}

INSTANTIATE_TEST_SUITE_P(
    Places, OddResponse, testing::Values(Place::Server, Place::ServerOfPeer, Place::Peer), [](const auto &place) {
        std::string name = toString(place.param);
        std::erase(name, ' ');
        return name;
    });
