#include <flamingosaddle/traffic/dispatcher.h>
#include <flamingosaddle/traffic/policies.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

RequestProfile profileOf(const std::string &account, int tier, TimePoint arrival = {})
{
    RequestProfile profile;
    profile.clientAccount = ClientAccountId(account);
    profile.requestClass.name = ClassName("class" + std::to_string(tier));
    profile.requestClass.tier = tier;
    profile.model = ModelName("model");
    profile.arrival = arrival;
    return profile;
}

BackendServer serverOf(const std::string &id, std::uint32_t slots)
{
    BackendServer server;
    server.id = BackendServerId(id);
    server.dataCentre = DataCentre("a");
    server.models = {ModelName("model")};
    server.slots = slots;
    return server;
}

/** A request that is accepted whatever the wait for a server is. */
RequestProfile patientProfile()
{
    RequestProfile profile = profileOf("a", 0);
    profile.requestClass.firstTokenTarget = 60s;
    profile.requestClass.deadline = 60s;
    return profile;
}

Ticket submitAccepted(Dispatcher &dispatcher, const RequestProfile &profile)
{
    return std::get<Ticket>(dispatcher.submit(profile, profile.arrival));
}

} // namespace

TEST(Dispatcher, StartsHigherTiersFirstWithinTheSlots)
{
    Dispatcher dispatcher{DispatcherOptions()};
    dispatcher.setServers({serverOf("s", 1)}, TimePoint());
    const Ticket low = submitAccepted(dispatcher, profileOf("a", 1));
    const Ticket high = submitAccepted(dispatcher, profileOf("b", 0));
    Decisions decisions;
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_EQ(decisions.assignments, (std::vector<Assignment>{{high, BackendServerId("s"), false}}));
    dispatcher.finish(high, AttemptOutcome::Completed, TimePoint());
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_EQ(decisions.assignments, (std::vector<Assignment>{{low, BackendServerId("s"), false}}));
}

TEST(Dispatcher, ARequestThatContinuesAStreamStartsAtServersOfItsVersionBeforeNewOnes)
{
    Dispatcher dispatcher{DispatcherOptions()};
    BackendServer first = serverOf("first", 1);
    first.softwareVersion = "v1";
    BackendServer second = serverOf("second", 8);
    second.softwareVersion = "v2";
    dispatcher.setServers({first, second}, TimePoint());
    RequestProfile continuing = patientProfile();
    continuing.softwareVersion = "v1";
    Decisions decisions;
    const Ticket running = submitAccepted(dispatcher, continuing);
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_EQ(decisions.assignments, (std::vector<Assignment>{{running, first.id, false}}));
    dispatcher.setServers({first}, TimePoint());
    submitAccepted(dispatcher, patientProfile());
    const Ticket waiting = submitAccepted(dispatcher, continuing);
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_TRUE(decisions.assignments.empty());
    dispatcher.finish(running, AttemptOutcome::Completed, TimePoint());
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_EQ(decisions.assignments, (std::vector<Assignment>{{waiting, first.id, false}}));
}

TEST(Dispatcher, ARequestThatContinuesAStreamIsRefusedWithoutAServerOfItsVersion)
{
    Dispatcher dispatcher{DispatcherOptions()};
    BackendServer server = serverOf("s", 1);
    server.softwareVersion = "v1";
    dispatcher.setServers({server}, TimePoint());
    RequestProfile continuing = patientProfile();
    continuing.softwareVersion = "v2";
    const std::variant<Ticket, Refusal> result = dispatcher.submit(continuing, TimePoint());
    ASSERT_TRUE(std::holds_alternative<Refusal>(result));
    EXPECT_EQ(std::get<Refusal>(result).reason, RefusalReason::NoServer);
    EXPECT_EQ(std::get<Refusal>(result).runState, RunState::NotRun);
    continuing.softwareVersion = "v1";
    submitAccepted(dispatcher, continuing);
    const Ticket waiting = submitAccepted(dispatcher, continuing);
    Decisions decisions;
    dispatcher.dispatch(TimePoint(), decisions);
    server.softwareVersion = "v3";
    dispatcher.setServers({server}, TimePoint());
    dispatcher.dispatch(TimePoint(), decisions);
    ASSERT_EQ(decisions.rejections.size(), 1U);
    EXPECT_EQ(decisions.rejections.front().ticket, waiting);
    EXPECT_EQ(decisions.rejections.front().refusal.reason, RefusalReason::NoServer);
}

// A server that restarts after a crash closes connections that it has just accepted.
TEST(Dispatcher, AFailureDuringARestartIsNotAttributedToTheRequest)
{
    Dispatcher dispatcher{DispatcherOptions()};
    dispatcher.setServers({serverOf("s", 8)}, TimePoint());
    Decisions decisions;
    const auto start = [&dispatcher, &decisions](TimePoint now) {
        const Ticket ticket = submitAccepted(dispatcher, patientProfile());
        dispatcher.dispatch(now, decisions);
        return ticket;
    };
    const Ticket running = start(TimePoint(1s));
    const Ticket other = start(TimePoint(1s));
    dispatcher.applyPeerDeath({BackendServerId("s"), 7, {}, 1s}, TimePoint(2s));
    EXPECT_EQ(dispatcher.withoutRestart(running, AttemptOutcome::ServerFailed, TimePoint(2s)), AttemptOutcome::ServerFailed)
        << "it ran when the server died";
    const Ticket late = start(TimePoint(2500ms));
    EXPECT_EQ(dispatcher.withoutRestart(late, AttemptOutcome::ServerFailed, TimePoint(2600ms)), AttemptOutcome::ServerError);
    EXPECT_EQ(dispatcher.withoutRestart(late, AttemptOutcome::Completed, TimePoint(2600ms)), AttemptOutcome::Completed);
    EXPECT_EQ(dispatcher.withoutRestart(late, AttemptOutcome::ServerFailed, TimePoint(3s)), AttemptOutcome::ServerFailed)
        << "the server had time to restart";
    dispatcher.finish(other, AttemptOutcome::Completed, TimePoint(2700ms));
    EXPECT_EQ(dispatcher.withoutRestart(late, AttemptOutcome::ServerFailed, TimePoint(2800ms)), AttemptOutcome::ServerFailed)
        << "the server serves again";
}

TEST(Dispatcher, SendsNothingToAServerThatAskedForAPause)
{
    Dispatcher dispatcher{DispatcherOptions()};
    dispatcher.setServers({serverOf("paused", 8)}, TimePoint());
    Decisions decisions;
    const Ticket rejected = submitAccepted(dispatcher, patientProfile());
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_TRUE(dispatcher.onPauseRequested(rejected, 5s, TimePoint()));
    EXPECT_TRUE(dispatcher.onPauseRequested(rejected, 2s, TimePoint())) << "does not shorten the pause";
    dispatcher.setServers({serverOf("paused", 8), serverOf("other", 2)}, TimePoint());
    EXPECT_EQ(dispatcher.retry(rejected, AttemptOutcome::Rejected, true, TimePoint()), std::nullopt);
    for (int i = 0; i < 5; ++i) {
        submitAccepted(dispatcher, patientProfile());
    }
    std::vector<BackendServerId> servers;
    for (const Duration elapsed : {0ms, 1000ms, 4999ms, 5000ms}) {
        dispatcher.dispatch(TimePoint(elapsed), decisions);
        for (const Assignment &assignment : decisions.assignments) {
            servers.push_back(assignment.server);
        }
        if (elapsed < 5s) {
            EXPECT_EQ(servers, std::vector<BackendServerId>(2, BackendServerId("other")));
            EXPECT_LE(dispatcher.nextWakeup(), TimePoint(5s));
        }
    }
    EXPECT_EQ(servers.size(), 6U);
    EXPECT_EQ(servers.back(), BackendServerId("paused"));
}

TEST(Dispatcher, RefusesAtOnceWhatCannotStartBeforeItsDeadline)
{
    Dispatcher dispatcher{DispatcherOptions()};
    dispatcher.setServers({serverOf("s", 1)}, TimePoint());
    Decisions decisions;
    const Ticket rejected = submitAccepted(dispatcher, patientProfile());
    const Ticket waiting = submitAccepted(dispatcher, patientProfile());
    dispatcher.dispatch(TimePoint(), decisions);
    dispatcher.onPauseRequested(rejected, 90s, TimePoint());
    const Refusal expected{RefusalReason::NoServer, RunState::NotRun, 90s};
    EXPECT_EQ(dispatcher.retry(rejected, AttemptOutcome::Rejected, false, TimePoint()), expected);
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_EQ(decisions.rejections, (std::vector<Rejection>{{waiting, expected}}));
}

TEST(Dispatcher, RefusesUntilTheEndOfThePauseOfAllServers)
{
    Dispatcher dispatcher{DispatcherOptions()};
    dispatcher.setServers({serverOf("s", 8)}, TimePoint());
    Decisions decisions;
    const Ticket rejected = submitAccepted(dispatcher, patientProfile());
    dispatcher.dispatch(TimePoint(), decisions);
    dispatcher.onPauseRequested(rejected, 20s, TimePoint());
    RequestProfile urgent = profileOf("a", 0, TimePoint(5s));
    urgent.requestClass.firstTokenTarget = 2s;
    const std::variant<Ticket, Refusal> result = dispatcher.submit(urgent, TimePoint(5s));
    ASSERT_TRUE(std::holds_alternative<Refusal>(result));
    EXPECT_EQ(std::get<Refusal>(result).runState, RunState::NotRun);
    EXPECT_GE(std::get<Refusal>(result).retryAfter, 13s);
    EXPECT_LE(std::get<Refusal>(result).retryAfter, 15s);
    EXPECT_TRUE(std::holds_alternative<Ticket>(dispatcher.submit(patientProfile(), TimePoint(5s))));
    dispatcher.dispatch(TimePoint(20s), decisions);
    EXPECT_EQ(decisions.assignments.size(), 1U);
}

TEST(Dispatcher, EvictsALowerTierBeforeItRefusesAHigherOne)
{
    DispatcherOptions options;
    options.maxWaiting = 1;
    Dispatcher dispatcher{options};
    dispatcher.setServers({serverOf("s", 1)}, TimePoint());
    const Ticket low = submitAccepted(dispatcher, profileOf("a", 1));
    const Ticket high = submitAccepted(dispatcher, profileOf("b", 0));
    EXPECT_TRUE(std::holds_alternative<Refusal>(dispatcher.submit(profileOf("c", 0), TimePoint())));
    Decisions decisions;
    dispatcher.dispatch(TimePoint(), decisions);
    ASSERT_EQ(decisions.rejections.size(), 1U);
    EXPECT_EQ(decisions.rejections.front().ticket, low);
    EXPECT_EQ(decisions.rejections.front().refusal.reason, RefusalReason::Evicted);
    EXPECT_EQ(decisions.rejections.front().refusal.runState, RunState::NotRun);
    EXPECT_EQ(decisions.assignments.front().ticket, high);
}

TEST(Dispatcher, NeverRetriesANonIdempotentRequestOnceBytesWereSent)
{
    Dispatcher dispatcher{DispatcherOptions()};
    dispatcher.setServers({serverOf("s", 1), serverOf("t", 1)}, TimePoint());
    RequestProfile profile = profileOf("a", 0);
    profile.idempotent = false;
    const Ticket ticket = submitAccepted(dispatcher, profile);
    Decisions decisions;
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_EQ(dispatcher.retry(ticket, AttemptOutcome::NotSent, false, TimePoint()), std::nullopt);
    dispatcher.dispatch(TimePoint(), decisions);
    ASSERT_EQ(decisions.assignments.size(), 1U);
    const std::optional<Refusal> refusal = dispatcher.retry(ticket, AttemptOutcome::ServerFailed, true, TimePoint());
    ASSERT_TRUE(refusal.has_value());
    EXPECT_EQ(refusal->runState, RunState::Unknown);
}

TEST(Dispatcher, QuarantinesARequestAfterTwoServerDeaths)
{
    Dispatcher dispatcher{DispatcherOptions()};
    dispatcher.setServers({serverOf("s", 1), serverOf("t", 1), serverOf("u", 1)}, TimePoint());
    RequestProfile profile = profileOf("a", 0);
    profile.fingerprint = 7;
    const Ticket ticket = submitAccepted(dispatcher, profile);
    Decisions decisions;
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_EQ(dispatcher.retry(ticket, AttemptOutcome::ServerFailed, true, TimePoint()), std::nullopt);
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_TRUE(decisions.assignments.at(0).suspect);
    const std::optional<Refusal> refusal = dispatcher.retry(ticket, AttemptOutcome::ServerFailed, true, TimePoint());
    ASSERT_TRUE(refusal.has_value());
    EXPECT_EQ(refusal->reason, RefusalReason::Quarantined);
    EXPECT_EQ(std::get<Refusal>(dispatcher.submit(profile, TimePoint())).reason, RefusalReason::Quarantined);
}

TEST(Dispatcher, RunsASuspectAloneWhileAnEarlierCopyStillRuns)
{
    Dispatcher dispatcher{DispatcherOptions()};
    dispatcher.setServers({serverOf("s", 4), serverOf("t", 4)}, TimePoint());
    RequestProfile profile = profileOf("a", 0);
    profile.fingerprint = 7;
    const Ticket copy = submitAccepted(dispatcher, profile);
    Decisions decisions;
    dispatcher.dispatch(TimePoint(), decisions);
    dispatcher.applyPeerDeath({BackendServerId("elsewhere"), 7, {}, {}}, TimePoint());
    submitAccepted(dispatcher, profile);
    dispatcher.dispatch(TimePoint(), decisions);
    ASSERT_EQ(decisions.assignments.size(), 1U);
    EXPECT_TRUE(decisions.assignments.front().suspect);
    const Ticket suspect = decisions.assignments.front().ticket;
    const Ticket another = submitAccepted(dispatcher, profile);
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_TRUE(decisions.assignments.empty()) << "another copy waits while the suspect runs";
    dispatcher.finish(copy, AttemptOutcome::CallerDisconnected, TimePoint());
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_TRUE(decisions.assignments.empty());
    dispatcher.finish(suspect, AttemptOutcome::CallerDisconnected, TimePoint());
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_EQ(decisions.assignments, (std::vector<Assignment>{{another, decisions.assignments.at(0).server, true}}));
}

TEST(Dispatcher, RejectsWaitingRequestsAtTheirDeadline)
{
    Dispatcher dispatcher{DispatcherOptions()};
    dispatcher.setServers({serverOf("s", 0)}, TimePoint());
    const RequestProfile profile = profileOf("a", 0);
    submitAccepted(dispatcher, profile);
    const TimePoint deadline = profile.arrival + profile.requestClass.deadline;
    EXPECT_EQ(dispatcher.nextWakeup(), deadline);
    Decisions decisions;
    dispatcher.dispatch(deadline, decisions);
    ASSERT_EQ(decisions.rejections.size(), 1U);
    EXPECT_EQ(decisions.rejections.front().refusal.reason, RefusalReason::DeadlineMissed);
}

TEST(Dispatcher, SendsNoMoreThanItsShareOfARateLimit)
{
    Dispatcher dispatcher{DispatcherOptions()};
    dispatcher.setServers({serverOf("s", 8)}, TimePoint());
    dispatcher.setInstances(InstanceId("self"), {}, TimePoint());
    EXPECT_TRUE(dispatcher.applyPeerRateLimit({BackendServerId("s"), 0.5, TimePoint()}, TimePoint()));
    EXPECT_EQ(dispatcher.rateLimitedCount(), 1U);
    const RequestProfile profile = patientProfile();
    submitAccepted(dispatcher, profile);
    submitAccepted(dispatcher, profile);
    Decisions decisions;
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_TRUE(decisions.assignments.empty());
    EXPECT_EQ(dispatcher.nextWakeup(), TimePoint(2s)) << "nothing else would wake the waiting requests";
    dispatcher.dispatch(TimePoint(2s), decisions);
    ASSERT_EQ(decisions.assignments.size(), 1U);
    EXPECT_EQ(dispatcher.onResponseHead(decisions.assignments[0].ticket, 0.5, TimePoint(2s)), std::nullopt);
    EXPECT_EQ(dispatcher.nextWakeup(), TimePoint(4s));
    const std::optional<ServerRateLimit> lifted
        = dispatcher.onResponseHead(decisions.assignments[0].ticket, std::nullopt, TimePoint(2s));
    EXPECT_EQ(lifted, (ServerRateLimit{BackendServerId("s"), std::nullopt, TimePoint(2s)}));
    dispatcher.dispatch(TimePoint(2s), decisions);
    EXPECT_EQ(decisions.assignments.size(), 1U);
}

TEST(Dispatcher, RefusesWhatARateLimitedServerCannotServeInTime)
{
    Dispatcher dispatcher{DispatcherOptions()};
    dispatcher.setServers({serverOf("s", 8)}, TimePoint());
    dispatcher.setInstances(InstanceId("self"), {}, TimePoint());
    dispatcher.applyPeerRateLimit({BackendServerId("s"), 0.2, TimePoint()}, TimePoint());
    RequestProfile low = profileOf("a", 1);
    low.requestClass.firstTokenTarget = 8s;
    RequestProfile high = profileOf("b", 0);
    high.requestClass.firstTokenTarget = 8s;
    submitAccepted(dispatcher, low);
    const Ticket first = submitAccepted(dispatcher, high);
    // The server takes one request in 5 s, so the third would wait for 15 s.
    const std::variant<Ticket, Refusal> refused = dispatcher.submit(low, TimePoint());
    ASSERT_TRUE(std::holds_alternative<Refusal>(refused));
    EXPECT_EQ(std::get<Refusal>(refused).reason, RefusalReason::Overloaded);
    EXPECT_EQ(std::get<Refusal>(refused).runState, RunState::NotRun);
    EXPECT_GE(std::get<Refusal>(refused).retryAfter, 7s) << "15 s less the target, and more if requests of higher tiers follow";
    Decisions decisions;
    dispatcher.dispatch(TimePoint(5s), decisions);
    ASSERT_EQ(decisions.assignments.size(), 1U);
    EXPECT_EQ(decisions.assignments[0].ticket, first);
}

TEST(Dispatcher, RefusesForAnotherInstanceIfThatOneHasTheRateLimit)
{
    constexpr int instances = 50;
    std::vector<InstanceId> peers;
    peers.reserve(instances);
    for (int i = 0; i < instances; ++i) {
        peers.emplace_back("i" + std::to_string(i));
    }
    std::size_t served = 0;
    for (const InstanceId &self : peers) {
        Dispatcher dispatcher{DispatcherOptions()};
        std::vector<InstanceId> others = peers;
        std::erase(others, self);
        dispatcher.setInstances(self, others, TimePoint());
        dispatcher.setServers({serverOf("s", 8)}, TimePoint());
        dispatcher.applyPeerRateLimit({BackendServerId("s"), 2.0, TimePoint()}, TimePoint());
        const std::variant<Ticket, Refusal> submitted = dispatcher.submit(patientProfile(), TimePoint());
        if (std::holds_alternative<Ticket>(submitted)) {
            ++served;
            continue;
        }
        EXPECT_EQ(std::get<Refusal>(submitted), (Refusal{RefusalReason::NoServer, RunState::NotRun, 1s}));
    }
    EXPECT_EQ(served, 6U);
}

// The pause that a server has asked for holds although its entry vanishes for a moment, and ends at its time all the same.
TEST(Dispatcher, KeepsAPauseWhileTheServerIsNotConfigured)
{
    DispatcherOptions options;
    options.retryPercent = 100;
    Dispatcher dispatcher(options);
    const std::vector<BackendServer> servers = {serverOf("s", 8)};
    dispatcher.setServers(servers, TimePoint());
    const Ticket rejected = submitAccepted(dispatcher, patientProfile());
    Decisions decisions;
    dispatcher.dispatch(TimePoint(), decisions);
    EXPECT_TRUE(dispatcher.onPauseRequested(rejected, 5s, TimePoint()));
    dispatcher.finish(rejected, AttemptOutcome::Rejected, TimePoint());
    dispatcher.setServers({}, TimePoint(1s));
    dispatcher.dispatch(TimePoint(1s), decisions);
    dispatcher.setServers(servers, TimePoint(2s));
    const Ticket waiting = submitAccepted(dispatcher, patientProfile());
    dispatcher.dispatch(TimePoint(2s), decisions);
    EXPECT_TRUE(decisions.assignments.empty());
    dispatcher.setServers({}, TimePoint(3s));
    dispatcher.dispatch(TimePoint(6s), decisions);
    dispatcher.setServers(servers, TimePoint(7s));
    dispatcher.cancel(waiting, TimePoint(7s));
    submitAccepted(dispatcher, patientProfile());
    dispatcher.dispatch(TimePoint(7s), decisions);
    EXPECT_EQ(decisions.assignments.size(), 1U);
}

// The limit of a server whose entry vanishes for a moment, for instance in an outage of the store, still holds when it is back.
TEST(Dispatcher, KeepsARateLimitWhileTheServerIsNotConfigured)
{
    Dispatcher dispatcher{DispatcherOptions()};
    dispatcher.setServers({serverOf("s", 8)}, TimePoint());
    dispatcher.applyPeerRateLimit({BackendServerId("s"), 1.0, TimePoint()}, TimePoint());
    dispatcher.setServers({}, TimePoint());
    dispatcher.setServers({serverOf("s", 8)}, TimePoint(2s));
    submitAccepted(dispatcher, patientProfile());
    Decisions decisions;
    dispatcher.dispatch(TimePoint(2s), decisions);
    EXPECT_TRUE(decisions.assignments.empty());
}

// An instance that is cut off from its peers cannot tell whether they still send. It must not take their part of the allowance
// for resends, since they may be taking it, too.
TEST(Dispatcher, SharesTheResendAllowanceWithPeersThatAreOutOfContact)
{
    DispatcherOptions options;
    options.resendLimit = {10s, 0.0, 40};
    DispatcherPolicies policies;
    policies.retry = [](std::uint32_t) {
        return true;
    };
    Dispatcher dispatcher(options, policies);
    dispatcher.setServers({serverOf("s", 100)}, TimePoint());
    dispatcher.setInstances(InstanceId("self"), {InstanceId("a"), InstanceId("b"), InstanceId("c")}, TimePoint());
    dispatcher.setInstanceCount(1);
    std::size_t resends = 0;
    Decisions decisions;
    for (int i = 0; i < 40; ++i) {
        const Ticket ticket = submitAccepted(dispatcher, patientProfile());
        dispatcher.dispatch(TimePoint(), decisions);
        resends += dispatcher.retry(ticket, AttemptOutcome::ServerError, true, TimePoint()) == std::nullopt ? 1 : 0;
        dispatcher.cancel(ticket, TimePoint());
    }
    EXPECT_LE(resends, 10U);
    EXPECT_GT(resends, 0U);
}

TEST(Dispatcher, ForgetsTheRateLimitOfAServerThatIsAbsentForLong)
{
    Dispatcher dispatcher{DispatcherOptions()};
    const BackendServer server = serverOf("s", 8);
    dispatcher.setServers({server}, TimePoint());
    Decisions decisions;
    const Ticket running = submitAccepted(dispatcher, patientProfile());
    dispatcher.dispatch(TimePoint(), decisions);
    dispatcher.applyPeerRateLimit({server.id, 1.0, TimePoint()}, TimePoint());
    dispatcher.setServers({}, TimePoint());
    std::vector<ServerRateLimit> reports;
    dispatcher.rateLimitReports(reports, TimePoint(1h));
    dispatcher.setServers({server}, TimePoint(1h));
    EXPECT_EQ(dispatcher.rateLimitedCount(), 0U);
    RequestProfile next = patientProfile();
    next.arrival = TimePoint(1h);
    submitAccepted(dispatcher, next);
    submitAccepted(dispatcher, next);
    dispatcher.dispatch(TimePoint(1h), decisions);
    EXPECT_EQ(decisions.assignments.size(), 2U) << "a token bucket would let one of them start";
    dispatcher.finish(running, AttemptOutcome::Completed, TimePoint(1h));
}
