#include <flamingosaddle/state/versionhistory.h>

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

ServiceVersions storedAs(std::vector<std::string> versions, std::uint64_t epoch = 0)
{
    return {service, std::move(versions), std::chrono::milliseconds(0), std::nullopt, epoch};
}

struct VersionHistoryTest : testing::Test {
    VersionHistory history;

    void SetUp() override
    {
        this->history.configure({service}, 20s);
    }

    void load(const std::vector<ServiceVersions> &stored, std::uint64_t epoch = 0)
    {
        this->history.applyStored(stored, epoch, unixStart, TimePoint(10s));
    }

    std::vector<ServiceVersions> versionsToStore() const
    {
        return this->history.versionsToStore(unixStart, TimePoint(10s));
    }
};

} // namespace

TEST(ServiceVersions, AreDecodedAsTheyWereEncoded)
{
    std::vector<ServiceVersions> services = {storedAs({"v1", "v2"}, 3), {ServiceName("t"), {""}, unixStart, "v0", 4}};
    EXPECT_EQ(decodeServiceVersions(encodeServiceVersions(services)).value(), services);
    for (const char *invalid : {"", "{}", "[1]", R"([{"service":"s","versions":[1],"changedAt":0,"epoch":0}])",
             R"([{"service":"s","versions":[],"changedAt":-1,"epoch":0}])",
             R"([{"service":"s","versions":[],"changedAt":0,"epoch":0,"versionBefore":1}])"}) {
        EXPECT_TRUE(decodeServiceVersions(invalid).has_error()) << invalid;
    }
    EXPECT_TRUE(decodeServiceVersions(R"([{"service":"s","versions":[],"changedAt":0,"epoch":0,"later":1}])").has_value());
}

TEST_F(VersionHistoryTest, TheFirstVersionsAreStoredWithoutAChange)
{
    this->history.observeServers(serversOf({"v1", "v1"}), TimePoint(9s));
    this->load({});
    EXPECT_EQ(this->versionsToStore(), std::vector<ServiceVersions>{storedAs({"v1"})});
    this->load(this->versionsToStore());
    EXPECT_FALSE(this->history.hasUnstored());
    EXPECT_EQ(this->history.changedAt(service), std::nullopt);
}

TEST_F(VersionHistoryTest, AChangeThatThisInstanceSawIsNotAReleaseThatNobodySaw)
{
    this->history.observeServers(serversOf({"v1"}), TimePoint(1s));
    this->history.observeServers(serversOf({"v1", "v2"}), TimePoint(8s));
    this->load({storedAs({"v1"})});
    EXPECT_EQ(this->history.versionBeforeUnobservedRelease(service, TimePoint(10s)), std::nullopt);
    EXPECT_EQ(this->versionsToStore().front(), (ServiceVersions{service, {"v1", "v2"}, unixStart - 2s, std::nullopt, 0}));
    this->load({{service, {"v1", "v2"}, unixStart - 2s, "v1", 0}});
    EXPECT_TRUE(this->history.hasUnstored()) << "another instance has stored that nobody saw it";
}

TEST_F(VersionHistoryTest, AReleaseThatNobodySawIsKnownUntilItsStreamsHaveEnded)
{
    this->history.observeServers(serversOf({"v2"}), TimePoint(9s));
    this->load({storedAs({"v1"})});
    EXPECT_EQ(this->history.changedAt(service), TimePoint(9s));
    EXPECT_EQ(this->history.versionBeforeUnobservedRelease(service, TimePoint(10s)), "v1");
    EXPECT_EQ(this->history.versionBeforeUnobservedRelease(service, TimePoint(29s)), std::nullopt);
    EXPECT_EQ(this->versionsToStore().front(), (ServiceVersions{service, {"v2"}, unixStart - 1s, "v1", 0}));
}

TEST_F(VersionHistoryTest, AStreamMayBeOfAnEarlierVersionIfReleasesFollowEachOther)
{
    this->history.observeServers(serversOf({"v2"}), TimePoint(9s));
    this->load({{service, {"v1"}, unixStart - 15s, std::nullopt, 0}});
    EXPECT_EQ(this->history.versionBeforeUnobservedRelease(service, TimePoint(10s)), std::nullopt);
    this->load({storedAs({"v0", "v1"})});
    EXPECT_EQ(this->history.versionBeforeUnobservedRelease(service, TimePoint(10s)), std::nullopt);
    EXPECT_EQ(this->history.changedAt(service), TimePoint(9s));
}

TEST_F(VersionHistoryTest, WhatARestoredStoreHasIsStoredAnew)
{
    this->history.observeServers(serversOf({"v1"}), TimePoint(1s));
    this->load({storedAs({"v1"})}, 1);
    EXPECT_EQ(this->versionsToStore(), std::vector<ServiceVersions>{storedAs({"v1"}, 1)});
}
