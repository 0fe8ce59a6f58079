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

ServerChange gone(const std::string &id)
{
    return {BackendServerId(id), std::nullopt};
}

} // namespace

TEST(ServerTable, DropsAnEntryThatVanishesWhileTheStoreIsThere)
{
    ServerTable table;
    EXPECT_TRUE(table.apply(entry("a"), TimePoint()));
    EXPECT_FALSE(table.apply(entry("a"), TimePoint())) << "nothing changed";
    EXPECT_TRUE(table.apply(gone("a"), TimePoint()));
    EXPECT_TRUE(table.servers().empty());
    EXPECT_FALSE(table.apply(gone("a"), TimePoint()));
}

TEST(ServerTable, KeepsAnEntryThatLapsedWhileTheStoreWasAway)
{
    ServerTable table;
    table.apply(entry("lives"), TimePoint());
    table.apply(entry("died"), TimePoint());
    table.noteStoreLost();
    const TimePoint back(10s);
    table.noteStoreBack(back);
    table.apply(gone("lives"), back);
    table.apply(gone("died"), back + 100ms);
    EXPECT_EQ(table.servers().size(), 2U);
    table.apply(entry("lives"), back + 1s);
    EXPECT_FALSE(table.expire(back + 1900ms));
    EXPECT_TRUE(table.expire(back + 2s));
    EXPECT_EQ(table.servers().size(), 1U);
    EXPECT_TRUE(table.servers().contains(BackendServerId("lives")));
}

TEST(ServerTable, KeepsEntriesThatAListingLeavesOutShortlyAfterTheReturn)
{
    ServerTable table;
    table.apply(entry("a"), TimePoint());
    table.noteStoreLost();
    table.noteStoreBack(TimePoint(5s));
    EXPECT_FALSE(table.replace({}, TimePoint(5s)));
    EXPECT_EQ(table.nextExpiry(), TimePoint(7s));
    EXPECT_TRUE(table.expire(TimePoint(7s)));
}

TEST(ServerTable, AServerThatSaidItLeavesIsNotKept)
{
    ServerTable table;
    table.apply(entry("a", true), TimePoint());
    table.noteStoreLost();
    table.noteStoreBack(TimePoint(5s));
    EXPECT_TRUE(table.apply(gone("a"), TimePoint(5s)));
    EXPECT_TRUE(table.servers().empty());
}

TEST(ServerTable, AListingReplacesWhatIsKnown)
{
    ServerTable table;
    table.apply(entry("a"), TimePoint());
    EXPECT_TRUE(table.replace({entry("b")}, TimePoint()));
    EXPECT_EQ(table.servers().size(), 1U);
    EXPECT_TRUE(table.servers().contains(BackendServerId("b")));
}
