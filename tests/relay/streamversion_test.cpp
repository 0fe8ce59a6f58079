#include "numberedstream.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

using namespace flamingosaddle;
using namespace flamingosaddle::test;

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

/** Engines of given software versions, and a caller. */
struct StreamVersionTest : testing::Test {
    CallerFixture setup{{}, {}, {}, {}, numberedStreamAdapter()};
    std::vector<std::unique_ptr<FakeBackend>> engines;

    void add(const std::string &version)
    {
        this->engines.push_back(std::make_unique<FakeBackend>(breakOffAfterThirdEvent));
        this->setup.addEngine(this->engines.back()->endpoint(), version);
    }

    std::size_t requestsAt(std::size_t engine) const
    {
        return this->engines[engine]->requests().size();
    }
};

} // namespace

TEST_F(StreamVersionTest, AnInterruptedStreamContinuesAtItsSoftwareVersion)
{
    constexpr int streams = 8;
    this->add("v1");
    this->add("v1");
    this->add("v2");
    this->add("v2");
    for (int i = 0; i < streams; ++i) {
        const std::size_t before = this->requestsAt(0) + this->requestsAt(1);
        EXPECT_TRUE(isComplete(this->setup.exchange(chatRequest())));
        EXPECT_NE(this->requestsAt(0) + this->requestsAt(1) - before, 1U) << "one part of the stream at each version";
    }
}

TEST_F(StreamVersionTest, TheOnlyServerOfAVersionIsNotReplacedByAnotherVersion)
{
    constexpr int streams = 8;
    this->add("v1");
    this->add("v2");
    for (int i = 0; i < streams; ++i) {
        const std::size_t before = this->requestsAt(0);
        this->setup.exchange(chatRequest());
        EXPECT_NE(this->requestsAt(0) - before, 1U) << "one part of the stream at each version";
    }
}
