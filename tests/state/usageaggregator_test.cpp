#include <flamingosaddle/state/usageaggregator.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace flamingosaddle;

namespace
{

UsageRecord recordOf(
    const std::string &writer, std::uint64_t sequence, std::uint64_t window, std::uint64_t requests, std::uint64_t completeBefore)
{
    UsageRecord record;
    record.id = {{InstanceId(writer), 1}, sequence};
    record.windows = {{window, {{ClientAccountId("acme"), requests}}}};
    record.completeBefore = completeBefore;
    return record;
}

} // namespace

TEST(UsageAggregator, AddsTheCountsOfAllInstances)
{
    UsageAggregator aggregator;
    aggregator.apply(recordOf("a", 1, 7, 3, 7));
    aggregator.apply(recordOf("b", 1, 7, 4, 7));
    aggregator.apply(recordOf("a", 2, 7, 1, 8));
    EXPECT_EQ(aggregator.countsOf(7), (WindowCounts{7, {{ClientAccountId("acme"), 8}}}));
}

TEST(UsageAggregator, CountsARecordThatWasAppendedTwiceOnce)
{
    UsageAggregator aggregator;
    aggregator.apply(recordOf("a", 1, 7, 3, 7));
    aggregator.apply(recordOf("a", 1, 7, 3, 7));
    EXPECT_EQ(aggregator.countsOf(7).accounts.front().requests, 3U);
}

TEST(UsageAggregator, AWindowIsCompleteOnceAllCountingInstancesHaveReported)
{
    UsageAggregator aggregator;
    aggregator.apply(recordOf("a", 1, 6, 3, 7));
    aggregator.apply(recordOf("b", 1, 6, 3, 7));
    EXPECT_TRUE(aggregator.isComplete(6));
    EXPECT_FALSE(aggregator.isComplete(7));
    aggregator.apply(recordOf("a", 2, 7, 3, 8));
    EXPECT_FALSE(aggregator.isComplete(7)) << "b may still report counts";
    UsageRecord last = recordOf("b", 2, 7, 1, 7);
    last.leaving = true;
    aggregator.apply(last);
    EXPECT_TRUE(aggregator.isComplete(7));
}

TEST(UsageAggregator, AnInstanceWithoutRecentRecordsDoesNotDelayCompletion)
{
    UsageAggregator aggregator;
    aggregator.apply(recordOf("crashed", 1, 3, 3, 4));
    aggregator.apply(recordOf("a", 1, 7, 3, 8));
    EXPECT_TRUE(aggregator.isComplete(7));
}

TEST(UsageAggregator, CountsForARemovedWindowAreDropped)
{
    UsageAggregator aggregator;
    aggregator.apply(recordOf("a", 1, 7, 3, 8));
    aggregator.removeBefore(8);
    aggregator.apply(recordOf("a", 2, 7, 3, 8));
    EXPECT_EQ(aggregator.firstWindow(), std::nullopt);
}

RC_GTEST_PROP(UsageAggregator, RecordsRoundTrip, (std::uint32_t window, std::uint32_t requests, bool leaving))
{
    UsageRecord record = recordOf("a", 1, window, requests, window);
    record.leaving = leaving;
    RC_ASSERT(decodeUsageRecord(encodeUsageRecord(record)).value() == record);
    const FinalizedWindow finalized{record.windows.front(), window};
    RC_ASSERT(decodeFinalizedWindow(encodeFinalizedWindow(finalized)).value() == finalized);
}

RC_GTEST_PROP(UsageAggregator, DecodingAnyBytesNeverThrows, (const std::string &bytes))
{
    (void)decodeUsageRecord(bytes);
    (void)decodeFinalizedWindow(bytes);
}
