// Guards against requests that are sent to an evacuated data centre by any way: new ones, those that wait, retries, resumed
// streams, second sends on a new connection and checks of paths; and against capacity that is not used again after the return.

#include <flamingosaddle/traffic/dispatcher.h>
#include <flamingosaddle/traffic/rejectionlimits.h>
#include <flamingosaddle/traffic/serverpool.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const DataCentre a("a");
const DataCentre b("b");
constexpr TimePoint start(100s);

BackendServer serverOf(const std::string &id, const DataCentre &dataCentre, std::uint32_t slots = 1, bool cheap = false)
{
    BackendServer server;
    server.id = BackendServerId(id);
    server.dataCentre = dataCentre;
    server.kind = BackendKind::Service;
    server.service = ServiceName("engines");
    server.slots = slots;
    server.cheap = cheap;
    return server;
}

RequestProfile profile(TimePoint arrival = start)
{
    RequestProfile profile;
    profile.clientAccount = ClientAccountId("bakery");
    profile.requestClass.name = ClassName("class");
    profile.requestClass.firstTokenTarget = 60s;
    profile.requestClass.deadline = 60s;
    profile.service = ServiceName("engines");
    profile.maxAttempts = 3;
    profile.arrival = arrival;
    return profile;
}

struct EvacuatedDataCentre : testing::Test {
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

    Ticket accept(const RequestProfile &profile)
    {
        return std::get<Ticket>(this->dispatcher.submit(profile, profile.arrival));
    }

    std::vector<std::string> startedOn(TimePoint now = start)
    {
        this->dispatcher.dispatch(now, this->decisions);
        std::vector<std::string> servers;
        for (const Assignment &assignment : this->decisions.assignments) {
            servers.push_back(assignment.server.text());
        }
        std::sort(servers.begin(), servers.end());
        return servers;
    }
};

using Servers = std::vector<std::string>;

} // namespace

TEST_F(EvacuatedDataCentre, NewAndWaitingRequestsGoElsewhere)
{
    this->dispatcher.setServers({serverOf("a1", a), serverOf("a2", a), serverOf("b1", b)}, start);
    std::map<std::string, Ticket> running;
    for (int i = 0; i < 3; ++i) {
        this->accept(profile());
    }
    EXPECT_EQ(this->startedOn(), (Servers{"a1", "a2", "b1"}));
    for (const Assignment &assignment : this->decisions.assignments) {
        running[assignment.server.text()] = assignment.ticket;
    }
    this->accept(profile()); // waits
    this->accept(profile());
    this->dispatcher.setEvacuated(a, true, start);
    EXPECT_EQ(this->startedOn(), Servers{});
    EXPECT_TRUE(this->decisions.rejections.empty()) << "b1 will be free";
    EXPECT_EQ(this->dispatcher.runningCount(), 3U) << "what runs there finishes";
    this->dispatcher.finish(running.at("a1"), AttemptOutcome::Completed, start);
    this->dispatcher.finish(running.at("a2"), AttemptOutcome::Completed, start);
    EXPECT_EQ(this->startedOn(), Servers{});
    this->dispatcher.finish(running.at("b1"), AttemptOutcome::Completed, start);
    EXPECT_EQ(this->startedOn(), Servers{"b1"});
    this->dispatcher.setEvacuated(a, false, start);
    this->dispatcher.onDataCentreReturned(a, start);
    EXPECT_EQ(this->startedOn().size(), 1U);
}

TEST_F(EvacuatedDataCentre, ARequestWhoseServersAreAllThereIsRefusedAsNotRun)
{
    this->dispatcher.setServers({serverOf("a1", a)}, start);
    this->accept(profile());
    const Ticket waiting = this->accept(profile());
    EXPECT_EQ(this->startedOn(), (Servers{"a1"}));
    this->dispatcher.setEvacuated(a, true, start);
    this->dispatcher.dispatch(start, this->decisions);
    const Refusal expected{RefusalReason::DataCentreEvacuated, RunState::NotRun, 5s};
    EXPECT_EQ(this->decisions.rejections, (std::vector<Rejection>{{waiting, expected}}));
    EXPECT_EQ(std::get<Refusal>(this->dispatcher.submit(profile(), start)), expected);
    this->dispatcher.setEvacuated(a, false, start + 1s);
    this->dispatcher.onDataCentreReturned(a, start + 1s);
    EXPECT_TRUE(std::holds_alternative<Ticket>(this->dispatcher.submit(profile(start + 1s), start + 1s)));
}

TEST_F(EvacuatedDataCentre, ServersThatAppearThereLaterAreNotUsed)
{
    this->dispatcher.setEvacuated(a, true, start);
    this->dispatcher.setServers({serverOf("a1", a, 8), serverOf("b1", b, 1)}, start);
    this->accept(profile());
    this->accept(profile());
    EXPECT_EQ(this->startedOn(), (Servers{"b1"}));
    this->dispatcher.setEvacuated(a, false, start);
    EXPECT_EQ(this->startedOn(), (Servers{"a1"}));
}

TEST_F(EvacuatedDataCentre, ARetryGoesElsewhere)
{
    for (int i = 0; i < 20; ++i) {
        this->dispatcher.setServers({serverOf("a1", a, 8), serverOf("a2", a, 8)}, start);
        this->dispatcher.setEvacuated(a, false, start);
        const Ticket ticket = this->accept(profile());
        EXPECT_EQ(this->startedOn().size(), 1U);
        this->dispatcher.setServers({serverOf("a1", a, 8), serverOf("a2", a, 8), serverOf("b1", b)}, start);
        this->dispatcher.setEvacuated(a, true, start);
        EXPECT_FALSE(this->dispatcher.retry(ticket, AttemptOutcome::NotSent, false, start).has_value());
        EXPECT_EQ(this->startedOn(), (Servers{"b1"}));
        this->dispatcher.finish(ticket, AttemptOutcome::Completed, start);
    }
}

TEST_F(EvacuatedDataCentre, ARetryWithoutAServerElsewhereIsRefused)
{
    this->dispatcher.setServers({serverOf("a1", a, 8)}, start);
    const Ticket ticket = this->accept(profile());
    EXPECT_EQ(this->startedOn().size(), 1U);
    this->dispatcher.setEvacuated(a, true, start);
    EXPECT_EQ(this->dispatcher.retry(ticket, AttemptOutcome::NotSent, false, start),
        (Refusal{RefusalReason::DataCentreEvacuated, RunState::NotRun, 5s}));
}

// A kept connection that was closed is replaced by a new one to the same server, on which the request is sent again.
TEST_F(EvacuatedDataCentre, ARequestIsNotSentToItsServerAgain)
{
    this->dispatcher.setServers({serverOf("a1", a, 8), serverOf("b1", b, 0)}, start);
    const Ticket ticket = this->accept(profile());
    EXPECT_EQ(this->startedOn(), (Servers{"a1"}));
    EXPECT_TRUE(this->dispatcher.tryResend(ticket, start));
    this->dispatcher.setEvacuated(a, true, start);
    EXPECT_FALSE(this->dispatcher.tryResend(ticket, start));
}

TEST_F(EvacuatedDataCentre, AResumedStreamGoesElsewhereOrIsRefused)
{
    std::vector<BackendServer> servers{serverOf("a1", a, 8), serverOf("a2", a, 8), serverOf("b1", b, 8), serverOf("b2", b, 8)};
    servers[0].softwareVersion = servers[2].softwareVersion = "v1";
    servers[1].softwareVersion = "only-there";
    servers[3].softwareVersion = "v3";
    this->dispatcher.setServers(servers, start);
    this->dispatcher.setEvacuated(a, true, start);
    RequestProfile resumed = profile();
    resumed.softwareVersion = "v1";
    this->accept(resumed);
    EXPECT_EQ(this->startedOn(), (Servers{"b1"}));
    resumed.softwareVersion = "only-there";
    EXPECT_EQ(std::get<Refusal>(this->dispatcher.submit(resumed, start)).reason, RefusalReason::DataCentreEvacuated);
}

TEST_F(EvacuatedDataCentre, PathsAreCheckedElsewhere)
{
    this->dispatcher.setServers({serverOf("a1", a, 8), serverOf("a2", a, 8), serverOf("b1", b, 8)}, start);
    const Ticket ticket = this->accept(profile());
    this->startedOn();
    this->dispatcher.setEvacuated(a, true, start);
    this->dispatcher.finish(ticket, AttemptOutcome::ServerFailed, start);
    std::vector<PathCheck> checks;
    this->dispatcher.takePathChecks(start + 5s, checks);
    ASSERT_FALSE(checks.empty());
    for (const PathCheck &check : checks) {
        EXPECT_EQ(check.server, BackendServerId("b1"));
    }
}

// An operator who works on a data centre may stop its servers, whatever they run.
TEST_F(EvacuatedDataCentre, AServerThatDiesThereDoesNotCountAgainstTheRequest)
{
    this->dispatcher.setServers({serverOf("a1", a, 8), serverOf("a2", a, 8), serverOf("b1", b, 8)}, start);
    RequestProfile request = profile();
    request.fingerprint = 7;
    for (int i = 0; i < 3; ++i) {
        this->dispatcher.setEvacuated(a, false, start);
        this->dispatcher.setEvacuated(b, true, start);
        const Ticket ticket = this->accept(request);
        EXPECT_EQ(this->startedOn().size(), 1U);
        this->dispatcher.setEvacuated(a, true, start);
        this->dispatcher.finish(ticket, AttemptOutcome::ServerFailed, start);
    }
    EXPECT_TRUE(this->dispatcher.deathCounts(10, start).empty());
}

// The requests on the cheap servers of a data centre must fit into the slots that they could move to.
TEST_F(EvacuatedDataCentre, ItsSlotsDoNotBackTheCheapServersElsewhere)
{
    this->dispatcher.setServers({serverOf("a1", a, 8), serverOf("b1", b, 8, true), serverOf("b2", b, 2)}, start);
    this->dispatcher.setEvacuated(a, true, start);
    for (int i = 0; i < 8; ++i) {
        this->accept(profile());
    }
    this->startedOn();
    EXPECT_EQ(this->dispatcher.inFlight(BackendServerId("b1")), 2U);
    EXPECT_EQ(this->dispatcher.inFlight(BackendServerId("b2")), 2U);
}

TEST_F(EvacuatedDataCentre, ItsServersTakeNoShareOfALimitOnRejections)
{
    ServerPool pool;
    pool.setServers({serverOf("a1", a, 8), serverOf("b1", b, 8)});
    const TargetIndex target = *pool.findTarget(ModelName(), ServiceName("engines"));
    EXPECT_EQ(pool.presentServers(target).size(), 2U);
    pool.setEvacuated(a, true);
    ASSERT_EQ(pool.presentServers(target).size(), 1U);
    EXPECT_EQ(pool.presentServers(target).front().first, BackendServerId("b1"));
    EXPECT_TRUE(pool.hasEvacuatedServer(target));
    EXPECT_FALSE(pool.hasServerOfOthers(target));
    pool.setEvacuated(a, false);
    EXPECT_FALSE(pool.hasEvacuatedServer(target));
}

// Data centres are evacuated and taken back at random under load; no request ever starts in an evacuated one, the counts of slots
// stay right, and all slots are used in the end.
TEST_F(EvacuatedDataCentre, NoRequestStartsThereWhateverTheOrderOfEvents)
{
    std::mt19937 random(3);
    const std::vector<DataCentre> dataCentres{a, b, DataCentre("c")};
    std::vector<BackendServer> servers;
    std::map<BackendServerId, DataCentre> places;
    for (int i = 0; i < 12; ++i) {
        servers.push_back(serverOf("s" + std::to_string(i), dataCentres[i % 3], 2));
        servers.back().softwareVersion = i % 2 == 0 ? "v1" : "v2";
        places[servers.back().id] = servers.back().dataCentre;
    }
    this->dispatcher.setServers(servers, start);
    std::set<DataCentre> evacuated;
    std::vector<Ticket> running;
    TimePoint now = start;
    for (int step = 0; step < 5000; ++step) {
        now += 1ms;
        const DataCentre &dataCentre = dataCentres[random() % 3];
        switch (random() % 6) {
        case 0:
            this->dispatcher.setEvacuated(dataCentre, evacuated.insert(dataCentre).second || random() % 2 == 0, now);
            evacuated.insert(dataCentre);
            this->dispatcher.setEvacuated(dataCentre, true, now);
            break;
        case 1:
            evacuated.erase(dataCentre);
            this->dispatcher.setEvacuated(dataCentre, false, now);
            this->dispatcher.onDataCentreReturned(dataCentre, now);
            break;
        case 2:
            if (!running.empty()) {
                const std::size_t index = random() % running.size();
                const Ticket ticket = running[index];
                running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
                if (random() % 2 == 0) {
                    this->dispatcher.retry(ticket, AttemptOutcome::NotSent, false, now);
                } else {
                    this->dispatcher.finish(ticket, AttemptOutcome::Completed, now);
                }
            }
            break;
        case 3:
            std::shuffle(servers.begin(), servers.end(), random);
            this->dispatcher.setServers({servers.begin(), servers.begin() + 8}, now);
            break;
        default:
            RequestProfile request = profile(now);
            request.softwareVersion = random() % 3 == 0 ? "v1" : "";
            this->dispatcher.submit(request, now);
        }
        this->dispatcher.dispatch(now, this->decisions);
        for (const Assignment &assignment : this->decisions.assignments) {
            running.push_back(assignment.ticket);
            ASSERT_FALSE(evacuated.contains(places.at(assignment.server))) << "step " << step;
        }
    }
    for (const Ticket ticket : running) {
        this->dispatcher.finish(ticket, AttemptOutcome::Completed, now);
    }
    this->dispatcher.setServers(servers, now);
    for (const DataCentre &dataCentre : dataCentres) {
        this->dispatcher.setEvacuated(dataCentre, false, now);
    }
    now += 60s;
    this->dispatcher.dispatch(now, this->decisions);
    for (const Assignment &assignment : std::vector<Assignment>(this->decisions.assignments)) {
        this->dispatcher.finish(assignment.ticket, AttemptOutcome::Completed, now);
    }
    for (int i = 0; i < 24; ++i) {
        this->accept(profile(now));
    }
    EXPECT_EQ(this->startedOn(now).size(), 24U);
}
