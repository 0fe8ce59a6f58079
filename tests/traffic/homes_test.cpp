// Guards against requests that are served, retried, resumed or forwarded outside of their homes, and against tiers that wait
// behind lower ones because requests with and without homes wait in different queues.

#include <flamingosaddle/traffic/dispatcher.h>
#include <flamingosaddle/traffic/serverpool.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const RegionName east("east");
const RegionName west("west");
const DataCentre east1("e1");
const DataCentre east2("e2");
const DataCentre west1("w1");
const DataCentre unknown("u1");
constexpr TimePoint start(100s);

BackendServer serverOf(const std::string &id, const DataCentre &dataCentre, std::uint32_t slots = 1)
{
    BackendServer server;
    server.id = BackendServerId(id);
    server.dataCentre = dataCentre;
    server.kind = BackendKind::Service;
    server.service = ServiceName("engines");
    server.slots = slots;
    return server;
}

RequestProfile profile(Homes homes = {}, int tier = 0)
{
    RequestProfile profile;
    profile.clientAccount = ClientAccountId("bakery");
    profile.requestClass.name = ClassName("class" + std::to_string(tier));
    profile.requestClass.tier = tier;
    profile.requestClass.firstTokenTarget = 60s;
    profile.requestClass.deadline = 60s;
    profile.service = ServiceName("engines");
    profile.maxAttempts = 3;
    profile.homes = std::move(homes);
    profile.arrival = start;
    return profile;
}

using Servers = std::vector<std::string>;
using Names = std::vector<RegionName>;

struct HomeTest : testing::Test {
    Dispatcher dispatcher{options()};
    Decisions decisions;

    static DispatcherOptions options()
    {
        DispatcherOptions options;
        options.exemptUnsentAttempts = true;
        options.retryPercent = 100;
        options.confirmDeathsByPathCheck = true;
        return options;
    }

    void SetUp() override
    {
        this->dispatcher.setRegions({{east1, east}, {east2, east}, {west1, west}});
        this->dispatcher.setServers(
            {serverOf("e1", east1), serverOf("e2", east2), serverOf("w1", west1), serverOf("u1", unknown)}, start);
    }

    Ticket accept(const RequestProfile &profile)
    {
        return std::get<Ticket>(this->dispatcher.submit(profile, start));
    }

    Refusal refuse(const RequestProfile &profile)
    {
        return std::get<Refusal>(this->dispatcher.submit(profile, start));
    }

    Servers startedOn()
    {
        this->dispatcher.dispatch(start, this->decisions);
        Servers servers;
        for (const Assignment &assignment : this->decisions.assignments) {
            servers.push_back(assignment.server.text());
        }
        std::sort(servers.begin(), servers.end());
        return servers;
    }

    /** Lets the instance find that it reaches no server. */
    void loseAllPaths()
    {
        const Ticket ticket = this->accept(profile());
        this->startedOn();
        this->dispatcher.finish(ticket, AttemptOutcome::NotSent, start);
        std::vector<PathCheck> checks;
        this->dispatcher.takePathChecks(start + 1s, checks);
        ASSERT_FALSE(checks.empty());
        for (const PathCheck &check : checks) {
            this->dispatcher.onPathCheck(check, false, start + 1s);
        }
    }

    static PeerPath peer(const std::string &id, const DataCentre &dataCentre)
    {
        return {InstanceId(id), {"127.0.0.1", 1}, dataCentre, {}};
    }
};

} // namespace

TEST_F(HomeTest, RequestsAreServedInTheirHomesOnly)
{
    for (int i = 0; i < 6; ++i) {
        this->accept(profile(Names{east}));
    }
    EXPECT_EQ(this->startedOn(), (Servers{"e1", "e2"}));
    this->accept(profile());
    this->accept(profile());
    EXPECT_EQ(this->startedOn(), (Servers{"u1", "w1"})) << "other requests have all servers";
}

TEST_F(HomeTest, SeveralHomesAreUsedTogetherAndWithOtherRequests)
{
    this->accept(profile(Names{east, west}));
    this->accept(profile(Names{east, west}));
    this->accept(profile(Names{west}));
    this->accept(profile(Names{east, west}));
    this->accept(profile());
    EXPECT_EQ(this->startedOn().size(), 4U);
    EXPECT_EQ(this->dispatcher.inFlight(BackendServerId("u1")), 1U);
}

TEST_F(HomeTest, WithoutAServerThereARequestIsRefusedAsNotRun)
{
    const Refusal expected{RefusalReason::NoHomeServer, RunState::NotRun, 5s};
    EXPECT_EQ(this->refuse(profile(Names{RegionName("south")})), expected);
    EXPECT_EQ(this->refuse(profile(Names{})), expected) << "the homes of route and account have nothing in common";
    this->accept(profile(Names{west}));
    const Ticket waiting = this->accept(profile(Names{west}));
    this->startedOn();
    this->dispatcher.setServers({serverOf("e1", east1)}, start);
    this->dispatcher.dispatch(start, this->decisions);
    EXPECT_EQ(this->decisions.rejections, (std::vector<Rejection>{{waiting, expected}}));
}

TEST_F(HomeTest, EvacuatedHomesAreNamedAsTheReason)
{
    this->dispatcher.setEvacuated(west1, true, start);
    EXPECT_EQ(this->refuse(profile(Names{west})).reason, RefusalReason::DataCentreEvacuated);
    EXPECT_EQ(this->refuse(profile(Names{RegionName("south")})).reason, RefusalReason::NoHomeServer);
}

TEST_F(HomeTest, ServersAndRegionsThatBecomeKnownLaterAreUsed)
{
    EXPECT_EQ(this->refuse(profile(Names{RegionName("south")})).reason, RefusalReason::NoHomeServer);
    this->dispatcher.setRegions({{east1, east}, {east2, east}, {west1, west}, {unknown, RegionName("south")}});
    this->accept(profile(Names{RegionName("south")}));
    EXPECT_EQ(this->startedOn(), (Servers{"u1"}));
    this->dispatcher.setServers({serverOf("e1", east1), serverOf("w2", west1), serverOf("u1", unknown)}, start);
    this->accept(profile(Names{west}));
    EXPECT_EQ(this->startedOn(), (Servers{"w2"}));
}

TEST_F(HomeTest, ARegionThatIsTakenFromADataCentreEndsItsUse)
{
    this->accept(profile(Names{west}));
    EXPECT_EQ(this->startedOn(), (Servers{"w1"}));
    const Ticket running = this->decisions.assignments.front().ticket;
    const Ticket waiting = this->accept(profile(Names{west}));
    this->dispatcher.setRegions({{east1, east}, {east2, east}});
    this->dispatcher.finish(running, AttemptOutcome::Completed, start);
    this->dispatcher.dispatch(start, this->decisions);
    EXPECT_TRUE(this->decisions.assignments.empty());
    ASSERT_EQ(this->decisions.rejections.size(), 1U);
    EXPECT_EQ(this->decisions.rejections.front().ticket, waiting);
}

TEST_F(HomeTest, ARetryStaysInTheHomes)
{
    for (int i = 0; i < 20; ++i) {
        const Ticket ticket = this->accept(profile(Names{west}));
        EXPECT_EQ(this->startedOn(), (Servers{"w1"}));
        EXPECT_FALSE(this->dispatcher.retry(ticket, AttemptOutcome::NotSent, false, start).has_value());
        EXPECT_EQ(this->startedOn(), (Servers{"w1"})) << "the only one there";
        this->dispatcher.finish(ticket, AttemptOutcome::Completed, start);
    }
}

TEST_F(HomeTest, AResumedStreamStaysInTheHomes)
{
    std::vector<BackendServer> servers{serverOf("e1", east1, 8), serverOf("w1", west1, 8), serverOf("w2", west1, 8)};
    servers[0].softwareVersion = servers[1].softwareVersion = "v1";
    servers[2].softwareVersion = "v2";
    this->dispatcher.setServers(servers, start);
    RequestProfile resumed = profile(Names{west});
    resumed.softwareVersion = "v1";
    for (int i = 0; i < 4; ++i) {
        this->accept(resumed);
        EXPECT_EQ(this->startedOn(), (Servers{"w1"}));
    }
    resumed.homes = Names{east};
    resumed.softwareVersion = "v2";
    EXPECT_EQ(this->refuse(resumed).reason, RefusalReason::NoHomeServer);
    // The same within one response.
    const Ticket ticket = this->accept(profile(Names{west}));
    const Servers first = this->startedOn();
    this->dispatcher.requireVersion(ticket, first.front() == "w1" ? "v1" : "v2");
    EXPECT_FALSE(this->dispatcher.retry(ticket, AttemptOutcome::NotSent, false, start).has_value());
    EXPECT_EQ(this->startedOn(), first);
}

TEST_F(HomeTest, LongPromptsStayInTheHomes)
{
    this->dispatcher.setServers({serverOf("e1", east1, 8), serverOf("w1", west1, 8)}, start);
    unsigned served = 0;
    for (int i = 0; i < 60; ++i) {
        RequestProfile prompt = profile(Names{west}, i % 2);
        prompt.promptTokens = i % 2 == 0 ? 200 : 20000;
        prompt.outputTokens = 10;
        prompt.prefixHash = static_cast<std::uint64_t>(i);
        this->accept(prompt);
        this->dispatcher.dispatch(start, this->decisions);
        for (const Assignment &assignment : this->decisions.assignments) {
            EXPECT_EQ(assignment.server, BackendServerId("w1"));
            ++served;
            this->dispatcher.onFirstToken(assignment.ticket, start);
            this->dispatcher.finish(assignment.ticket, AttemptOutcome::Completed, start);
        }
    }
    EXPECT_EQ(served, 60U);
}

// The body of a request must not go to a machine outside of its homes.
TEST_F(HomeTest, ARequestIsForwardedInItsHomesOnly)
{
    this->dispatcher.setPeerPaths(east1, {peer("in-the-east", east2), peer("in-the-west", west1), peer("somewhere", unknown)});
    this->loseAllPaths();
    EXPECT_EQ(this->refuse(profile(Names{west})).reason, RefusalReason::Unreachable);
    for (int i = 0; i < 20; ++i) {
        const std::optional<PeerPath> chosen = this->dispatcher.choosePeer(profile(Names{west}), {});
        ASSERT_TRUE(chosen.has_value());
        EXPECT_EQ(chosen->instance, InstanceId("in-the-west"));
    }
    EXPECT_FALSE(this->dispatcher.choosePeer(profile(Names{west}), {InstanceId("in-the-west")}).has_value());
    this->dispatcher.setPeerPaths(east1, {peer("in-the-east", east2), peer("somewhere", unknown)});
    EXPECT_FALSE(this->dispatcher.isUnreachable(profile(Names{west}))) << "no peer may take it";
    EXPECT_TRUE(this->dispatcher.isUnreachable(profile()));
    EXPECT_FALSE(this->dispatcher.choosePeer(profile(Names{west}), {}).has_value());
}

TEST_F(HomeTest, HigherTiersStartFirstOverAllQueues)
{
    this->dispatcher.setServers({serverOf("w1", west1)}, start);
    const Ticket running = this->accept(profile());
    EXPECT_EQ(this->startedOn(), (Servers{"w1"}));
    const Ticket lowWithHome = this->accept(profile(Names{west}, 2));
    const Ticket highWithout = this->accept(profile({}, 0));
    const Ticket middleWithHome = this->accept(profile(Names{west}, 1));
    std::vector<Ticket> order;
    Ticket last = running;
    for (int i = 0; i < 3; ++i) {
        this->dispatcher.finish(last, AttemptOutcome::Completed, start);
        ASSERT_EQ(this->startedOn().size(), 1U);
        last = this->decisions.assignments.front().ticket;
        order.push_back(last);
    }
    EXPECT_EQ(order, (std::vector<Ticket>{highWithout, middleWithHome, lowWithHome}));
}

// Requests with any homes, evacuations, and servers and regions that come and go, at random.
TEST_F(HomeTest, NoRequestStartsOutsideOfItsHomesWhateverTheOrderOfEvents)
{
    std::mt19937 random(5);
    const std::vector<DataCentre> dataCentres{east1, east2, west1, unknown};
    DataCentreRegions regions{{east1, east}, {east2, east}, {west1, west}};
    std::vector<BackendServer> servers;
    std::map<BackendServerId, DataCentre> places;
    std::map<BackendServerId, std::string> versions;
    for (int i = 0; i < 16; ++i) {
        servers.push_back(serverOf("s" + std::to_string(i), dataCentres[i % 4], 2));
        servers.back().softwareVersion = i % 3 == 0 ? "v1" : "v2";
        places[servers.back().id] = servers.back().dataCentre;
        versions[servers.back().id] = servers.back().softwareVersion;
    }
    this->dispatcher.setServers(servers, start);
    std::map<Ticket, Homes> homesOfTicket;
    std::map<Ticket, std::string> versionOfTicket; // at the server that runs it
    std::vector<Ticket> running;
    for (int step = 0; step < 5000; ++step) {
        switch (random() % 8) {
        case 0:
            this->dispatcher.setEvacuated(dataCentres[random() % 4], random() % 4 == 0, start);
            break;
        case 1:
            std::shuffle(servers.begin(), servers.end(), random);
            this->dispatcher.setServers({servers.begin(), servers.begin() + 12}, start);
            break;
        case 2:
            regions[west1] = random() % 2 == 0 ? west : east;
            this->dispatcher.setRegions(regions);
            break;
        case 3:
        case 4:
            if (!running.empty()) {
                const Ticket ticket = running[random() % running.size()];
                std::erase(running, ticket);
                if (random() % 2 == 0) {
                    this->dispatcher.requireVersion(ticket, versionOfTicket.at(ticket));
                    this->dispatcher.retry(ticket, AttemptOutcome::NotSent, false, start);
                } else {
                    this->dispatcher.finish(ticket, AttemptOutcome::Completed, start);
                }
            }
            break;
        default:
            const std::vector<Homes> choices{{}, Names{east}, Names{west}, Names{east, west}};
            RequestProfile request = profile(choices[random() % 4], static_cast<int>(random() % 3));
            request.softwareVersion = random() % 4 == 0 ? "v1" : "";
            const std::variant<Ticket, Refusal> submitted = this->dispatcher.submit(request, start);
            if (const Ticket *ticket = std::get_if<Ticket>(&submitted)) {
                homesOfTicket[*ticket] = request.homes;
            }
        }
        this->dispatcher.dispatch(start, this->decisions);
        for (const Assignment &assignment : this->decisions.assignments) {
            running.push_back(assignment.ticket);
            versionOfTicket[assignment.ticket] = versions.at(assignment.server);
            const Homes &homes = homesOfTicket.at(assignment.ticket);
            ASSERT_TRUE(!homes.has_value() || isHome(*homes, regions, places.at(assignment.server))) << "step " << step;
        }
    }
}
