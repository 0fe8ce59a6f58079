#include <flamingosaddle/state/usagebook.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace flamingosaddle;

namespace
{

MeterRecord recordOf(
    const std::string &writer, std::uint64_t sequence, std::uint64_t window, std::uint64_t requests, std::uint64_t completeBefore)
{
    MeterRecord record;
    record.id = {{InstanceId(writer), 1}, sequence};
    record.windows = {{window, {{ClientAccountId("acme"), requests}}}};
    record.completeBefore = completeBefore;
    return record;
}

} // namespace

TEST(UsageAggregator, AddsTheCountsOfAllInstances)
{
    UsageBook aggregator;
    aggregator.apply(recordOf("a", 1, 7, 3, 7));
    aggregator.apply(recordOf("b", 1, 7, 4, 7));
    aggregator.apply(recordOf("a", 2, 7, 1, 8));
    EXPECT_EQ(aggregator.countsOf(7), (WindowCounts{7, {{ClientAccountId("acme"), 8}}}));
}

TEST(UsageAggregator, CountsARecordThatWasAppendedTwiceOnce)
{
    UsageBook aggregator;
    aggregator.apply(recordOf("a", 1, 7, 3, 7));
    aggregator.apply(recordOf("a", 1, 7, 3, 7));
    EXPECT_EQ(aggregator.countsOf(7).accounts.front().requests, 3U);
}

TEST(UsageAggregator, AWindowIsCompleteOnceAllCountingInstancesHaveReported)
{
    UsageBook aggregator;
    aggregator.apply(recordOf("a", 1, 6, 3, 7));
    aggregator.apply(recordOf("b", 1, 6, 3, 7));
    EXPECT_TRUE(aggregator.isComplete(6));
    EXPECT_FALSE(aggregator.isComplete(7));
    aggregator.apply(recordOf("a", 2, 7, 3, 8));
    EXPECT_FALSE(aggregator.isComplete(7)) << "b may still report counts";
    MeterRecord last = recordOf("b", 2, 7, 1, 7);
    last.leaving = true;
    aggregator.apply(last);
    EXPECT_TRUE(aggregator.isComplete(7));
}

TEST(UsageAggregator, AnInstanceWithoutRecentRecordsDoesNotDelayCompletion)
{
    UsageBook aggregator;
    aggregator.apply(recordOf("crashed", 1, 3, 3, 4));
    aggregator.apply(recordOf("a", 1, 7, 3, 8));
    EXPECT_TRUE(aggregator.isComplete(7));
}

TEST(UsageAggregator, CountsForARemovedWindowAreDropped)
{
    UsageBook aggregator;
    aggregator.apply(recordOf("a", 1, 7, 3, 8));
    aggregator.forgetBefore(8);
    aggregator.apply(recordOf("a", 2, 7, 3, 8));
    EXPECT_EQ(aggregator.firstWindow(), std::nullopt);
}

RC_GTEST_PROP(UsageAggregator, RecordsRoundTrip, (std::uint32_t window, std::uint32_t requests, bool leaving))
{
    MeterRecord record = recordOf("a", 1, window, requests, window);
    record.leaving = leaving;
    RC_ASSERT(decodeMeterRecord(encodeMeterRecord(record)).value() == record);
    const FixedWindow finalized{record.windows.front(), window};
    RC_ASSERT(decodeFixedWindow(encodeFixedWindow(finalized)).value() == finalized);
}

RC_GTEST_PROP(UsageAggregator, DecodingAnyBytesNeverThrows, (const std::string &bytes))
{
    (void)decodeMeterRecord(bytes);
    (void)decodeFixedWindow(bytes);
}
