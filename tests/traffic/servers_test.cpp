#include <flamingosaddle/traffic/selection.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

BackendServer serverOf(int number, const std::string &dataCentre, bool cheap, std::uint32_t slots = 8)
{
    BackendServer server;
    server.id = BackendServerId("s" + std::to_string(number));
    server.dataCentre = DataCentre(dataCentre);
    server.models = {ModelName("m")};
    server.slots = slots;
    server.cheap = cheap;
    return server;
}

std::vector<BackendServer> manyServers(int count)
{
    std::vector<BackendServer> servers;
    servers.reserve(count);
    for (int i = 0; i < count; ++i) {
        servers.push_back(serverOf(i, i % 2 == 0 ? "a" : "b", false));
    }
    return servers;
}

SelectionRequest anyRequest()
{
    return SelectionRequest{0, true, 0, noServer};
}

} // namespace

TEST(ServerPool, LimitsCheapServersOfADataCentreToTheSlotsElsewhere)
{
    EXPECT_TRUE(rc::check("requests on the cheap servers of one data centre fit elsewhere", []() {
        const auto cheapSlots = *rc::gen::inRange(1U, 20U);
        const auto otherSlots = *rc::gen::inRange(1U, 10U);
        const auto ends = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
        ServerPool pool;
        pool.setServers({serverOf(0, "a", true, cheapSlots), serverOf(1, "b", false, otherSlots)});
        Selector selector(1);
        const ServerIndex cheap = *pool.find(BackendServerId("s0"));
        const ServerIndex other = *pool.find(BackendServerId("s1"));
        for (const bool end : ends) {
            if (end && pool.server(cheap).inFlight > 0) {
                pool.release(cheap, 0, 1.0);
            } else if (const ServerIndex server = selector.select(pool, anyRequest(), TimePoint()); server != noServer) {
                pool.acquire(server, 0, 1.0);
            }
            RC_ASSERT(pool.server(cheap).inFlight <= otherSlots);
            const bool full = pool.server(other).inFlight == otherSlots;
            const bool cheapFull = pool.server(cheap).inFlight == std::min(cheapSlots, otherSlots);
            RC_ASSERT((selector.select(pool, anyRequest(), TimePoint()) == noServer) == (full && cheapFull));
        }
    }));
}

// After an outage of the store, a server without an entry may be gone.
TEST(Selector, UsesAMissingServerOnlyIfNoOtherHasAFreeSlot)
{
    for (const std::uint64_t prefixHash : {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}) {
        std::vector<BackendServer> servers = manyServers(4);
        servers[0].missing = true;
        servers[2].missing = true;
        ServerPool pool;
        pool.setServers(servers);
        Selector selector(prefixHash + 1);
        SelectionRequest request = anyRequest();
        request.prefixHash = prefixHash;
        for (int i = 0; i < 16; ++i) {
            const ServerIndex server = selector.select(pool, request, TimePoint());
            ASSERT_NE(server, noServer);
            EXPECT_FALSE(pool.server(server).missing) << "request " << i << " with prefix " << prefixHash;
            pool.acquire(server, 0, 1.0);
        }
        const ServerIndex server = selector.select(pool, request, TimePoint());
        ASSERT_NE(server, noServer);
        EXPECT_TRUE(pool.server(server).missing);
    }
}

TEST(ServerPool, CountsPeersButGuaranteesEachInstanceAnEvenShare)
{
    ServerPool pool;
    pool.setServers({serverOf(0, "a", false, 8)});
    pool.applyLoadReport(ServerLoadReport{BackendServerId("s0"), 8, 0, TimePoint(1s)});
    EXPECT_FALSE(pool.availability(0).ordinary);
    pool.setInstanceCount(4);
    EXPECT_TRUE(pool.availability(0).ordinary);
    pool.acquire(0, 0, 1.0);
    pool.acquire(0, 0, 1.0);
    EXPECT_FALSE(pool.availability(0).ordinary);
    pool.applyLoadReport(ServerLoadReport{BackendServerId("s0"), 0, 0, TimePoint()});
    EXPECT_FALSE(pool.availability(0).ordinary) << "an older report must be ignored";
    pool.applyLoadReport(ServerLoadReport{BackendServerId("s0"), 2, 0, TimePoint(2s)});
    EXPECT_TRUE(pool.availability(0).ordinary) << "more than its share while one slot stays free for each other instance";
    pool.applyLoadReport(ServerLoadReport{BackendServerId("s0"), 3, 0, TimePoint(3s)});
    EXPECT_FALSE(pool.availability(0).ordinary);
}

TEST(ServerPool, ManyInstancesUseMostOfTheSlotsOfAFewServers)
{
    ServerPool pool;
    pool.setServers({serverOf(0, "a", false, 6)});
    pool.setInstanceCount(32);
    pool.applyLoadReport(ServerLoadReport{BackendServerId("s0"), 4, 0, TimePoint(1s)});
    EXPECT_TRUE(pool.availability(0).ordinary) << "unused although only the margin should stay free";
    pool.applyLoadReport(ServerLoadReport{BackendServerId("s0"), 5, 0, TimePoint(2s)});
    EXPECT_FALSE(pool.availability(0).ordinary);
}

TEST(Selector, AvoidsStragglersUntilTheirNextProbe)
{
    ServerPool pool;
    pool.setServers(manyServers(5));
    for (int round = 0; round < 20; ++round) {
        for (ServerIndex server = 0; server < 5; ++server) {
            pool.recordInterToken(server, server == 0 ? 200ms : 50ms, TimePoint());
        }
    }
    Selector selector(1);
    for (int i = 0; i < 100; ++i) {
        EXPECT_NE(selector.select(pool, anyRequest(), TimePoint()), 0U);
    }
    EXPECT_TRUE(pool.isStraggler(0, TimePoint()));
    EXPECT_FALSE(pool.isStraggler(0, TimePoint() + ServerPool::minProbeDelay));
}

TEST(Selector, PrefersOtherServersAfterAFailure)
{
    EXPECT_TRUE(rc::check("neither the failed server nor one that failed recently is chosen while there are others", []() {
        const auto failed = *rc::gen::inRange(0U, 6U);
        const auto recentlyFailed = *rc::gen::inRange(0U, 6U);
        ServerPool pool;
        pool.setServers(manyServers(6));
        pool.recordFailure(recentlyFailed, TimePoint());
        Selector selector(*rc::gen::arbitrary<std::uint64_t>());
        SelectionRequest request = anyRequest();
        request.failedServer = failed;
        const ServerIndex chosen = selector.select(pool, request, TimePoint());
        RC_ASSERT(chosen != failed);
        RC_ASSERT(chosen != recentlyFailed);
        RC_ASSERT(pool.server(chosen).dataCentre != pool.server(failed).dataCentre);
    }));
}

TEST(Selector, KeepsAPrefixOnOneServerUpToTheLoadBound)
{
    ServerPool pool;
    pool.setServers(manyServers(10));
    Selector selector(1);
    SelectionRequest request = anyRequest();
    request.prefixHash = 42;
    const ServerIndex home = selector.select(pool, request, TimePoint());
    EXPECT_EQ(selector.select(pool, request, TimePoint()), home);
    std::map<ServerIndex, int> chosen;
    for (int i = 0; i < 40; ++i) {
        const ServerIndex server = selector.select(pool, request, TimePoint());
        pool.acquire(server, 0, 100.0);
        ++chosen[server];
    }
    EXPECT_GE(chosen[home], 4);
    EXPECT_LE(chosen[home], 6) << "the load of 40 on 10 servers is bounded by 1.25 times its mean, rounded up";
}

TEST(Selector, DoesNotHerdOnOneStaleReport)
{
    ServerPool pool;
    pool.setServers(manyServers(10));
    for (int i = 1; i < 10; ++i) {
        pool.applyLoadReport(ServerLoadReport{BackendServerId("s" + std::to_string(i)), 2, 5000, TimePoint(1s)});
    }
    std::set<ServerIndex> chosen;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Selector selector(seed);
        chosen.insert(selector.select(pool, anyRequest(), TimePoint(1s)));
    }
    EXPECT_GT(chosen.size(), 4U);
}
