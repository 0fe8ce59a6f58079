// Division of a server's limit on rejections among instances that do not see each other's rejections.

#include <flamingosaddle/traffic/dispatcher.h>
#include <flamingosaddle/traffic/rejectionlimits.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr TargetIndex target = 3;
constexpr TimePoint now(100s);

std::vector<InstanceId> instancesWithout(std::size_t self, std::size_t count)
{
    std::vector<InstanceId> peers;
    for (std::size_t i = 0; i < count; ++i) {
        if (i != self) {
            peers.emplace_back("i" + std::to_string(1000 + i));
        }
    }
    return peers;
}

BackendServerId serverId(std::size_t number)
{
    return BackendServerId("s" + std::to_string(1000 + number));
}

RejectionLimits limitsOf(std::size_t instance, std::size_t instances, std::uint32_t limit)
{
    RejectionLimits limits;
    limits.setInstances(InstanceId("i" + std::to_string(1000 + instance)), instancesWithout(instance, instances));
    limits.applyResponse(target, {serverId(0), limit, now});
    return limits;
}

/** A server with 6 slots and the dispatcher of its only instance. */
class OneServer
{
public:
    OneServer()
    {
        this->server.id = serverId(0);
        this->server.models = {this->model};
        this->server.slots = 6;
        this->dispatcher.setServers({this->server}, now);
        this->dispatcher.setInstances(InstanceId("i0"), {}, now);
    }

    /** Submits so many requests and returns which of all that wait are started. */
    std::vector<Assignment> start(std::size_t requests, TimePoint time)
    {
        RequestProfile profile;
        profile.requestClass.deadline = 2h;
        profile.model = this->model;
        profile.arrival = time;
        for (std::size_t i = 0; i < requests; ++i) {
            EXPECT_TRUE(std::holds_alternative<Ticket>(this->dispatcher.submit(profile, time)));
        }
        Decisions decisions;
        this->dispatcher.dispatch(time, decisions);
        return decisions.assignments;
    }

    const ModelName model{"model"};
    BackendServer server;
    Dispatcher dispatcher{DispatcherOptions()};
};

} // namespace

TEST(RejectionLimits, SharesOfAllInstancesDoNotExceedTheLimitAndEachInstanceHasAServer)
{
    for (const std::size_t instances : {1U, 3U, 4U, 8U, 32U, 118U}) {
        for (const std::uint32_t limit : {1U, 2U, 5U, 50U}) {
            for (const std::size_t servers : {3U, 12U, 120U}) {
                if (servers * limit < instances) {
                    continue;
                }
                std::vector<std::uint32_t> sums(servers, 0);
                for (std::size_t instance = 0; instance < instances; ++instance) {
                    const RejectionLimits limits = limitsOf(instance, instances, limit);
                    std::uint32_t own = 0;
                    for (std::size_t server = 0; server < servers; ++server) {
                        const auto share = limits.share(target, serverId(server), {server, servers, 1});
                        ASSERT_TRUE(share.has_value());
                        EXPECT_GT(share->pause, RejectionLimits::window);
                        sums[server] += share->starts;
                        own += share->starts;
                    }
                    EXPECT_GE(own, 1U) << instances << " instances, limit " << limit << ", " << servers << " servers";
                }
                for (const std::uint32_t sum : sums) {
                    EXPECT_LE(sum, limit) << instances << " instances, limit " << limit << ", " << servers << " servers";
                }
            }
        }
    }
}

TEST(RejectionLimits, WithFewServersForManyInstancesTheirSlotsAreDivided)
{
    constexpr std::size_t instances = 118;
    constexpr std::size_t servers = 60;
    constexpr std::uint32_t slots = 16;
    std::vector<std::uint32_t> sums(servers, 0);
    for (std::size_t instance = 0; instance < instances; ++instance) {
        const RejectionLimits limits = limitsOf(instance, instances, 1);
        std::uint32_t own = 0;
        for (std::size_t server = 0; server < servers; ++server) {
            const auto share = limits.share(target, serverId(server), {server, servers, slots});
            ASSERT_TRUE(share.has_value() && share->maxInFlight.has_value());
            EXPECT_EQ(share->starts, std::min(*share->maxInFlight, 1U));
            sums[server] += *share->maxInFlight;
            own += *share->maxInFlight;
        }
        EXPECT_GE(own, servers * slots / instances - 1) << "instance " << instance;
    }
    EXPECT_EQ(sums, std::vector<std::uint32_t>(servers, slots));
}

TEST(RejectionLimits, WithFewSlotsForManyInstancesSomeHaveNone)
{
    std::uint32_t slots = 0;
    for (std::size_t instance = 0; instance < 32; ++instance) {
        const RejectionLimits limits = limitsOf(instance, 32, 2);
        for (std::size_t server = 0; server < 3; ++server) {
            const auto share = limits.share(target, serverId(server), {server, 3, 10});
            EXPECT_EQ(share->starts, *share->maxInFlight);
            EXPECT_GE(share->pause, 16 * RejectionLimits::window);
            slots += *share->maxInFlight;
        }
    }
    EXPECT_EQ(slots, 30U);
}

TEST(RejectionLimits, ARestartedServerIsTreatedLikeTheOthersOfItsTarget)
{
    RejectionLimits limits = limitsOf(0, 1, 4);
    EXPECT_EQ(limits.share(target, serverId(7), {7, 12, 1})->starts, 4U);
    EXPECT_EQ(limits.share(target + 1, serverId(7), {7, 12, 1}), std::nullopt) << "another target";
    constexpr TimePoint unconfirmedAt = now + RejectionLimits::statementValidity;
    EXPECT_FALSE(limits.applyResponse(target, {serverId(1), std::nullopt, unconfirmedAt - 1ms}));
    EXPECT_EQ(limits.share(target, serverId(7), {7, 12, 1})->starts, 4U);
    EXPECT_TRUE(limits.applyResponse(target, {serverId(1), std::nullopt, unconfirmedAt}));
    EXPECT_EQ(limits.share(target, serverId(7), {7, 12, 1}), std::nullopt) << "the limits of the target have ended";
    EXPECT_TRUE(limits.applyResponse(target, {serverId(7), 9, now}));
    EXPECT_EQ(limits.share(target, serverId(7), {7, 12, 1})->starts, 9U) << "its own statement goes first";
}

TEST(RejectionLimits, AnInstanceWithoutResponsesKnowsTheLimitsOfItsPeers)
{
    const RejectionLimits reader = limitsOf(0, 2, 6);
    const auto report = reader.ownReport(target, now + 1s);
    ASSERT_TRUE(report.has_value());
    RejectionLimits idle;
    idle.setInstances(InstanceId("i1001"), instancesWithout(1, 2));
    EXPECT_TRUE(idle.applyPeerReport(target, report->rejectionsPerSecond, report->statedAt));
    EXPECT_FALSE(idle.applyPeerReport(target, 2, now - 1s)) << "an older report";
    EXPECT_EQ(idle.share(target, serverId(5), {5, 12, 1})->starts, 3U);
    EXPECT_EQ(idle.ownReport(target, now + 1s), std::nullopt) << "what peers tell is not told again, or it would never end";
    EXPECT_FALSE(idle.applyResponse(target, {serverId(5), std::nullopt, now + RejectionLimits::statementValidity - 1ms}));
    EXPECT_TRUE(idle.applyResponse(target, {serverId(5), std::nullopt, now + RejectionLimits::statementValidity}));
    EXPECT_TRUE(idle.isEmpty());
}

TEST(RejectionLimits, AResponseWithoutALimitLiftsIt)
{
    RejectionLimits limits = limitsOf(0, 1, 4);
    EXPECT_FALSE(limits.applyResponse(target, {serverId(0), 4, now + 1s}));
    EXPECT_TRUE(limits.applyResponse(target, {serverId(0), 5, now + 1s}));
    EXPECT_FALSE(limits.applyResponse(target, {serverId(1), std::nullopt, now + 1s}));
    EXPECT_TRUE(limits.applyResponse(target, {serverId(0), std::nullopt, now + 1s}));
    EXPECT_TRUE(limits.isEmpty());
    EXPECT_EQ(limits.share(target, serverId(0), {0, 1, 1}), std::nullopt);
}

// Guards against a limit that is lost with the entry of its server, which may vanish for seconds: the server would get as many
// requests as it has slots when it is listed again.
TEST(RejectionLimits, AStatementOutlastsTheAbsenceOfItsServer)
{
    OneServer fleet;
    const std::vector<Assignment> first = fleet.start(1, now);
    ASSERT_EQ(first.size(), 1U);
    fleet.dispatcher.setServers({}, now + 1s);
    fleet.dispatcher.onRejectionLimit(first.front().ticket, 2, now + 1s);
    fleet.dispatcher.finish(first.front().ticket, AttemptOutcome::Completed, now + 1s);
    fleet.dispatcher.setServers({fleet.server}, now + 2s);
    EXPECT_EQ(fleet.start(6, now + 2s).size(), 2U) << "more may be turned away than the server survives";
}

// Guards against a limit that expires while a service gets no requests, and its servers state nothing: the next requests that
// come at once would be sent to all of their slots.
TEST(RejectionLimits, AStatementHoldsWhileNobodyAsksTheServers)
{
    for (const Duration quietTime : {RejectionLimits::statementValidity + 1s, Duration(1h)}) {
        OneServer fleet;
        const std::vector<Assignment> first = fleet.start(1, now);
        ASSERT_EQ(first.size(), 1U);
        fleet.dispatcher.onRejectionLimit(first.front().ticket, 2, now);
        fleet.dispatcher.finish(first.front().ticket, AttemptOutcome::Completed, now);
        fleet.start(0, now + quietTime / 2);
        const std::vector<Assignment> burst = fleet.start(6, now + quietTime);
        ASSERT_EQ(burst.size(), 2U) << "more may be turned away than the server survives";
        fleet.dispatcher.onRejectionLimit(burst.front().ticket, std::nullopt, now + quietTime);
        EXPECT_EQ(fleet.start(0, now + quietTime).size(), 4U) << "a response ends it";
    }
}

// An instance sees no responses of the servers that are left to others, so that only time can tell it that their limits ended.
TEST(RejectionLimits, ServersThatWereLeftToOthersAreUsedAgainWhenTheLimitsEnd)
{
    const ModelName model("model");
    Dispatcher dispatcher{DispatcherOptions()};
    std::vector<BackendServer> servers(3);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].id = serverId(i);
        servers[i].models = {model};
        servers[i].slots = 1;
    }
    dispatcher.setServers(servers, now);
    dispatcher.setInstances(InstanceId("i1000"), instancesWithout(0, 3), now);
    const auto serve = [&](std::optional<std::uint32_t> limit, TimePoint time) {
        std::vector<Ticket> tickets;
        RequestProfile profile;
        profile.requestClass.deadline = 60s;
        profile.model = model;
        profile.arrival = time;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            tickets.push_back(std::get<Ticket>(dispatcher.submit(profile, time)));
        }
        Decisions decisions;
        dispatcher.dispatch(time, decisions);
        for (const Assignment &assignment : decisions.assignments) {
            dispatcher.onRejectionLimit(assignment.ticket, limit, time);
            dispatcher.finish(assignment.ticket, AttemptOutcome::Completed, time);
        }
        for (const Ticket ticket : tickets) {
            dispatcher.cancel(ticket, time);
        }
        return decisions.assignments.size();
    };
    EXPECT_EQ(serve(1, now), 3U);
    EXPECT_EQ(serve(1, now + 1s), 1U) << "each instance uses one of the servers";
    EXPECT_EQ(serve(std::nullopt, now + 2s), 1U);
    constexpr TimePoint afterwards = now + RejectionLimits::statementValidity + 2s;
    serve(std::nullopt, afterwards);
    EXPECT_EQ(serve(std::nullopt, afterwards + 1s), 3U);
}
