#include "fakeduties.h"
#include "rununtil.h"

#include <flamingosaddle/control/dutylog.h>
#include <flamingosaddle/control/usagemeter.h>
#include <flamingosaddle/control/usagereporter.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const ClientAccountId acme("acme");

/** The duties of one instance on the shared fake. */
struct Instance {
    Instance(const DutyHooks &dutyHooks, const std::string &name, const std::function<std::chrono::milliseconds()> &unixTime)
        : hooks(dutyHooks)
        , log(this->hooks, logOptions(name))
        , meter(this->hooks, meterOptions(name, unixTime))
        , reporter(this->hooks, this->log, reporterOptions(unixTime))
    {
    }

    static DutyLog::Options logOptions(const std::string &name)
    {
        DutyLog::Options options;
        options.self = {InstanceId(name), 1};
        options.seed = std::hash<std::string>()(name);
        return options;
    }

    static UsageMeter::Options meterOptions(const std::string &name, std::function<std::chrono::milliseconds()> unixTime)
    {
        UsageMeter::Options options;
        options.self = {InstanceId(name), 1};
        options.windowLength = 5s;
        options.unixTime = std::move(unixTime);
        return options;
    }

    static UsageReporter::Options reporterOptions(std::function<std::chrono::milliseconds()> unixTime)
    {
        UsageReporter::Options options;
        options.windowLength = 5s;
        options.unixTime = std::move(unixTime);
        return options;
    }

    void start(boost::asio::io_context &context)
    {
        boost::asio::co_spawn(context, this->log.run(), boost::asio::detached);
        boost::asio::co_spawn(context, this->meter.run(), boost::asio::detached);
        boost::asio::co_spawn(context, this->reporter.run(), boost::asio::detached);
    }

    void stop()
    {
        this->log.stop();
        this->meter.stop();
        this->reporter.stop();
    }

    DutyHooks hooks;
    DutyLog log;
    UsageMeter meter;
    UsageReporter reporter;
};

struct DutiesTest : testing::Test {
    PausedClock paused;
    TimePoint startTime = RuntimeClock::now();
    boost::asio::io_context context{1};
    FakeDuties duties;
    std::function<std::chrono::milliseconds()> unixTime = [this] {
        return std::chrono::milliseconds(5'000'000)
            + std::chrono::duration_cast<std::chrono::milliseconds>(RuntimeClock::now() - this->startTime);
    };
    Instance a{duties.hooks(), "a", unixTime};
    Instance b{duties.hooks(), "b", unixTime};

    ~DutiesTest() override
    {
        this->a.stop();
        this->b.stop();
        advanceTime(this->context, 3s);
    }

    void startBoth()
    {
        this->a.start(this->context);
        this->b.start(this->context);
        advanceTime(this->context, 2s);
    }

    Instance &leader()
    {
        return this->a.log.isLeading() ? this->a : this->b;
    }
};

} // namespace

TEST_F(DutiesTest, AnotherInstanceBecomesLeaderWhenTheLeaderStops)
{
    this->startBoth();
    ASSERT_NE(this->a.log.isLeading(), this->b.log.isLeading());
    Instance &first = this->leader();
    Instance &second = &first == &this->a ? this->b : this->a;
    const std::uint64_t fence = first.log.fencingToken().fencingNumber;
    first.stop();
    EXPECT_TRUE(advanceTimeUntil(this->context, [&second] {
        return second.log.isLeading();
    }));
    EXPECT_FALSE(first.log.isLeading());
    EXPECT_GT(second.log.fencingToken().fencingNumber, fence);
}

TEST_F(DutiesTest, LeaderHeartbeatsReduceReadsWithoutDelayingTheSuccession)
{
    this->startBoth();
    Instance &first = this->leader();
    Instance &second = &first == &this->a ? this->b : this->a;
    const std::size_t readsBefore = this->duties.dutyReads;
    for (int heartbeat = 0; heartbeat < 20; ++heartbeat) {
        second.log.recordLeaderHeartbeat();
        advanceTime(this->context, 400ms);
    }
    EXPECT_LE(this->duties.dutyReads - readsBefore, 1U);
    first.stop();
    const TimePoint stoppedAt = RuntimeClock::now();
    EXPECT_TRUE(advanceTimeUntil(this->context, [&second] {
        return second.log.isLeading();
    }));
    const DutyLog::Options options;
    EXPECT_LE(RuntimeClock::now() - stoppedAt,
        options.leaderHeartbeatTimeout + options.timing.leaseDuration + options.timing.clockMargin + options.claimJitter
            + 3 * options.tickInterval);
}

namespace
{

constexpr Duration heartbeatInterval = 250ms;

/** Makes the calls of one instance to the log of duties fail. */
void loseStore(Instance &instance)
{
    instance.hooks.appendDuty = [](std::string, std::string, std::uint64_t) -> DutyHooks::AsyncResult<std::uint64_t> {
        co_return fail(ErrorKind::Unreachable, "the store is unreachable", "try again");
    };
    instance.hooks.readDuties = [](std::optional<std::uint64_t>) -> DutyHooks::AsyncResult<KeyedReadResult> {
        co_return fail(ErrorKind::Unreachable, "the store is unreachable", "try again");
    };
}

} // namespace

// A leader that loses the store but not its peers went on to say that it leads until its lease had ended. Others read the log a
// second later, and counted the lease of a record that was older than the lease from then on: 6 s without a leader.
TEST_F(DutiesTest, ALeaderThatLosesTheStoreIsSucceededSoon)
{
    this->startBoth();
    Instance &first = this->leader();
    Instance &second = &first == &this->a ? this->b : this->a;
    bool wasLeading = false;
    const auto exchangeHeartbeat = [this, &first, &second, &wasLeading] {
        if (first.log.isLeadingSafely()) {
            second.log.recordLeaderHeartbeat();
        } else if (wasLeading) {
            second.log.recordLeaderLoss();
        }
        wasLeading = first.log.isLeadingSafely();
        advanceTime(this->context, heartbeatInterval);
    };
    for (int heartbeat = 0; heartbeat < 20; ++heartbeat) {
        exchangeHeartbeat();
    }
    loseStore(first);
    const TimePoint lostAt = RuntimeClock::now();
    while (!second.log.isLeading() && RuntimeClock::now() < lostAt + 30s) {
        exchangeHeartbeat();
    }
    ASSERT_TRUE(second.log.isLeading());
    const DutyLog::Options options;
    EXPECT_LE(RuntimeClock::now() - lostAt,
        2 * options.timing.leaseDuration / 3 + heartbeatInterval + options.timing.leaseDuration + options.timing.clockMargin
            + options.claimJitter + options.tickInterval);
}

TEST_F(DutiesTest, AnIneligibleInstanceDoesNotReadTheLog)
{
    Instance other(this->duties.hooks(), "c", this->unixTime);
    bool isEligible = false;
    DutyLog::Options options = Instance::logOptions("c");
    options.isEligible = [&isEligible] {
        return isEligible;
    };
    DutyLog log(other.hooks, options);
    boost::asio::co_spawn(this->context, log.run(), boost::asio::detached);
    advanceTime(this->context, 10s);
    EXPECT_EQ(this->duties.dutyReads, 0U);
    isEligible = true;
    EXPECT_TRUE(advanceTimeUntil(this->context, [&log] {
        return log.isLeading();
    }));
    log.stop();
    advanceTime(this->context, 1s);
}

TEST_F(DutiesTest, AppendsCountsLessOftenWithManyInstances)
{
    const auto recordsOf = [this](std::size_t instances) {
        const std::size_t recordsBefore = this->duties.counts.size();
        this->a.meter.setInstanceCount(instances);
        for (int i = 0; i < 60; ++i) {
            this->a.meter.recordRequestStart(acme, 0s);
            advanceTime(this->context, 200ms);
        }
        return this->duties.counts.size() - recordsBefore;
    };
    this->startBoth();
    this->b.stop();
    EXPECT_GE(recordsOf(4), 12U);
    EXPECT_LE(recordsOf(32), 8U);
}

TEST_F(DutiesTest, AReleasedLeaseIsClaimedImmediately)
{
    this->startBoth();
    Instance &first = this->leader();
    Instance &second = &first == &this->a ? this->b : this->a;
    boost::asio::co_spawn(this->context, first.log.releaseLease(), boost::asio::detached);
    advanceTime(this->context, 2s);
    EXPECT_TRUE(second.log.isLeading());
}

TEST_F(DutiesTest, AnAppendWithoutAResponseIsReadBackAndNotRepeated)
{
    this->startBoth();
    Instance &first = this->leader();
    this->duties.nextAppendError = Error(ErrorKind::Timeout, "no response", "");
    first.log.enqueueDecision("k", "v");
    advanceTime(this->context, 2s);
    EXPECT_TRUE(first.log.isLeading());
    EXPECT_EQ(std::count_if(this->duties.dutyLog.begin(), this->duties.dutyLog.end(),
                  [](const KeyedEntry &entry) {
                      return entry.key == "k";
                  }),
        1);
    EXPECT_EQ(first.log.decisions().at("k"), "v");
}

TEST_F(DutiesTest, TheLeaderLeaseExpiresWhileTheStoreIsUnreachable)
{
    this->startBoth();
    this->duties.isStoreDown = true;
    advanceTime(this->context, 3s);
    EXPECT_FALSE(this->a.log.isLeading());
    EXPECT_FALSE(this->b.log.isLeading());
    this->duties.isStoreDown = false;
    EXPECT_TRUE(advanceTimeUntil(this->context, [this] {
        return this->a.log.isLeading() || this->b.log.isLeading();
    }));
}

TEST_F(DutiesTest, AWindowIsReportedOnceWithTheCountsOfAllInstances)
{
    this->startBoth();
    this->a.meter.recordRequestStart(acme, 0s);
    this->b.meter.recordRequestStart(acme, 0s);
    this->b.meter.recordRequestStart(acme, 0s);
    advanceTime(this->context, 12s);
    ASSERT_FALSE(this->duties.reports.empty());
    EXPECT_EQ(this->duties.reports.front().first, (WindowCounts{1000, {{acme, 3}}}));
    EXPECT_EQ(this->duties.reports.front().second, this->leader().log.fencingToken());
    EXPECT_EQ(std::count_if(this->duties.reports.begin(), this->duties.reports.end(),
                  [](const auto &report) {
                      return report.first.window == 1000;
                  }),
        1);
}

TEST_F(DutiesTest, ANewLeaderReportsTheFixedCountsAgain)
{
    this->startBoth();
    Instance &first = this->leader();
    Instance &second = &first == &this->a ? this->b : this->a;
    first.meter.recordRequestStart(acme, 0s);
    this->duties.nextReportError = Error(ErrorKind::Timeout, "no response", "");
    EXPECT_TRUE(advanceTimeUntil(this->context, [this] {
        return !this->duties.reports.empty();
    }));
    first.stop();
    second.meter.recordRequestStart(acme, 9s); // counted after the window's counts were fixed
    EXPECT_TRUE(advanceTimeUntil(this->context, [this] {
        return this->duties.reports.size() >= 2;
    }));
    EXPECT_EQ(this->duties.reports[0].first, this->duties.reports[1].first);
    EXPECT_GT(this->duties.reports[1].second.fencingNumber, this->duties.reports[0].second.fencingNumber);
}

TEST_F(DutiesTest, ARefusedReportEndsTheLeadership)
{
    this->startBoth();
    Instance &first = this->leader();
    first.meter.recordRequestStart(acme, 0s);
    this->duties.nextReportError = Error(ErrorKind::Conflict, "a higher fencing number was seen", "");
    EXPECT_TRUE(advanceTimeUntil(this->context, [this] {
        return !this->duties.reports.empty();
    }));
    EXPECT_FALSE(first.log.isLeading());
}

namespace
{

/** Expects that no window was reported with different counts, and returns the number of windows that were reported. */
std::size_t expectOneFigureAWindow(const FakeDuties &duties)
{
    std::map<std::uint64_t, WindowCounts> reported;
    for (const auto &[counts, stamp] : duties.reports) {
        const auto [first, isNew] = reported.emplace(counts.window, counts);
        EXPECT_EQ(first->second, counts) << "window " << counts.window << ", fence " << stamp.fencingNumber;
    }
    return reported.size();
}

} // namespace

// A restored store may have lost the record of the counts that were reported.
TEST_F(DutiesTest, AWindowIsNotReportedWithOtherCountsAfterTheStoreWasRestored)
{
    this->startBoth();
    Instance &first = this->leader();
    Instance &second = &first == &this->a ? this->b : this->a;
    const auto runUntilReported = [this, &first, &second](std::size_t reports) {
        return advanceTimeUntil(this->context, [this, &first, &second, reports] {
            first.meter.recordRequestStart(acme, 0s);
            second.meter.recordRequestStart(acme, 0s);
            second.log.recordLeaderHeartbeat(); // it seldom reads the log meanwhile
            return this->duties.reports.size() >= reports;
        });
    };
    ASSERT_TRUE(runUntilReported(1));
    const std::size_t records = this->duties.dutyLog.size();
    const std::size_t counts = this->duties.counts.size();
    ASSERT_TRUE(runUntilReported(2));
    first.stop();
    this->duties.restore(records, counts);
    const std::uint64_t fence = this->duties.reports.back().second.fencingNumber;
    for (int i = 0; i < 8; ++i) {
        second.meter.recordRequestStart(acme, 0s);
        advanceTime(this->context, 3s);
    }
    EXPECT_GE(expectOneFigureAWindow(this->duties), 3U) << "later windows are reported";
    EXPECT_GT(this->duties.reports.back().second.fencingNumber, fence) << "also where the log gives offsets out again";
}

TEST_F(DutiesTest, ALeaderThatKeepsItsLeaseWritesItsDecisionsAgainAfterTheStoreWasRestored)
{
    this->startBoth();
    Instance &first = this->leader();
    Instance &second = &first == &this->a ? this->b : this->a;
    const std::size_t records = this->duties.dutyLog.size();
    const std::size_t counts = this->duties.counts.size();
    for (int i = 0; i < 30; ++i) {
        first.meter.recordRequestStart(acme, 0s);
        second.log.recordLeaderHeartbeat();
        advanceTime(this->context, 500ms);
    }
    this->duties.restore(records, counts);
    const auto windowsBefore = first.reporter.fixedWindows();
    ASSERT_GE(windowsBefore.size(), 1U);
    for (int i = 0; i < 20; ++i) {
        first.meter.recordRequestStart(acme, 0s);
        second.log.recordLeaderHeartbeat();
        advanceTime(this->context, 500ms);
    }
    EXPECT_TRUE(first.log.isLeading());
    first.stop();
    advanceTime(this->context, 10s);
    EXPECT_TRUE(second.log.isLeading());
    const auto windowsAfter = second.reporter.fixedWindows();
    for (const auto &[window, decision] : windowsBefore) {
        ASSERT_TRUE(windowsAfter.contains(window)) << window;
        EXPECT_EQ(windowsAfter.at(window).counts, decision.counts);
    }
    for (std::uint64_t window = windowsBefore.begin()->first; window < windowsAfter.rbegin()->first; ++window) {
        EXPECT_TRUE(windowsAfter.contains(window)) << "no window is left out: " << window;
    }
    expectOneFigureAWindow(this->duties);
}
