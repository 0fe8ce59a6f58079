// The shares of cold backend servers, and what the pool and the dispatcher do with a server that turns cold. Guards against an
// instance that sends a server that has just started as many requests as a warm one, and against one that holds work back from a
// server that is warm.

#include <flamingosaddle/traffic/admission.h>
#include <flamingosaddle/traffic/coldservers.h>
#include <flamingosaddle/traffic/dispatcher.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start = TimePoint(1h);
constexpr double bornePerSecond = 4.0;
const BackendServerId coldId("cold");
const BackendServerId warmId("warm");

std::vector<InstanceId> instances(std::size_t count)
{
    std::vector<InstanceId> ids;
    for (std::size_t i = 0; i < count; ++i) {
        ids.emplace_back("i" + std::to_string(i));
    }
    return ids;
}

/** Returns the shares that all of @p count instances derive for one server. */
std::vector<std::uint32_t> sharesOf(std::size_t count, const ColdServerOptions &options, const BackendServerId &server)
{
    const std::vector<InstanceId> all = instances(count);
    std::vector<std::uint32_t> shares;
    for (const InstanceId &self : all) {
        std::vector<InstanceId> peers = all;
        std::erase(peers, self);
        ColdServers servers(options);
        servers.setInstances(self, peers);
        shares.push_back(servers.share(server, bornePerSecond, start));
    }
    return shares;
}

BackendServer serverOf(const BackendServerId &id, TimePoint coldUntil = {})
{
    BackendServer server;
    server.id = id;
    server.dataCentre = DataCentre(id == coldId ? "a" : "b");
    server.models = {ModelName("model")};
    server.slots = 64;
    server.coldRequestsPerSecond = bornePerSecond;
    server.coldUntil = coldUntil;
    return server;
}

RequestProfile requestAt(TimePoint arrival)
{
    RequestProfile profile;
    profile.requestClass.name = ClassName("class");
    profile.requestClass.firstTokenTarget = 30s;
    profile.requestClass.deadline = 30s;
    profile.model = ModelName("model");
    profile.arrival = arrival;
    return profile;
}

/** An instance that shares the servers with three others. */
class ColdDispatcher : public testing::Test
{
protected:
    ColdDispatcher()
    {
        this->dispatcher.setServers({serverOf(coldId), serverOf(warmId)}, this->now);
        this->dispatcher.setInstances(InstanceId("self"), instances(3), this->now);
        this->dispatcher.takeColdChanges();
    }

    void setServers(const BackendServer &cold)
    {
        this->dispatcher.setServers({cold, serverOf(warmId)}, this->now);
    }

    /** Confirms that the servers are those of now. */
    void confirm()
    {
        this->dispatcher.onServersConfirmed(this->now, this->now);
    }

    /** Submits requests and returns how many started on the server that turns cold. */
    std::size_t startMany(std::size_t requests, AttemptOutcome outcome = AttemptOutcome::Completed)
    {
        for (std::size_t i = 0; i < requests; ++i) {
            static_cast<void>(this->dispatcher.submit(requestAt(this->now), this->now));
        }
        return this->dispatch(outcome);
    }

    std::size_t dispatch(AttemptOutcome outcome = AttemptOutcome::Completed)
    {
        Decisions decisions;
        this->dispatcher.dispatch(this->now, decisions);
        std::size_t started = 0;
        for (const Assignment &assignment : decisions.assignments) {
            const bool isCold = assignment.server == coldId;
            started += isCold ? 1 : 0;
            this->dispatcher.finish(assignment.ticket, isCold ? outcome : AttemptOutcome::Completed, this->now);
        }
        return started;
    }

    /** Returns why the server is treated as cold. */
    std::optional<ColdReason> reason() const
    {
        for (const ColdServerStatus &status : this->dispatcher.coldServers(this->now)) {
            if (status.server == coldId) {
                return status.reason;
            }
        }
        return std::nullopt;
    }

    void pass(Duration time)
    {
        this->now += time;
    }

    static DispatcherOptions options()
    {
        DispatcherOptions options;
        options.coldServers.overage = 1.0;
        options.coldServers.tolerance = 4.0; // 6 of 8 requests are used, 1 or 2 by each of four instances
        return options;
    }

    TimePoint now = start;
    Dispatcher dispatcher{options()};
};

} // namespace

TEST(ColdServers, AllInstancesTogetherStayWithinTheLimit)
{
    const ColdServerOptions options{1.5, 3.0, std::nullopt}; // 9 requests in a second
    for (const std::size_t count : {1U, 2U, 4U, 6U, 7U, 25U, 118U}) {
        const std::vector<std::uint32_t> shares = sharesOf(count, options, coldId);
        std::uint32_t sum = 0;
        for (const std::uint32_t share : shares) {
            sum += share;
        }
        EXPECT_EQ(sum, 6U) << count << " instances use the allowance, and no more";
    }
}

TEST(ColdServers, EachServerIsLeftToOtherInstances)
{
    std::vector<std::uint32_t> servers(25, 0);
    constexpr int count = 100;
    for (int server = 0; server < count; ++server) {
        const std::vector<std::uint32_t> shares
            = sharesOf(25, {1.5, 3.0, std::nullopt}, BackendServerId("s" + std::to_string(server)));
        for (std::size_t i = 0; i < shares.size(); ++i) {
            servers[i] += shares[i];
        }
    }
    // Each has 24 of 100 on average.
    EXPECT_GE(*std::min_element(servers.begin(), servers.end()), 8U) << "no instance goes without";
}

TEST(ColdServers, ALimitBelowOneRequestLeavesTheServerAlone)
{
    EXPECT_EQ(ColdServers({1.0, 0.0, std::nullopt}).allowance(0.5), 0U);
    EXPECT_EQ(ColdServers({1.0, 0.0, std::nullopt}).allowance(1.0), 1U);
    EXPECT_EQ(ColdServers({1.5, 5.0, std::nullopt}).allowance(5.2), 9U);
}

// All instances of a deployment may start at once, and none knows the others then.
TEST(ColdServers, AnInstanceThatHasJustStartedHasNoShareAndOneWithoutPeersASmallOne)
{
    ColdServers servers({1.5, 3.0, start});
    EXPECT_EQ(servers.share(coldId, bornePerSecond, start + ColdServers::joinTime - 1ms), 0U);
    EXPECT_EQ(servers.share(coldId, bornePerSecond, start + ColdServers::joinTime), 1U);
    EXPECT_EQ(servers.share(coldId, bornePerSecond, start + ColdServers::aloneTime), 6U) << "it is the only one";
    EXPECT_EQ(servers.nextChange(start), start + ColdServers::joinTime);
    EXPECT_EQ(servers.nextChange(start + ColdServers::aloneTime), std::nullopt);
}

TEST(RecentStarts, KeepsTheNewestAndForgetsThoseOutsideTheWindow)
{
    RecentStarts starts;
    starts.record(start);
    EXPECT_EQ(starts.left(1), 1U) << "none is kept";
    starts.keep(2);
    EXPECT_EQ(starts.left(2), 2U);
    starts.record(start);
    starts.record(start + 100ms);
    starts.record(start + 200ms);
    EXPECT_EQ(starts.left(2), 0U);
    EXPECT_EQ(starts.left(1), 0U);
    EXPECT_EQ(starts.nextStart(2), start + 100ms + ColdServers::window);
    EXPECT_EQ(starts.nextStart(0), std::nullopt);
    EXPECT_FALSE(starts.expire(start + ColdServers::window));
    EXPECT_TRUE(starts.expire(start + 100ms + ColdServers::window));
    EXPECT_EQ(starts.left(2), 1U);
    EXPECT_EQ(starts.nextStart(2), std::nullopt);
}

TEST_F(ColdDispatcher, AWarmServerTakesAllRequests)
{
    EXPECT_GT(this->startMany(60), 10U);
    EXPECT_EQ(this->reason(), std::nullopt);
}

TEST_F(ColdDispatcher, AColdServerGetsTheShareInEachWindowUntilItIsWarm)
{
    this->setServers(serverOf(coldId, this->now + 3s));
    const std::vector<ColdServerChange> changes = this->dispatcher.takeColdChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().reason, ColdReason::Stated);
    EXPECT_EQ(changes.front().remaining, 3s);
    const std::uint32_t share = changes.front().share;
    ASSERT_TRUE(share == 1 || share == 2);
    EXPECT_EQ(this->startMany(60), share);
    EXPECT_EQ(this->startMany(60), 0U);
    this->pass(ColdServers::window);
    EXPECT_EQ(this->startMany(60), share);
    this->pass(3s - ColdServers::window);
    EXPECT_GT(this->startMany(60), 10U) << "it is warm";
    EXPECT_EQ(this->dispatcher.takeColdChanges().back().reason, std::nullopt);
}

// The requests that this instance sent before it read the entry reached the cold server too.
TEST_F(ColdDispatcher, RequestsBeforeTheEntryWasReadCount)
{
    EXPECT_GT(this->startMany(60), 2U);
    this->pass(500ms);
    this->setServers(serverOf(coldId, this->now + 3s));
    EXPECT_EQ(this->startMany(60), 0U);
    this->pass(ColdServers::window);
    EXPECT_GT(this->startMany(60), 0U);
}

// A server that restarts under its id is cold before its entry says so. If its entry has neither changed nor disappeared long
// enough after, the server did not restart: only the connection failed.
TEST_F(ColdDispatcher, AServerThatFailedIsColdUntilItsEntryWouldSayThatItRestarted)
{
    this->startMany(60, AttemptOutcome::ServerFailed);
    EXPECT_EQ(this->reason(), ColdReason::Failed);
    this->pass(ColdServers::restartStatementTime - 100ms);
    this->confirm();
    EXPECT_EQ(this->reason(), ColdReason::Failed);
    this->pass(100ms);
    this->dispatch();
    EXPECT_EQ(this->reason(), ColdReason::Failed) << "what was read before says nothing";
    this->confirm();
    EXPECT_EQ(this->reason(), std::nullopt);
}

// A server that failed, and whose entry then states a cold time, is still suspected when that time has ended. The stated end must
// not remain the time of the next start: the traffic thread would wake up again and again.
TEST_F(ColdDispatcher, AStatedTimeThatEndsBeforeASuspicionIsNoTimeToWakeUp)
{
    this->startMany(60, AttemptOutcome::ServerFailed);
    this->setServers(serverOf(coldId, this->now + 3s));
    this->dispatch();
    EXPECT_EQ(this->reason(), ColdReason::Stated);
    this->pass(3s - 100ms);
    this->dispatch();
    this->startMany(60);
    this->pass(100ms);
    this->dispatch();
    EXPECT_EQ(this->reason(), ColdReason::Failed);
    const std::optional<TimePoint> wakeup = this->dispatcher.nextWakeup();
    EXPECT_TRUE(!wakeup.has_value() || *wakeup > this->now);
}

// The return of a data centre must not shorten the time in which a server that failed there may still state a restart.
TEST_F(ColdDispatcher, TheReturnOfADataCentreDoesNotEndAnEarlierSuspicion)
{
    this->startMany(60, AttemptOutcome::ServerFailed);
    this->pass(500ms);
    this->dispatcher.onDataCentreReturned(serverOf(coldId).dataCentre, this->now);
    this->pass(ColdServers::statementTime);
    this->confirm();
    EXPECT_EQ(this->reason(), ColdReason::Failed);
}

TEST_F(ColdDispatcher, AServerThatAPeerSawDieIsCold)
{
    this->dispatcher.applyPeerDeath({coldId, 7, {}, 1s}, this->now);
    EXPECT_EQ(this->reason(), ColdReason::Failed);
}

TEST_F(ColdDispatcher, AServerWhoseEntryHasDisappearedIsCold)
{
    BackendServer missing = serverOf(coldId);
    missing.missing = true;
    this->setServers(missing);
    EXPECT_EQ(this->reason(), ColdReason::Missing);
}

// An instance that is cut off from the store knows servers as warm that have restarted since.
TEST_F(ColdDispatcher, ServersWhoseEntriesAreOldAreCold)
{
    this->confirm();
    for (int i = 0; i < 10; ++i) {
        this->pass(500ms);
        this->dispatch();
    }
    EXPECT_EQ(this->reason(), ColdReason::Stale);
    EXPECT_EQ(this->dispatcher.coldServers(this->now).size(), 2U) << "all servers";
    this->confirm();
    EXPECT_EQ(this->reason(), std::nullopt);
}

TEST_F(ColdDispatcher, TheServersOfADataCentreThatIsTakenBackAreCold)
{
    this->dispatcher.onDataCentreReturned(DataCentre("a"), this->now);
    EXPECT_EQ(this->reason(), ColdReason::Returned);
    EXPECT_EQ(this->dispatcher.coldServers(this->now).size(), 1U);
    this->pass(ColdServers::statementTime);
    this->confirm();
    EXPECT_EQ(this->reason(), std::nullopt);
}

TEST_F(ColdDispatcher, AServiceWithoutALimitHasNoColdServers)
{
    BackendServer server = serverOf(coldId, this->now + 3s);
    server.coldRequestsPerSecond = 0.0;
    this->setServers(server);
    EXPECT_EQ(this->reason(), std::nullopt);
    EXPECT_GT(this->startMany(60), 10U);
}

TEST_F(ColdDispatcher, ARequestIsNotSentAgainToAColdServerBeyondTheShare)
{
    this->dispatcher.setServers({serverOf(coldId, this->now + 3s)}, this->now);
    const std::uint32_t share = this->dispatcher.takeColdChanges().front().share;
    const auto submitted = this->dispatcher.submit(requestAt(this->now), this->now);
    Decisions decisions;
    this->dispatcher.dispatch(this->now, decisions);
    ASSERT_EQ(decisions.assignments.size(), 1U);
    const Ticket ticket = std::get<Ticket>(submitted);
    std::uint32_t resends = 0;
    while (resends < 10 && this->dispatcher.tryResend(ticket, this->now)) {
        ++resends;
    }
    EXPECT_EQ(resends + 1, share);
    this->pass(ColdServers::window);
    EXPECT_TRUE(this->dispatcher.tryResend(ticket, this->now));
}

// With all servers cold, requests start at the rate of the shares, and admission has to know.
TEST_F(ColdDispatcher, WaitsAreForecastFromTheShares)
{
    for (int i = 0; i < 30; ++i) {
        this->startMany(2);
        this->pass(100ms);
    }
    this->pass(ColdServers::window);
    this->dispatcher.setServers({serverOf(coldId, this->now + 60s), serverOf(warmId, this->now + 60s)}, this->now);
    this->startMany(20);
    EXPECT_GT(this->dispatcher.waitingCount(), 10U);
    EXPECT_GT(this->dispatcher.forecast(requestAt(this->now), this->now).waitSeconds, 2.0);
    ASSERT_TRUE(this->dispatcher.nextWakeup().has_value());
    EXPECT_LE(*this->dispatcher.nextWakeup(), this->now + ColdServers::window) << "the next share is waited for";
}
