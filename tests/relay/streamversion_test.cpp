#include "numberedstream.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
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

/** Engines of given software versions, and a caller of one stream. */
class Engines
{
public:
    explicit Engines(std::vector<std::string> versions)
        : versions(std::move(versions))
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
    CallerFixture setup{{}, {}, {}, {}, numberedStreamAdapter()};
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

TEST(StreamVersion, ServersWithoutAVersionContinueEachOthersStreams)
{
    const Engines engines({"", ""});
    EXPECT_TRUE(isComplete(engines.stream()));
}
