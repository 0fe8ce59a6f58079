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

TEST(UsageBook, AddsTheCountsOfAllInstances)
{
    UsageBook book;
    book.apply(recordOf("a", 1, 7, 3, 7));
    book.apply(recordOf("b", 1, 7, 4, 7));
    book.apply(recordOf("a", 2, 7, 1, 8));
    EXPECT_EQ(book.countsOf(7), (WindowCounts{7, {{ClientAccountId("acme"), 8}}}));
}

TEST(UsageBook, CountsARecordThatWasAppendedTwiceOnce)
{
    UsageBook book;
    book.apply(recordOf("a", 1, 7, 3, 7));
    book.apply(recordOf("a", 1, 7, 3, 7));
    EXPECT_EQ(book.countsOf(7).accounts.front().requests, 3U);
}

TEST(UsageBook, AWindowIsCompleteOnceAllWhoCountedBeforeItsEndHaveTold)
{
    UsageBook book;
    book.apply(recordOf("a", 1, 6, 3, 7));
    book.apply(recordOf("b", 1, 6, 3, 7));
    EXPECT_TRUE(book.isComplete(6));
    EXPECT_FALSE(book.isComplete(7));
    book.apply(recordOf("a", 2, 7, 3, 8));
    EXPECT_FALSE(book.isComplete(7)) << "b may still have counts";
    MeterRecord last = recordOf("b", 2, 7, 1, 7);
    last.leaving = true;
    book.apply(last);
    EXPECT_TRUE(book.isComplete(7));
}

TEST(UsageBook, AnInstanceThatWentSilentWindowsAgoIsNotWaitedFor)
{
    UsageBook book;
    book.apply(recordOf("dead", 1, 3, 3, 4));
    book.apply(recordOf("a", 1, 7, 3, 8));
    EXPECT_TRUE(book.isComplete(7));
}

TEST(UsageBook, WhatComesForAForgottenWindowIsDropped)
{
    UsageBook book;
    book.apply(recordOf("a", 1, 7, 3, 8));
    book.forgetBefore(8);
    book.apply(recordOf("a", 2, 7, 3, 8));
    EXPECT_EQ(book.firstWindow(), std::nullopt);
}

RC_GTEST_PROP(UsageBook, RecordsSurviveTheirCodec, (std::uint32_t window, std::uint32_t requests, bool leaving))
{
    MeterRecord record = recordOf("a", 1, window, requests, window);
    record.leaving = leaving;
    RC_ASSERT(decodeMeterRecord(encodeMeterRecord(record)).value() == record);
    const FixedWindow fixed{record.windows.front(), window};
    RC_ASSERT(decodeFixedWindow(encodeFixedWindow(fixed)).value() == fixed);
}

RC_GTEST_PROP(UsageBook, AnyBytesAreReadWithoutThrowing, (const std::string &bytes))
{
    (void)decodeMeterRecord(bytes);
    (void)decodeFixedWindow(bytes);
}
