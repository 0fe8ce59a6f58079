#include <flamingosaddle/state/streamorigins.h>

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const ServiceName service("s");
constexpr std::chrono::milliseconds unixStart(1'700'000'000'000);

std::map<BackendServerId, RegisteredServer> serversOf(const std::vector<std::string> &versions)
{
    std::map<BackendServerId, RegisteredServer> servers;
    for (std::size_t i = 0; i < versions.size(); ++i) {
        RegisteredServer registered;
        registered.server.id = BackendServerId(std::to_string(i));
        registered.server.service = service;
        registered.server.softwareVersion = versions[i];
        servers.emplace(registered.server.id, registered);
    }
    return servers;
}

/** The stream origins that two instances know, each with its own clock. */
struct StreamOriginsTest : testing::Test {
    StreamOrigins writer;
    StreamOrigins reader;

    void SetUp() override
    {
        for (StreamOrigins *origins : {&this->writer, &this->reader}) {
            origins->setLifetime(20s);
        }
    }

    static std::chrono::milliseconds unixTime(Duration elapsed)
    {
        return unixStart + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
    }

    /** Passes on what the writer saves. Returns the number of records. */
    std::size_t exchange(Duration elapsed)
    {
        const std::vector<StreamOriginRecord> unsaved = this->writer.takeUnsaved(unixTime(elapsed), TimePoint(elapsed));
        this->reader.applyRecords(
            decodeStreamOrigins(encodeStreamOrigins(unsaved)).value(), unixTime(elapsed), TimePoint(elapsed));
        return unsaved.size();
    }
};

} // namespace

TEST_F(StreamOriginsTest, NothingIsSavedWhileAllServersHaveOneVersion)
{
    this->writer.observeServers(serversOf({"v1", "v1"}), TimePoint());
    this->writer.recordStart(1, {service, "v1"}, TimePoint(1s));
    EXPECT_EQ(this->exchange(2s), 0U);
    EXPECT_EQ(this->writer.soleVersion(service, TimePoint(2s)), "v1");
    EXPECT_EQ(this->writer.soleVersion(ServiceName("other"), TimePoint(2s)), std::nullopt);
}

TEST_F(StreamOriginsTest, StreamsThatRunWhenAnotherVersionAppearsAreSaved)
{
    this->writer.observeServers(serversOf({"v1"}), TimePoint());
    this->writer.recordStart(1, {service, "v1"}, TimePoint(1s));
    this->writer.recordStart(2, {service, "v1"}, TimePoint(1s));
    this->writer.recordCompletion(2);
    EXPECT_EQ(this->exchange(2s), 0U);
    this->writer.observeServers(serversOf({"v1", "v2"}), TimePoint(3s));
    this->writer.recordStart(3, {service, "v2"}, TimePoint(3s));
    EXPECT_EQ(this->exchange(3s), 2U);
    EXPECT_EQ(*this->reader.find(1), (StreamOrigin{service, "v1"}));
    EXPECT_EQ(this->reader.find(2), nullptr);
    EXPECT_EQ(*this->reader.find(3), (StreamOrigin{service, "v2"}));
    EXPECT_EQ(this->exchange(4s), 0U) << "each is saved once";
}

TEST_F(StreamOriginsTest, WhatCouldNotBeSavedIsSavedLater)
{
    this->writer.observeServers(serversOf({"v1", "v2"}), TimePoint());
    this->writer.recordStart(1, {service, "v1"}, TimePoint(1s));
    this->writer.restoreUnsaved(this->writer.takeUnsaved(unixTime(2s), TimePoint(2s)));
    EXPECT_EQ(this->exchange(3s), 1U);
    EXPECT_NE(this->reader.find(1), nullptr);
}

// A stream that is not known may have begun at a version whose servers have left.
TEST_F(StreamOriginsTest, TheOnlyVersionIsNotTakenForThatOfAnOlderStream)
{
    this->writer.observeServers(serversOf({"v1"}), TimePoint());
    this->writer.observeServers({}, TimePoint(1s));
    this->writer.observeServers(serversOf({"v2"}), TimePoint(2s));
    EXPECT_EQ(this->writer.soleVersion(service, TimePoint(2s)), std::nullopt);
    EXPECT_EQ(this->writer.soleVersion(service, TimePoint(21900ms)), std::nullopt);
    EXPECT_EQ(this->writer.soleVersion(service, TimePoint(22s)), "v2");
}

TEST_F(StreamOriginsTest, AnInstanceThatStartedLaterLearnsThatAnotherVersionServed)
{
    this->writer.observeServers(serversOf({"v1", "v2"}), TimePoint());
    this->writer.observeServers(serversOf({"v2"}), TimePoint(1s));
    this->writer.recordStart(1, {service, "v2"}, TimePoint(5s));
    this->reader.observeServers(serversOf({"v2"}), TimePoint(5s));
    EXPECT_EQ(this->reader.soleVersion(service, TimePoint(6s)), "v2") << "nothing was read yet";
    EXPECT_EQ(this->exchange(6s), 1U);
    EXPECT_EQ(this->reader.soleVersion(service, TimePoint(6s)), std::nullopt);
    EXPECT_EQ(this->reader.soleVersion(service, TimePoint(20s)), std::nullopt);
    EXPECT_EQ(this->reader.soleVersion(service, TimePoint(21s)), "v2");
}

TEST_F(StreamOriginsTest, StreamsAreSavedUntilNoOtherOneOfTheOldVersionCanBeResumed)
{
    this->writer.observeServers(serversOf({"v1", "v2"}), TimePoint());
    this->writer.observeServers(serversOf({"v2"}), TimePoint(1s));
    this->writer.recordStart(1, {service, "v2"}, TimePoint(20s));
    EXPECT_EQ(this->exchange(20900ms), 1U);
    this->writer.recordStart(2, {service, "v2"}, TimePoint(30s));
    EXPECT_EQ(this->exchange(30s), 0U);
}

TEST_F(StreamOriginsTest, ForgetsStreamsAfterTheirLifetimeAndTheOldestOfTooMany)
{
    this->writer.recordStart(1, {service, "v1"}, TimePoint());
    this->writer.expire(TimePoint(19s));
    EXPECT_NE(this->writer.find(1), nullptr);
    this->writer.expire(TimePoint(20s));
    EXPECT_EQ(this->writer.find(1), nullptr);
    for (std::uint64_t stream = 0; stream <= StreamOrigins::maxStreams; ++stream) {
        this->writer.recordStart(stream, {service, "v1"}, TimePoint(30s));
    }
    EXPECT_EQ(this->writer.find(0), nullptr);
    EXPECT_NE(this->writer.find(1), nullptr);
}

TEST(StreamOriginRecords, InvalidTextIsAnError)
{
    for (const char *text : {"", "{}", "[1]", R"([{"service": "s", "version": "v"}])",
             R"([{"service": "s", "version": "v", "mixedAt": 1e300, "streams": []}])",
             R"([{"service": "s", "version": "v", "mixedAt": -1, "streams": []}])",
             R"([{"service": "s", "version": "v", "mixedAt": 9223372036854775807, "streams": []}])",
             R"([{"service": "s", "version": "v", "mixedAt": 1, "streams": [-1]}])",
             R"([{"service": "s", "version": "v", "mixedAt": 1, "streams": ["1"]}])"}) {
        EXPECT_TRUE(decodeStreamOrigins(text).has_error()) << text;
    }
}
