// What the dispatcher does with requests while it has no path to the servers of a target. Guards against requests that fail here
// although a peer could serve them, and against requests that are left to peers for no reason or after they may have run.

#include <flamingosaddle/state/servertable.h>
#include <flamingosaddle/traffic/dispatcher.h>
#include <flamingosaddle/traffic/rejectionlimits.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const ModelName model("model");
constexpr TimePoint start(100s);

class Unreachable : public testing::Test
{
protected:
    Unreachable()
        : dispatcher(options())
    {
        this->dispatcher.setServers(sixServers(), start);
    }

    static BackendServer serverOf(const char *id)
    {
        BackendServer server;
        server.id = BackendServerId(id);
        server.dataCentre = DataCentre("a");
        server.models = {model};
        server.slots = 1;
        return server;
    }

    static std::vector<BackendServer> sixServers()
    {
        std::vector<BackendServer> servers;
        for (const char *id : {"s1", "s2", "s3", "s4", "s5", "s6"}) {
            servers.push_back(serverOf(id));
        }
        return servers;
    }

    static DispatcherOptions options()
    {
        DispatcherOptions options;
        options.exemptUnsentAttempts = true;
        options.retryPercent = 100;
        options.confirmDeathsByPathCheck = true;
        return options;
    }

    static RequestProfile profile(bool idempotent = true)
    {
        RequestProfile profile;
        profile.requestClass.name = ClassName("class");
        profile.requestClass.firstTokenTarget = 60s;
        profile.requestClass.deadline = 60s;
        profile.model = model;
        profile.idempotent = idempotent;
        profile.arrival = start;
        return profile;
    }

    void addPeer(std::vector<TargetName> unreachable = {})
    {
        this->dispatcher.setPeerPaths(DataCentre("a"), {{InstanceId("peer"), {"127.0.0.1", 1}, DataCentre("a"), unreachable}});
    }

    /** Lets a request that shares a part of its prompt with others lose its connection, and the check that follows. */
    void loseConnection(std::uint64_t fingerprint, bool isServerReached, TimePoint now)
    {
        RequestProfile request = profile();
        request.arrival = now;
        request.fingerprint = fingerprint;
        request.promptParts = {sharedPart};
        const Ticket ticket = std::get<Ticket>(this->dispatcher.submit(request, now));
        this->dispatcher.dispatch(now, this->decisions);
        this->dispatcher.finish(ticket, AttemptOutcome::ServerFailed, now + 10ms);
        std::vector<PathCheck> checks;
        this->dispatcher.takePathChecks(now + 10ms, checks);
        for (const PathCheck &check : checks) {
            this->dispatcher.onPathCheck(check, isServerReached, now + 20ms);
        }
        this->dispatcher.dispatch(now + 20ms, this->decisions);
    }

    static constexpr std::uint64_t sharedPart = 7;

    Ticket startRequest(const RequestProfile &profile)
    {
        const Ticket ticket = std::get<Ticket>(this->dispatcher.submit(profile, start));
        this->dispatcher.dispatch(start, this->decisions);
        return ticket;
    }

    /** Runs the check that is due; all of its connections succeed, or none. */
    void check(bool isReached, TimePoint now)
    {
        std::vector<PathCheck> checks;
        this->dispatcher.takePathChecks(now, checks);
        ASSERT_EQ(checks.size(), ServerPaths::serversPerCheck);
        for (const PathCheck &check : checks) {
            this->dispatcher.onPathCheck(check, isReached, now);
        }
    }

    void losePath()
    {
        const Ticket ticket = this->startRequest(profile());
        this->dispatcher.finish(ticket, AttemptOutcome::NotSent, start);
        this->check(false, start);
    }

    std::optional<RefusalReason> reasonOf(const RequestProfile &profile)
    {
        const std::variant<Ticket, Refusal> submitted = this->dispatcher.submit(profile, start);
        const Refusal *refusal = std::get_if<Refusal>(&submitted);
        return refusal == nullptr ? std::nullopt : std::optional(refusal->reason);
    }

    Dispatcher dispatcher;
    Decisions decisions;
};

} // namespace

TEST_F(Unreachable, RequestsAreLeftToAPeerThatReachesTheServers)
{
    this->addPeer();
    this->losePath();
    EXPECT_EQ(this->dispatcher.unreachableTargets(), (std::vector<TargetName>{{model, ServiceName()}}));
    EXPECT_TRUE(this->dispatcher.isUnreachable(profile()));
    EXPECT_EQ(this->reasonOf(profile()), RefusalReason::Unreachable);
    EXPECT_EQ(this->dispatcher.choosePeer(profile(), {})->instance, InstanceId("peer"));
}

TEST_F(Unreachable, WithoutAPeerThatReachesTheServersRequestsAreTriedHere)
{
    this->losePath();
    EXPECT_EQ(this->reasonOf(profile()), std::nullopt) << "no peer";
    this->addPeer({{model, ServiceName()}});
    EXPECT_FALSE(this->dispatcher.isUnreachable(profile()));
    EXPECT_EQ(this->reasonOf(profile()), std::nullopt) << "the servers are gone, not the path";
}

TEST_F(Unreachable, AForwardedRequestIsNotTriedWithoutAPath)
{
    RequestProfile forwarded = profile();
    forwarded.isForwarded = true;
    EXPECT_EQ(this->reasonOf(forwarded), std::nullopt);
    this->losePath();
    EXPECT_EQ(this->reasonOf(forwarded), RefusalReason::Unreachable) << "another peer may have a path";
}

TEST_F(Unreachable, WaitingRequestsAreLeftToAPeerAtOnce)
{
    this->addPeer();
    for (int i = 0; i < 6; ++i) {
        this->startRequest(profile());
    }
    const Ticket waiting = this->startRequest(profile());
    EXPECT_TRUE(this->decisions.assignments.empty());
    std::vector<PathCheck> checks;
    constexpr TimePoint later = start + ServerPaths::silenceLimit;
    this->dispatcher.takePathChecks(later, checks);
    for (const PathCheck &check : checks) {
        this->dispatcher.onPathCheck(check, false, later);
    }
    this->dispatcher.dispatch(later, this->decisions);
    ASSERT_EQ(this->decisions.rejections.size(), 1U);
    EXPECT_EQ(this->decisions.rejections[0].ticket, waiting);
    EXPECT_EQ(this->decisions.rejections[0].refusal.reason, RefusalReason::Unreachable);
    EXPECT_EQ(this->decisions.rejections[0].refusal.runState, RunState::NotRun);
}

TEST_F(Unreachable, ARequestThatReachedNoServerIsLeftToAPeerBeforeTheCheckEnds)
{
    this->addPeer();
    const Ticket ticket = this->startRequest(profile(false));
    std::optional<Refusal> refusal;
    for (int attempt = 0; attempt < 10 && !refusal.has_value(); ++attempt) {
        refusal = this->dispatcher.retry(ticket, AttemptOutcome::NotSent, false, start);
        this->dispatcher.dispatch(start, this->decisions);
    }
    ASSERT_TRUE(refusal.has_value());
    EXPECT_EQ(refusal->reason, RefusalReason::Unreachable);
    EXPECT_EQ(refusal->runState, RunState::NotRun);
}

TEST_F(Unreachable, ARequestThatServersRejectedIsNotForwarded)
{
    this->addPeer();
    const Ticket ticket = this->startRequest(profile());
    std::optional<Refusal> refusal;
    while (!refusal.has_value()) {
        refusal = this->dispatcher.retry(ticket, AttemptOutcome::Rejected, false, start);
        this->dispatcher.dispatch(start, this->decisions);
    }
    EXPECT_EQ(refusal->reason, RefusalReason::RetriesExhausted) << "each peer would repeat it at as many servers again";
}

TEST_F(Unreachable, AForwardedRequestThatReachesNoServerIsLeftToAnotherPeer)
{
    RequestProfile forwarded = profile();
    forwarded.isForwarded = true;
    const Ticket ticket = this->startRequest(forwarded);
    std::optional<Refusal> refusal;
    while (!refusal.has_value()) {
        refusal = this->dispatcher.retry(ticket, AttemptOutcome::NotSent, false, start);
        this->dispatcher.dispatch(start, this->decisions);
    }
    EXPECT_EQ(refusal->reason, RefusalReason::Unreachable);
}

TEST_F(Unreachable, ARequestThatMayHaveRunIsNotRepeatedAtAPeer)
{
    this->addPeer();
    const Ticket ticket = this->startRequest(profile(false));
    this->losePath();
    const std::optional<Refusal> refusal = this->dispatcher.retry(ticket, AttemptOutcome::ServerError, true, start);
    ASSERT_TRUE(refusal.has_value());
    EXPECT_EQ(refusal->reason, RefusalReason::RetriesExhausted);
    EXPECT_EQ(refusal->runState, RunState::Unknown);
}

// Guards against an instance that fails all requests because new connections are accepted and reset before an answer.
TEST_F(Unreachable, RequestsWhoseConnectionsAreResetBeforeAnAnswerLeadToACheck)
{
    this->addPeer();
    const Ticket ticket = this->startRequest(profile(false));
    this->dispatcher.finish(ticket, AttemptOutcome::ServerError, start);
    this->check(false, start);
    EXPECT_EQ(this->reasonOf(profile()), RefusalReason::Unreachable);
}

// Guards against requests that are left to peers because one server of several fails its requests.
TEST_F(Unreachable, AServerThatFailsItsRequestsTakesNoPathAway)
{
    this->addPeer();
    TimePoint now = start;
    for (int i = 0; i < 50; ++i) {
        now += 100ms;
        const Ticket failing = this->startRequest(profile());
        this->dispatcher.finish(failing, AttemptOutcome::ServerError, now);
        std::vector<PathCheck> checks;
        this->dispatcher.takePathChecks(now, checks);
        for (std::size_t connection = 0; connection < checks.size(); ++connection) {
            this->dispatcher.onPathCheck(checks[connection], connection > 0, now);
        }
        EXPECT_EQ(this->reasonOf(profile()), std::nullopt);
    }
}

TEST_F(Unreachable, EarlierAttemptsCountAgainstTheLimits)
{
    RequestProfile forwarded = profile();
    forwarded.isForwarded = true;
    forwarded.maxAttempts = 2;
    forwarded.earlierAttempts = 1;
    const Ticket ticket = this->startRequest(forwarded);
    const std::optional<Refusal> refusal = this->dispatcher.retry(ticket, AttemptOutcome::ServerError, true, start);
    ASSERT_TRUE(refusal.has_value());
    EXPECT_EQ(refusal->reason, RefusalReason::RetriesExhausted);
}

TEST_F(Unreachable, AForwardedResendTakesFromTheAllowanceForResends)
{
    DispatcherOptions limited = options();
    limited.resendLimit = {std::chrono::seconds(10), 0.0, 8};
    this->dispatcher = Dispatcher(limited);
    BackendServer server;
    server.id = BackendServerId("s");
    server.models = {model};
    server.slots = 64;
    this->dispatcher.setServers({server}, start);
    this->dispatcher.setInstances(InstanceId("self"), {}, start);
    RequestProfile forwarded = profile();
    forwarded.isForwarded = true;
    forwarded.earlierAttempts = 1;
    unsigned accepted = 0;
    for (int i = 0; i < 20; ++i) {
        accepted += this->reasonOf(forwarded) == std::nullopt ? 1 : 0;
    }
    EXPECT_GE(accepted, 1U);
    EXPECT_LE(accepted, 8U);
}

// Guards against a request that two instances count, so that twice the resends are allowed.
TEST_F(Unreachable, AForwardedRequestAddsNothingToTheAllowanceForResends)
{
    DispatcherOptions limited = options();
    limited.resendLimit = {std::chrono::seconds(10), 1.0, 0};
    for (const bool isForwarded : {false, true}) {
        this->dispatcher = Dispatcher(limited);
        BackendServer server;
        server.id = BackendServerId("s");
        server.models = {model};
        server.slots = 64;
        this->dispatcher.setServers({server}, start);
        RequestProfile request = profile();
        request.isForwarded = isForwarded;
        unsigned resends = 0;
        for (int i = 0; i < 20; ++i) {
            const Ticket ticket = this->startRequest(request);
            const std::optional<Refusal> refusal = this->dispatcher.retry(ticket, AttemptOutcome::Rejected, false, start);
            resends += refusal.has_value() ? 0 : 1;
        }
        EXPECT_EQ(resends > 0, !isForwarded);
    }
}

TEST_F(Unreachable, RequestsUseTheOwnPathAgainOnceItIsBack)
{
    this->addPeer();
    this->losePath();
    this->check(true, start + ServerPaths::recheckInterval);
    EXPECT_EQ(this->reasonOf(profile()), std::nullopt);
    const std::vector<PathChange> changes = this->dispatcher.takePathChanges();
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_FALSE(changes[0].isReachable);
    EXPECT_TRUE(changes[1].isReachable);
    EXPECT_EQ(changes[1].unreachableFor, ServerPaths::recheckInterval);
}

TEST_F(Unreachable, AServerThatClosedAConnectionIsDeadIfOthersAreReached)
{
    constexpr std::uint64_t fingerprint = 5;
    for (int death = 0; death < 3; ++death) {
        this->loseConnection(fingerprint + static_cast<std::uint64_t>(death), true, start + death * 2s);
        EXPECT_EQ(this->dispatcher.takeDeaths().size(), 1U);
    }
    this->dispatcher.dispatch(start + 5s, this->decisions);
    EXPECT_EQ(this->dispatcher.quarantinedPromptParts(start + 5s).size(), 1U);
}

TEST_F(Unreachable, ALostPathIsNotTakenForDeadServers)
{
    constexpr std::uint64_t fingerprint = 5;
    for (int death = 0; death < 6; ++death) {
        this->loseConnection(fingerprint, false, start + death * 2s);
    }
    this->dispatcher.dispatch(start + 13s, this->decisions);
    EXPECT_TRUE(this->dispatcher.takeDeaths().empty());
    EXPECT_TRUE(this->dispatcher.quarantinedPromptParts(start + 13s).empty());
    EXPECT_TRUE(this->dispatcher.deathCounts(10, start + 13s).empty());
}

TEST_F(Unreachable, ALostPathDoesNotHideAnEarlierDeath)
{
    BackendServer only;
    only.id = BackendServerId("s1");
    only.models = {model};
    only.slots = 1;
    this->dispatcher.setServers({only}, start);
    RequestProfile request = profile();
    request.fingerprint = 5;
    const auto loseServer = [&](bool isServerReached, TimePoint now) {
        request.arrival = now;
        const Ticket ticket = std::get<Ticket>(this->dispatcher.submit(request, now));
        this->dispatcher.dispatch(now, this->decisions);
        this->dispatcher.finish(ticket, AttemptOutcome::ServerFailed, now);
        std::vector<PathCheck> checks;
        this->dispatcher.takePathChecks(now, checks);
        for (const PathCheck &check : checks) {
            this->dispatcher.onPathCheck(check, isServerReached, now);
        }
    };
    loseServer(true, start);
    ASSERT_EQ(this->dispatcher.deathCounts(10, start).size(), 1U);
    loseServer(false, start + 1s); // within the time in which it counts as the same death
    EXPECT_EQ(this->dispatcher.deathCounts(10, start + 1s).size(), 1U);
}

TEST_F(Unreachable, ADeathCountsForItsRequestUntilTheCheckHasEnded)
{
    RequestProfile request = profile();
    request.fingerprint = 5;
    request.maxAttempts = 10;
    const Ticket ticket = this->startRequest(request);
    std::optional<Refusal> refusal;
    unsigned deaths = 0;
    while (!refusal.has_value() && deaths < 10) {
        ++deaths;
        refusal = this->dispatcher.retry(ticket, AttemptOutcome::ServerFailed, true, start);
        this->dispatcher.dispatch(start, this->decisions);
    }
    EXPECT_EQ(deaths, options().quarantineDeaths) << "a request costs no more servers while checks run";
    EXPECT_EQ(refusal->reason, RefusalReason::Quarantined);
}

TEST_F(Unreachable, ServersThatWereNotReachedAreUsedAtOnceWhenThePathIsBack)
{
    const auto serverFor = [this](std::uint64_t prefix, AttemptOutcome outcome) {
        RequestProfile request = profile();
        request.prefixHash = prefix;
        const Ticket ticket = this->startRequest(request);
        BackendServerId server = this->decisions.assignments.at(0).server;
        this->dispatcher.finish(ticket, outcome, start);
        return server;
    };
    constexpr std::uint64_t prefixes = 8;
    std::vector<BackendServerId> homes;
    for (std::uint64_t prefix = 1; prefix <= prefixes; ++prefix) {
        homes.push_back(serverFor(prefix, AttemptOutcome::Completed));
    }
    for (std::uint64_t prefix = 1; prefix <= 5 * prefixes; ++prefix) {
        serverFor(prefix, AttemptOutcome::NotSent); // counts as a failure of the server
    }
    this->check(false, start);
    this->check(true, start + ServerPaths::recheckInterval);
    for (std::uint64_t prefix = 1; prefix <= prefixes; ++prefix) {
        EXPECT_EQ(serverFor(prefix, AttemptOutcome::Completed), homes[prefix - 1]) << "prompts are read again elsewhere";
    }
}

TEST_F(Unreachable, AnotherTargetIsCheckedBeforeItsRequestsFail)
{
    std::vector<BackendServer> servers;
    for (const char *id : {"s1", "s2", "s3", "t1", "t2", "t3"}) {
        BackendServer server;
        server.id = BackendServerId(id);
        server.models = {*id == 's' ? model : ModelName("other")};
        server.slots = 1;
        servers.push_back(std::move(server));
    }
    this->dispatcher.setServers(servers, start);
    RequestProfile other = profile();
    other.model = ModelName("other");
    this->dispatcher.finish(this->startRequest(other), AttemptOutcome::Completed, start);
    this->losePath();
    std::vector<PathCheck> checks;
    this->dispatcher.takePathChecks(start, checks);
    ASSERT_EQ(checks.size(), ServerPaths::serversPerCheck);
    for (const PathCheck &check : checks) {
        EXPECT_EQ(check.server.text().front(), 't');
    }
}

TEST_F(Unreachable, RequestsAreLeftToThePeersAmongWhichTheSlotsAreDivided)
{
    BackendServer only;
    only.id = BackendServerId("s1");
    only.models = {model};
    only.slots = 1;
    this->dispatcher.setServers({only}, start);
    const Ticket ticket = this->startRequest(profile());
    this->dispatcher.onRejectionLimit(ticket, 1, start);
    this->dispatcher.setInstances(InstanceId("self"), {InstanceId("peer")}, start);
    this->dispatcher.finish(ticket, AttemptOutcome::Completed, start);
    EXPECT_EQ(this->reasonOf(profile()), std::nullopt) << "no peer takes it";
    this->addPeer();
    this->dispatcher.dispatch(start, this->decisions);
    EXPECT_EQ(this->reasonOf(profile()), RefusalReason::Unreachable) << "the peer has the only slot";
    EXPECT_EQ(this->dispatcher.unreachableTargets(), (std::vector<TargetName>{{model, ServiceName()}}));
    RequestProfile forwarded = profile();
    forwarded.isForwarded = true;
    EXPECT_EQ(this->reasonOf(forwarded), RefusalReason::Unreachable) << "another peer may have a slot";
    constexpr TimePoint afterwards = start + RejectionLimits::statementValidity;
    this->dispatcher.dispatch(afterwards, this->decisions);
    EXPECT_EQ(this->reasonOf(profile()), std::nullopt) << "the limit may have ended";
    this->dispatcher.dispatch(afterwards, this->decisions);
    ASSERT_EQ(this->decisions.assignments.size(), 1U);
    this->dispatcher.onRejectionLimit(this->decisions.assignments.front().ticket, 1, afterwards);
    EXPECT_EQ(this->reasonOf(profile()), RefusalReason::Unreachable) << "it has not";
}

// Guards against a sound request that is quarantined because servers that it could not reach leave as planned.
TEST_F(Unreachable, OnlyServersThatWereNotToLeaveCountAsCrashed)
{
    for (const bool isLeaving : {false, true}) {
        this->dispatcher = Dispatcher(options());
        std::vector<BackendServer> servers = sixServers();
        this->dispatcher.setServers(servers, start);
        this->loseConnection(9, false, start);
        this->loseConnection(9, false, start + 1s);
        for (BackendServer &server : servers) {
            server.leaving = isLeaving;
        }
        this->dispatcher.setServers(servers, start + 2s);
        this->dispatcher.setServers({serverOf("s7")}, start + 3s);
        RequestProfile again = profile();
        again.fingerprint = 9;
        EXPECT_EQ(this->reasonOf(again), isLeaving ? std::nullopt : std::optional(RefusalReason::Quarantined));
    }
}

// Guards against a crash that is taken for a lost path because the server starts again under its id.
TEST_F(Unreachable, AServerThatStartsAgainUnderItsIdHasCrashed)
{
    std::vector<BackendServer> servers = sixServers();
    this->loseConnection(9, false, start);
    this->loseConnection(9, false, start + 1s);
    for (BackendServer &server : servers) {
        ++server.startedAt;
    }
    this->dispatcher.setServers(servers, start + 3s);
    RequestProfile again = profile();
    again.fingerprint = 9;
    EXPECT_EQ(this->reasonOf(again), RefusalReason::Quarantined);
}

// Guards against crashes that go unnoticed where servers renew their entries rarely, so that these disappear late.
TEST_F(Unreachable, ADeathStaysInDisputeUntilTheEntryOfADeadServerMustHaveGone)
{
    for (const Duration heartbeat : {1200ms, 4000ms}) {
        DispatcherOptions rare = options();
        rare.disputeTime = entryRemovalTime(heartbeat);
        this->dispatcher = Dispatcher(rare);
        this->dispatcher.setServers(sixServers(), start);
        this->loseConnection(9, false, start);
        this->loseConnection(9, false, start + 1s);
        this->dispatcher.setServers({serverOf("s7")}, start + 3 * heartbeat + 1s);
        RequestProfile again = profile();
        again.fingerprint = 9;
        EXPECT_EQ(this->reasonOf(again), RefusalReason::Quarantined);
    }
}

TEST_F(Unreachable, ACompletedRequestIsNotQuarantinedForServersThatEndLater)
{
    this->loseConnection(9, false, start);
    this->loseConnection(9, false, start + 1s);
    RequestProfile again = profile();
    again.fingerprint = 9;
    const Ticket ticket = this->startRequest(again);
    this->dispatcher.finish(ticket, AttemptOutcome::Completed, start + 2s);
    this->dispatcher.setServers({serverOf("s7")}, start + 3s);
    EXPECT_EQ(this->reasonOf(again), std::nullopt);
}
