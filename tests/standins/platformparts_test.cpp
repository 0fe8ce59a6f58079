#include "instancelist.h"
#include "logstore.h"
#include "machinedesk.h"
#include "platformfaults.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::standins;

TEST(LogStore, CountsOffsetsUpInEachStream)
{
    LogStore log;
    EXPECT_EQ(log.append("config", "a"), 0U);
    EXPECT_EQ(log.append("config", "b"), 1U);
    EXPECT_EQ(log.append("leases", "c"), 0U);
    EXPECT_EQ(log.append("unknown", "d"), std::nullopt);
    EXPECT_EQ(log.read("config", 1, 10), (std::vector<StoredRecord>{{1, "b"}}));
    EXPECT_EQ(log.audit().size(), 3U);
}

TEST(LogStore, KeepsOffsetsWhenRecordsExpire)
{
    LogStore log;
    log.setRetention(2);
    for (const char *body : {"a", "b", "c", "d"}) {
        log.append("config", body);
    }
    EXPECT_EQ(log.first("config"), 2U);
    log.trim("config", 3);
    EXPECT_EQ(log.read("config", 0, 10), (std::vector<StoredRecord>{{3, "d"}}));
    log.trim("config", 99);
    EXPECT_EQ(log.append("config", "e"), 4U);
}

TEST(MachineDesk, CarriesOutAnOrderIdOnce)
{
    MachineDesk desk;
    desk.addSpare(Json{{"id", "m1"}, {"dataCentre", "dc-a"}});
    desk.addSpare(Json{{"id", "m2"}, {"dataCentre", "dc-a"}});
    const MachineOrder order = Json{{"id", "o1"}, {"kind", "startServer"}, {"fencing", 3}, {"holder", "i1"}};
    EXPECT_EQ(desk.order("dc-a", order), DeskAnswer::Done);
    EXPECT_EQ(desk.order("dc-a", order), DeskAnswer::Done);
    EXPECT_EQ(desk.machines("dc-a").size(), 1U);
    EXPECT_EQ(desk.audit()[1].at("outcome"), "duplicate");
}

TEST(MachineDesk, RefusesAnOldFencingNumberOnlyWhereItChecks)
{
    MachineDesk desk;
    const auto stop = [](const char *id, std::uint64_t fencing) -> MachineOrder {
        return Json{{"id", id}, {"kind", "stopServer"}, {"server", "m1"}, {"fencing", fencing}, {"holder", "i1"}};
    };
    EXPECT_EQ(desk.order("dc-a", stop("o1", 5)), DeskAnswer::Done);
    EXPECT_EQ(desk.order("dc-a", stop("o2", 4)), DeskAnswer::Done);
    desk.setFencingCheck(true);
    EXPECT_EQ(desk.order("dc-a", stop("o3", 4)), DeskAnswer::StaleFencing);
    EXPECT_EQ(desk.order("dc-b", stop("o4", 4)), DeskAnswer::Done);
}

TEST(InstanceList, ShowsAChangeAfterItsLag)
{
    InstanceList list;
    list.setLag(std::chrono::seconds(2));
    const TimePoint start;
    list.put({{"id", "i1"}, {"peerAddress", "127.0.0.1:1"}, {"dataCentre", "dc-a"}}, start);
    list.put({{"id", "i2"}, {"peerAddress", "127.0.0.1:2"}, {"dataCentre", "dc-a"}}, start + std::chrono::seconds(1));
    EXPECT_EQ(list.visible(start + std::chrono::seconds(1)).size(), 0U);
    EXPECT_EQ(list.visible(start + std::chrono::seconds(2)).size(), 1U);
    EXPECT_EQ(list.visible(start + std::chrono::seconds(3)).size(), 2U);
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
