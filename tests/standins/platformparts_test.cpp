#include "apidesk.h"
#include "logstore.h"
#include "membergroup.h"
#include "platformfaults.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::standins;

namespace
{

constexpr std::size_t plentyOfBytes = 1000;

HttpRequest report(std::uint64_t window, std::uint64_t fencing)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/usage";
    request.headers.set("Flamingosaddle-Lease-Holder", "i1");
    request.headers.set("Flamingosaddle-Fencing-Token", std::to_string(fencing));
    request.body = Json{{"window_id", window}, {"counts", {{"acme", 3}}}}.dump();
    return request;
}

} // namespace

TEST(LogStore, CountsOffsetsUpInEachTopic)
{
    LogStore log;
    EXPECT_EQ(log.append("a", "1"), 0U);
    EXPECT_EQ(log.append("a", "2"), 1U);
    EXPECT_EQ(log.append("b", "3"), 0U);
    EXPECT_EQ(log.append("a", "4", 1), std::nullopt);
    EXPECT_EQ(log.append("a", "4", 2), 2U);
    EXPECT_EQ(log.read("a", 1, plentyOfBytes), (std::vector<StoredRecord>{{1, "2"}, {2, "4"}}));
    EXPECT_EQ(log.audit().size(), 4U);
}

TEST(LogStore, KeepsOffsetsWhenRecordsExpire)
{
    LogStore log;
    log.setRetention(2);
    for (const char *body : {"a", "b", "c", "d"}) {
        log.append("t", body);
    }
    EXPECT_EQ(log.first("t"), 2U);
    log.trim("t", 3);
    EXPECT_EQ(log.read("t", 0, plentyOfBytes), (std::vector<StoredRecord>{{3, "d"}}));
    log.trim("t", 99);
    EXPECT_EQ(log.append("t", "e"), 4U);
}

TEST(LogStore, KeepsTheNewestRecordOfEachKeyForEver)
{
    LogStore log;
    log.append("keyed.t",
        "\x01"
        "aold");
    log.append("keyed.t",
        "\x01"
        "anew");
    log.append("keyed.t",
        "\x01"
        "bgone");
    log.append("keyed.t",
        "\x01"
        "b");
    log.trim("keyed.t", 4);
    EXPECT_EQ(log.newest("keyed.t"), (std::map<std::string, StoredRecord>{{"a", {1, "new"}}}));
}

TEST(ApiDesk, RefusesALowerFencingNumberOfTheSameDuty)
{
    ApiDesk desk;
    EXPECT_EQ(desk.answer(report(1, 5))->status, 200);
    EXPECT_EQ(desk.answer(report(2, 4))->status, 409);
    HttpRequest order = report(0, 4);
    order.target = "/scaling";
    order.body = Json{{"service", "s"}, {"zone", "z"}, {"desired", 2}}.dump();
    EXPECT_EQ(desk.answer(order)->status, 200);
    EXPECT_EQ(desk.usageReports().size(), 2U);
    EXPECT_EQ(desk.usageReports()[1].at("outcome"), "refused");
    EXPECT_EQ(desk.orders()[0].at("count"), 2);
    desk.setFencingCheck(false);
    EXPECT_EQ(desk.answer(report(2, 4))->status, 200);
}

TEST(MemberGroup, DealsThePartitionsOutToWhoToldOfItselfLately)
{
    MemberGroup group;
    const TimePoint start;
    EXPECT_TRUE(group.owners(start).empty());
    EXPECT_EQ(group.join("i1", std::chrono::seconds(9), start), 1U);
    EXPECT_EQ(group.join("i2", std::chrono::seconds(9), start + std::chrono::seconds(5)), 2U);
    EXPECT_EQ(group.join("i2", std::chrono::seconds(9), start + std::chrono::seconds(6)), 2U);
    EXPECT_EQ(group.owners(start + std::chrono::seconds(6))[0], "i1");
    EXPECT_EQ(group.owners(start + std::chrono::seconds(6))[1], "i2");
    EXPECT_EQ(group.owners(start + std::chrono::seconds(10)), std::vector<std::string>(MemberGroup::partitions, "i2"));
    group.leave("i2");
    EXPECT_TRUE(group.owners(start + std::chrono::seconds(10)).empty());
}

TEST(PlatformFaults, LosesAsManyAnswersAsItIsTold)
{
    PlatformFaults faults;
    faults.set({{"log", {{"loseAnswers", 1}, {"delayMs", 20}}}});
    faults.set({{"log", {{"down", true}}}});
    EXPECT_EQ(faults.of("log"), (InterfaceFaults{true, std::chrono::milliseconds(20), 1}));
    EXPECT_TRUE(faults.takeLostAnswer("log"));
    EXPECT_FALSE(faults.takeLostAnswer("log"));
    EXPECT_FALSE(faults.takeLostAnswer("orders"));
}
