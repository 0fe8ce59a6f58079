#include <flamingosaddle/state/servertable.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

ServerChange entry(const std::string &id, bool leaving = false)
{
    RegisteredServer registered;
    registered.server.id = BackendServerId(id);
    registered.server.service = ServiceName("s");
    registered.server.leaving = leaving;
    return {BackendServerId(id), registered};
}

ServerChange removal(const std::string &id)
{
    return {BackendServerId(id), std::nullopt};
}

} // namespace

TEST(ServerTable, RemovesADisappearedEntryWhileTheStoreIsAvailable)
{
    ServerTable table;
    EXPECT_TRUE(table.apply(entry("a"), TimePoint()));
    EXPECT_FALSE(table.apply(entry("a"), TimePoint())) << "nothing changed";
    EXPECT_TRUE(table.apply(removal("a"), TimePoint()));
    EXPECT_TRUE(table.servers().empty());
    EXPECT_FALSE(table.apply(removal("a"), TimePoint()));
}

// A store restored from a backup has entries from before the servers announced that they leave.
TEST(ServerTable, AServerThatLeavesDoesNotBecomeReadyAgainUnlessItRestarts)
{
    ServerTable table;
    const auto isLeaving = [&table] {
        return table.servers().at(BackendServerId("a")).server.leaving;
    };
    table.apply(entry("a"), TimePoint());
    table.apply(entry("a", true), TimePoint());
    EXPECT_FALSE(table.apply(entry("a"), TimePoint()));
    EXPECT_TRUE(isLeaving());
    table.replace({entry("a")}, TimePoint());
    EXPECT_TRUE(isLeaving());
    EXPECT_TRUE(table.apply(removal("a"), TimePoint()));
    table.replace({entry("a"), entry("b")}, TimePoint());
    EXPECT_TRUE(isLeaving()) << "the entry is an old one";
    EXPECT_FALSE(table.servers().at(BackendServerId("b")).server.leaving);
    ServerChange restarted = entry("a");
    restarted.server->startedAt = 1;
    EXPECT_TRUE(table.apply(restarted, TimePoint()));
    EXPECT_FALSE(isLeaving());
}

TEST(ServerTable, AServerThatSaidItLeavesIsLeavingWhateverItsEntrySays)
{
    ServerTable table;
    const auto isLeaving = [&table] {
        return table.servers().at(BackendServerId("a")).server.leaving;
    };
    EXPECT_FALSE(table.recordLeaving(BackendServerId("a"), TimePoint())) << "an unknown server";
    table.apply(entry("a"), TimePoint(1s));
    EXPECT_TRUE(table.recordLeaving(BackendServerId("a"), TimePoint(2s)));
    EXPECT_FALSE(table.recordLeaving(BackendServerId("a"), TimePoint(2s)));
    EXPECT_TRUE(isLeaving());
    EXPECT_FALSE(table.apply(entry("a"), TimePoint(3s)));
    EXPECT_FALSE(table.replace({entry("a")}, TimePoint(3s)));
    EXPECT_TRUE(isLeaving());
}

// The id of a server may be used again: what one start of it said does not hold for the next.
TEST(ServerTable, AServerThatRestartedIsNotLeavingBecauseTheOldOneSaidSo)
{
    ServerTable table;
    const auto isLeaving = [&table] {
        return table.servers().at(BackendServerId("a")).server.leaving;
    };
    table.apply(entry("a"), TimePoint(1s));
    table.recordLeaving(BackendServerId("a"), TimePoint(2s));
    ServerChange restarted = entry("a");
    restarted.server->startedAt = 1;
    EXPECT_TRUE(table.apply(restarted, TimePoint(5s)));
    EXPECT_FALSE(isLeaving());
    EXPECT_FALSE(table.recordLeaving(BackendServerId("a"), TimePoint(4s))) << "the old one answered late";
    EXPECT_TRUE(table.apply(removal("a"), TimePoint(6s)));
    restarted.server->startedAt = 2;
    table.apply(restarted, TimePoint(7s));
    EXPECT_FALSE(table.recordLeaving(BackendServerId("a"), TimePoint(6s)));
    EXPECT_TRUE(table.recordLeaving(BackendServerId("a"), TimePoint(8s)));
}

// Guards against new requests to a server that is about to end: one whose entry is removed says that it leaves only afterwards,
// and a restored store may list the same start again.
TEST(ServerTable, AServerThatSaidItLeavesWhileItWasNotListedIsLeavingWhenItsEntryIsBack)
{
    ServerTable table;
    const BackendServerId id("a");
    table.apply(entry("a"), TimePoint(1s));
    table.apply(removal("a"), TimePoint(3s));
    EXPECT_FALSE(table.recordLeaving(id, TimePoint(2s))) << "the list of servers is unchanged";
    table.replace({entry("a")}, TimePoint(5s));
    EXPECT_TRUE(table.servers().at(id).server.leaving);
    ServerChange restarted = entry("a");
    restarted.server->startedAt = 1;
    table.apply(restarted, TimePoint(6s));
    EXPECT_FALSE(table.servers().at(id).server.leaving);
}

// A response to a request that was sent before the entry came back is of the same start of the server.
TEST(ServerTable, AServerThatSaysItLeavesAfterItsEntryIsBackIsLeavingWheneverTheRequestWasSent)
{
    ServerTable table;
    const BackendServerId id("a");
    table.apply(entry("a"), TimePoint(1s));
    table.apply(removal("a"), TimePoint(3s));
    table.apply(entry("a"), TimePoint(5s));
    EXPECT_TRUE(table.recordLeaving(id, TimePoint(2s)));
    EXPECT_TRUE(table.servers().at(id).server.leaving);
}

// The grace period after an outage ends without a record of the store, unlike a removal.
TEST(ServerTable, AServerWhoseGracePeriodEndedIsLeavingWhenItsEntryIsBack)
{
    ServerTable table;
    const BackendServerId id("a");
    table.apply(entry("a"), TimePoint(1s));
    table.apply(entry("b"), TimePoint(1s));
    table.onStoreLost();
    table.onStoreRecovered(TimePoint(5s));
    table.replace({}, TimePoint(5s));
    EXPECT_TRUE(table.recordLeaving(id, TimePoint(6s)));
    EXPECT_TRUE(table.expire(TimePoint(7s)));
    EXPECT_FALSE(table.recordLeaving(BackendServerId("b"), TimePoint(6s))) << "it answers after the grace period";
    table.replace({entry("a"), entry("b")}, TimePoint(8s));
    EXPECT_TRUE(table.servers().at(id).server.leaving);
    EXPECT_TRUE(table.servers().at(BackendServerId("b")).server.leaving);
}

// A restored store may list an earlier start of a server than the newest that is known.
TEST(ServerTable, AnEarlierStartThatSaidItLeavesIsLeavingWhenItsEntryIsBack)
{
    ServerTable table;
    const BackendServerId id("a");
    table.apply(entry("a"), TimePoint(1s));
    ServerChange restarted = entry("a");
    restarted.server->startedAt = 1;
    table.apply(restarted, TimePoint(5s));
    EXPECT_FALSE(table.recordLeaving(id, TimePoint(4s))) << "the newest start did not say so";
    table.apply(entry("a"), TimePoint(7s));
    EXPECT_TRUE(table.servers().at(id).server.leaving);
    EXPECT_FALSE(table.recordLeaving(id, TimePoint(6s))) << "the request was sent to the newest start";
    table.apply(restarted, TimePoint(9s));
    EXPECT_TRUE(table.servers().at(id).server.leaving);
}

TEST(ServerTable, AServerWhoseEntryIsBackIsColdForNoLongerThanBefore)
{
    ServerTable table;
    ServerChange cold = entry("a");
    cold.server->coldFor = 3s;
    table.apply(cold, TimePoint(10s));
    table.apply(removal("a"), TimePoint(11s));
    cold.server->coldFor = 1800ms;
    table.apply(cold, TimePoint(11400ms));
    EXPECT_EQ(table.servers().at(BackendServerId("a")).server.coldUntil, TimePoint(13s)) << "the same end, read 200 ms later";
}

TEST(DepartedServers, TheOldestAreForgotten)
{
    DepartedServers departed;
    const auto server = [](std::size_t number) {
        return DepartedServer{BackendServerId(std::to_string(number)), number, TimePoint(1s), true, TimePoint()};
    };
    for (std::size_t i = 0; i <= DepartedServers::maxServers; ++i) {
        departed.add(server(i));
    }
    EXPECT_EQ(departed.take(server(0).id, 0), std::nullopt);
    EXPECT_EQ(departed.take(server(1).id, 1), server(1));
    EXPECT_EQ(departed.take(server(1).id, 1), std::nullopt);
    EXPECT_EQ(departed.lastRegisteredAt(server(2).id), TimePoint(1s));
    EXPECT_EQ(departed.lastRegisteredAt(server(1).id), std::nullopt);
}

// Each renewal says how much longer a server is cold. Read with different lags, these must neither move the end nor be published
// as changes again and again.
TEST(ServerTable, TheEndOfAColdTimeIsKnownFromTheFirstEntry)
{
    ServerTable table;
    const auto coldUntil = [&table] {
        return table.servers().at(BackendServerId("a")).server.coldUntil;
    };
    ServerChange cold = entry("a");
    cold.server->coldFor = 3s;
    EXPECT_TRUE(table.apply(cold, TimePoint(10s)));
    EXPECT_EQ(coldUntil(), TimePoint(13s));
    cold.server->coldFor = 1800ms;
    EXPECT_FALSE(table.apply(cold, TimePoint(11400ms))) << "the same end, read 200 ms later";
    EXPECT_EQ(coldUntil(), TimePoint(13s));
    EXPECT_EQ(table.statementOf(BackendServerId("a"), TimePoint(12s)).coldFor, 1s);
    EXPECT_FALSE(table.apply(entry("a"), TimePoint(13500ms))) << "the time is over";
    EXPECT_EQ(table.statementOf(BackendServerId("a"), TimePoint(14s)).coldFor, 0ms);
    EXPECT_TRUE(table.apply(cold, TimePoint(20s))) << "it has turned cold again";
    EXPECT_EQ(coldUntil(), TimePoint(21800ms));
    EXPECT_TRUE(table.apply(entry("a"), TimePoint(20500ms))) << "it is warm sooner";
    EXPECT_LE(coldUntil(), TimePoint(20500ms));
}

TEST(ServerTable, AServerThatRestartsUnderItsIdIsColdAnew)
{
    ServerTable table;
    ServerChange cold = entry("a");
    cold.server->coldFor = 3s;
    table.apply(cold, TimePoint(10s));
    cold.server->startedAt = 1;
    cold.server->coldFor = 2900ms;
    EXPECT_TRUE(table.apply(cold, TimePoint(10200ms)));
    EXPECT_EQ(table.servers().at(BackendServerId("a")).server.coldUntil, TimePoint(13100ms));
    cold.server->coldFor = std::chrono::hours(1000);
    table.apply(cold, TimePoint(11s));
    EXPECT_EQ(table.servers().at(BackendServerId("a")).server.coldUntil, TimePoint(11s) + ServerTable::maxColdTime)
        << "a faulty entry does not end a server for good";
}

TEST(ServerTable, KeepsEntriesThatExpiredDuringAnOutageForTheGracePeriod)
{
    ServerTable table;
    table.apply(entry("running"), TimePoint());
    table.apply(entry("crashed"), TimePoint());
    table.onStoreLost();
    const TimePoint recoveredAt(10s);
    table.onStoreRecovered(recoveredAt);
    table.apply(removal("running"), recoveredAt);
    table.apply(removal("crashed"), recoveredAt + 100ms);
    EXPECT_EQ(table.servers().size(), 2U);
    EXPECT_TRUE(table.servers().at(BackendServerId("running")).server.missing);
    EXPECT_TRUE(table.apply(entry("running"), recoveredAt + 1s));
    EXPECT_FALSE(table.servers().at(BackendServerId("running")).server.missing);
    EXPECT_TRUE(table.servers().at(BackendServerId("crashed")).server.missing);
    EXPECT_FALSE(table.expire(recoveredAt + 1900ms));
    EXPECT_TRUE(table.expire(recoveredAt + 2s));
    EXPECT_EQ(table.servers().size(), 1U);
    EXPECT_TRUE(table.servers().contains(BackendServerId("running")));
}

TEST(ServerTable, KeepsEntriesMissingFromAListShortlyAfterAnOutage)
{
    ServerTable table;
    table.apply(entry("a"), TimePoint());
    table.onStoreLost();
    table.onStoreRecovered(TimePoint(5s));
    EXPECT_TRUE(table.replace({}, TimePoint(5s)));
    EXPECT_TRUE(table.servers().at(BackendServerId("a")).server.missing);
    EXPECT_FALSE(table.replace({}, TimePoint(6s))) << "nothing changed";
    EXPECT_EQ(table.nextExpiry(), TimePoint(7s));
    EXPECT_TRUE(table.expire(TimePoint(7s)));
}

TEST(ServerTable, ALeavingServerIsNotKept)
{
    ServerTable table;
    table.apply(entry("a", true), TimePoint());
    table.onStoreLost();
    table.onStoreRecovered(TimePoint(5s));
    EXPECT_TRUE(table.apply(removal("a"), TimePoint(5s)));
    EXPECT_TRUE(table.servers().empty());
}

TEST(ServerTable, AListReplacesAllEntries)
{
    ServerTable table;
    table.apply(entry("a"), TimePoint());
    EXPECT_TRUE(table.replace({entry("b")}, TimePoint()));
    EXPECT_EQ(table.servers().size(), 1U);
    EXPECT_TRUE(table.servers().contains(BackendServerId("b")));
}
