#include "fakeplatform.h"
#include "rununtil.h"

#include <flamingosaddle/control/usagedesk.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

#include <memory>

using namespace flamingosaddle;

namespace
{

constexpr std::chrono::seconds windowLength(60);

/**
 * One instance's lease keeper and usage desk on a platform that several share.
 */
class Instance
{
public:
    Instance(boost::asio::io_context &context, const Platform &platform, const std::string &name)
        : self{InstanceId(name), 1}
        , leases(platform, leaseOptions(this->self))
        , desk(platform, this->leases, deskOptions(this->self))
    {
        this->leases.setRoles({Role("usage")});
        const auto spawn = [&context](boost::asio::awaitable<void> coroutine) {
            boost::asio::co_spawn(context, std::move(coroutine), boost::asio::detached);
        };
        spawn(this->leases.runTail());
        spawn(this->leases.runKeeper());
        spawn(this->desk.runTail());
        spawn(this->desk.runAppender());
        spawn(this->desk.runFlush());
        spawn(this->desk.runReporter());
    }

    void stop()
    {
        this->leases.stop();
        this->desk.stop();
    }

    bool isReporter() const
    {
        return this->leases.isHeld(Role("usage"), RuntimeClock::now());
    }

    Incarnation self;
    LeaseKeeper leases;
    UsageDesk desk;

private:
    static LeaseKeeper::Options leaseOptions(const Incarnation &self)
    {
        LeaseKeeper::Options options;
        options.self = self;
        return options;
    }

    static UsageDesk::Options deskOptions(const Incarnation &self)
    {
        UsageDesk::Options options;
        options.self = self;
        options.windowLength = windowLength;
        options.wallTime = [] {
            return std::chrono::duration_cast<std::chrono::seconds>(RuntimeClock::now().time_since_epoch());
        };
        return options;
    }
};

class UsageDeskTest : public testing::Test
{
protected:
    void TearDown() override
    {
        for (const auto &instance : this->instances) {
            instance->stop();
        }
        this->advance(std::chrono::minutes(1));
    }

    Instance &add(const std::string &name)
    {
        this->instances.push_back(std::make_unique<Instance>(this->context, this->hooks, name));
        return *this->instances.back();
    }

    void advance(Duration duration)
    {
        passTime(this->context, duration);
    }

    bool advanceUntil(const std::function<bool()> &condition)
    {
        return passTimeUntil(this->context, condition);
    }

    PausedClock paused;
    FakePlatform platform;
    Platform hooks = platform.hooks();
    boost::asio::io_context context;
    std::vector<std::unique_ptr<Instance>> instances;
};

const ClientAccountId account("acme");

} // namespace

TEST_F(UsageDeskTest, ReportsEachWindowOnceWithTheCountsOfAllInstances)
{
    Instance &first = this->add("i1");
    Instance &second = this->add("i2");
    ASSERT_TRUE(this->advanceUntil([&] {
        return first.isReporter() || second.isReporter();
    }));
    first.desk.count(account, {1, 10, 100});
    second.desk.count(account, {2, 20, 200});
    ASSERT_TRUE(this->advanceUntil([this] {
        return !this->platform.usageReports.empty();
    }));
    this->advance(std::chrono::seconds(70));
    ASSERT_EQ(this->platform.usageReports.size(), 1u);
    EXPECT_EQ(this->platform.usageReports.front().requests, 3u);
    EXPECT_EQ(this->platform.usageReports.front().completionTokens, 300u);
}

TEST_F(UsageDeskTest, RepeatsTheSameFigureWhenTheAnswerWasLost)
{
    Instance &instance = this->add("i1");
    ASSERT_TRUE(this->advanceUntil([&] {
        return instance.isReporter();
    }));
    instance.desk.count(account, {1, 10, 100});
    this->platform.loseUsageAnswers = 2;
    ASSERT_TRUE(this->advanceUntil([&] {
        return this->platform.usageReports.size() >= 3 && instance.desk.unappendedCount() == 0;
    }));
    for (const UsageReport &report : this->platform.usageReports) {
        EXPECT_EQ(report, this->platform.usageReports.front());
    }
}

TEST_F(UsageDeskTest, AppendsOnceWhatWasBufferedWhileTheLogWasDown)
{
    Instance &instance = this->add("i1");
    ASSERT_TRUE(this->advanceUntil([&] {
        return instance.isReporter();
    }));
    this->platform.logDown = true;
    for (int i = 0; i < 30; ++i) {
        instance.desk.count(account, {1, 0, 0});
        this->advance(std::chrono::seconds(1));
    }
    EXPECT_GT(instance.desk.unappendedCount(), 0u);
    EXPECT_TRUE(this->platform.usageReports.empty());
    this->platform.logDown = false;
    this->platform.loseAppendAnswers = 3;
    ASSERT_TRUE(this->advanceUntil([&] {
        std::uint64_t requests = 0;
        for (const UsageReport &report : this->platform.usageReports) {
            requests += report.requests;
        }
        return requests >= 30;
    }));
    this->advance(std::chrono::seconds(130));
    std::uint64_t requests = 0;
    for (const UsageReport &report : this->platform.usageReports) {
        requests += report.requests;
    }
    EXPECT_EQ(requests, 30u);
}
