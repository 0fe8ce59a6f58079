#include <flamingosaddle/traffic/dispatcher.h>
#include <flamingosaddle/traffic/promptbacklog.h>
#include <flamingosaddle/traffic/resendlimit.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t chatTokens = 1500;
constexpr std::uint32_t planTokens = 17000;

BackendServer serverOf(int number, bool cheap = false)
{
    BackendServer server;
    server.id = BackendServerId("s" + std::to_string(number));
    server.dataCentre = DataCentre("a");
    server.kind = BackendKind::Service;
    server.service = ServiceName("engines");
    server.slots = 64;
    server.cheap = cheap;
    return server;
}

std::vector<BackendServer> twelveServers()
{
    constexpr int count = 12;
    std::vector<BackendServer> servers;
    servers.reserve(count);
    for (int i = 0; i < count; ++i) {
        servers.push_back(serverOf(i));
    }
    return servers;
}

RequestProfile profileOf(const std::string &name, std::uint32_t tokens, int tier, std::chrono::milliseconds firstTokenTarget)
{
    RequestProfile profile;
    profile.clientAccount = ClientAccountId("a");
    profile.requestClass.name = ClassName(name);
    profile.requestClass.tier = tier;
    profile.requestClass.firstTokenTarget = firstTokenTarget;
    profile.requestClass.deadline = 12s;
    profile.service = ServiceName("engines");
    profile.promptTokens = tokens;
    profile.outputTokens = 100;
    profile.maxAttempts = 1;
    return profile;
}

DispatcherOptions testOptions()
{
    DispatcherOptions options;
    options.exemptUnsentAttempts = true;
    return options;
}

RequestProfile chat()
{
    return profileOf("chat", chatTokens, 0, 600ms);
}

RequestProfile plan(std::uint64_t prefix = 0)
{
    RequestProfile profile = profileOf("plan", planTokens, 2, 2500ms);
    profile.prefixHash = prefix;
    profile.sharedTokens = prefix == 0 ? 0 : 13000;
    return profile;
}

/** A dispatcher with twelve servers to which requests are submitted one at a time. */
struct PromptTest : testing::Test {
    TimePoint now{std::chrono::seconds(1)};
    Dispatcher dispatcher{testOptions()};
    Decisions decisions;
    std::map<Ticket, BackendServerId> started;

    void SetUp() override
    {
        this->dispatcher.setServers(twelveServers(), this->now);
    }

    std::optional<Ticket> submit(RequestProfile profile)
    {
        profile.arrival = this->now;
        const std::variant<Ticket, Refusal> result = this->dispatcher.submit(profile, this->now);
        this->dispatch();
        const Ticket *ticket = std::get_if<Ticket>(&result);
        return ticket == nullptr ? std::nullopt : std::optional(*ticket);
    }

    void dispatch()
    {
        this->dispatcher.dispatch(this->now, this->decisions);
        for (const Assignment &assignment : this->decisions.assignments) {
            this->started[assignment.ticket] = assignment.server;
        }
    }

    /** Submits requests of both classes until the dispatcher separates them by prompt length. */
    void learnClasses()
    {
        constexpr int rounds = 20; // after which one more request does not noticeably change the work shares
        for (int i = 0; i < rounds; ++i) {
            for (const RequestProfile &profile : {chat(), plan()}) {
                const Ticket ticket = *this->submit(profile);
                this->dispatcher.onFirstToken(ticket, this->now);
                this->dispatcher.finish(ticket, AttemptOutcome::Completed, this->now);
            }
        }
        this->started.clear();
    }
};

/** Simulated engines that process one prompt after the other and cache every prefix. All prompts are plans. */
class PrefillServers
{
public:
    /** Starts the prefill of all requests in @p started and clears it. */
    void start(std::map<Ticket, BackendServerId> &started, TimePoint now)
    {
        constexpr double tokensPerMillisecond = 37.9;
        for (const auto &[ticket, server] : started) {
            const std::uint64_t prefix = this->prefixes.at(ticket);
            const bool isUncached = this->cached[server].insert(prefix).second;
            this->prefillCount += isUncached ? 1 : 0;
            const double tokens = isUncached ? planTokens : planTokens - plan(1).sharedTokens;
            TimePoint &free = this->freeAt[server];
            free = std::max(free, now) + std::chrono::microseconds(static_cast<int>(tokens / tokensPerMillisecond * 1000));
            this->ends.emplace(free, ticket);
        }
        started.clear();
    }

    /** Reports the first tokens due by @p now. The rest of a response takes no time. */
    void advance(Dispatcher &dispatcher, TimePoint now)
    {
        for (auto end = this->ends.begin(); end != this->ends.end() && end->first <= now; end = this->ends.erase(end)) {
            dispatcher.onFirstToken(end->second, end->first);
            dispatcher.finish(end->second, AttemptOutcome::Completed, end->first);
        }
    }

    std::uint64_t prefills() const
    {
        return this->prefillCount;
    }

    std::map<Ticket, std::uint64_t> prefixes; // prefix of each request's prompt

private:
    std::map<BackendServerId, std::set<std::uint64_t>> cached;
    std::map<BackendServerId, TimePoint> freeAt;
    std::multimap<TimePoint, Ticket> ends;
    std::uint64_t prefillCount = 0;
};

} // namespace

TEST_F(PromptTest, LowerTiersYieldToHigherTiersWaitingAtAPeer)
{
    this->learnClasses();
    const RequestProfile glossary = profileOf("glossary", planTokens / 2, 1, 2500ms);
    Dispatcher peer{testOptions()};
    peer.setServers(twelveServers(), this->now);
    std::vector<WaitingTier> waiting;
    for (int i = 0; i < 1000 && waiting.empty(); ++i) {
        RequestProfile profile = glossary;
        profile.arrival = this->now;
        EXPECT_TRUE(std::holds_alternative<Ticket>(peer.submit(profile, this->now)));
        Decisions ignored;
        peer.dispatch(this->now, ignored);
        peer.waitingTiers(waiting);
    }
    ASSERT_EQ(waiting.size(), 1U);
    EXPECT_EQ(waiting.front().tier, 1);

    this->dispatcher.applyPeerWaitingTiers(waiting);
    const Ticket low = *this->submit(plan());
    EXPECT_FALSE(this->started.contains(low)) << "started before a glossary that waits at a peer";
    const Ticket same = *this->submit(glossary);
    EXPECT_TRUE(this->started.contains(same));
    const Ticket high = *this->submit(chat());
    EXPECT_TRUE(this->started.contains(high));

    this->dispatcher.applyPeerWaitingTiers({});
    this->dispatch();
    EXPECT_TRUE(this->started.contains(low));
}

TEST_F(PromptTest, UsesTheServerWhereAPeerCachedThePrefix)
{
    this->learnClasses();
    constexpr std::uint64_t prefix = 77;
    // Finds another prefix whose home is a different server.
    std::uint64_t other = prefix + 1;
    const BackendServerId home = this->started[*this->submit(plan(prefix))];
    BackendServerId elsewhere = home;
    for (; elsewhere == home; ++other) {
        elsewhere = this->started[*this->submit(plan(other))];
    }
    Dispatcher peer{testOptions()};
    std::swap(this->dispatcher, peer);
    this->dispatcher.setServers(twelveServers(), this->now);
    this->learnClasses();
    this->dispatcher.applyPeerPrefill({elsewhere, prefix});
    EXPECT_EQ(this->started[*this->submit(plan(prefix))], elsewhere);
}

TEST_F(PromptTest, ReportsEachPrefillOnce)
{
    this->learnClasses();
    const BackendServerId server = this->started[*this->submit(plan(5))];
    std::vector<PromptPrefill> prefills;
    this->dispatcher.takePrefills(prefills);
    EXPECT_EQ(prefills, (std::vector<PromptPrefill>{{server, 5}}));
    this->dispatcher.takePrefills(prefills);
    EXPECT_TRUE(prefills.empty());
}

TEST_F(PromptTest, ACachedPrefixRaisesTheBacklogLimitOfItsServer)
{
    this->learnClasses();
    // A class with a tight target lowers the backlog limit of the lower tier.
    const RequestProfile glossary = profileOf("glossary", planTokens / 2, 1, 1000ms);
    const Ticket processed = *this->submit(glossary);
    this->dispatcher.onFirstToken(processed, this->now);
    this->dispatcher.finish(processed, AttemptOutcome::Completed, this->now);
    const BackendServerId server = this->started[*this->submit(plan(5))];
    // The server has a backlog of 17000 tokens, and the second prompt shares 13000 of them.
    EXPECT_EQ(this->started[*this->submit(plan(5))], server);
}

TEST_F(PromptTest, QueuesAtTheCachingServerUpToItsOwnFirstTokenTarget)
{
    this->learnClasses();
    const RequestProfile glossary = profileOf("glossary", planTokens / 2, 1, 1000ms);
    const Ticket tight = *this->submit(glossary);
    const Ticket first = *this->submit(plan(5));
    const BackendServerId server = this->started[first];
    for (const Ticket ticket : {tight, first}) {
        this->dispatcher.onFirstToken(ticket, this->now);
        this->dispatcher.finish(ticket, AttemptOutcome::Completed, this->now);
    }
    constexpr std::uint64_t backlog = 25000; // more than the limit that follows from the glossary's target
    this->dispatcher.applyLoadReport({server, 2, 0, this->now, backlog});
    EXPECT_EQ(this->started[*this->submit(plan(5))], server) << "the prefix was processed again elsewhere";
}

TEST_F(PromptTest, ABurstOverColdServersRarelyRepeatsPrefills)
{
    this->learnClasses();
    PrefillServers servers;
    constexpr std::uint64_t prefixes = 24;
    constexpr int requests = 400;
    constexpr std::chrono::milliseconds step(12); // 3 times the prefill rate of the servers without cached prefixes
    for (int i = 0; i < requests; ++i) {
        const std::uint64_t prefix = 100 + static_cast<std::uint64_t>(i) % prefixes;
        servers.prefixes[*this->submit(plan(prefix))] = prefix;
        servers.start(this->started, this->now);
        this->now += step;
        servers.advance(this->dispatcher, this->now);
        this->dispatch();
        servers.start(this->started, this->now);
    }
    // At most a quarter of the prefixes is processed twice. Each repeated prefill delays prompts that wait.
    EXPECT_LE(servers.prefills(), prefixes * 5 / 4);
}

TEST_F(PromptTest, ServersProcessingLongPromptsAreNotStragglers)
{
    this->learnClasses();
    const BackendServerId home = this->started[*this->submit(plan(5))];
    for (int round = 0; round < 20; ++round) {
        // Several at a time, so that several servers are measured.
        const std::vector<Ticket> chats{*this->submit(chat()), *this->submit(chat()), *this->submit(chat())};
        const Ticket planned = *this->submit(plan(5));
        ASSERT_EQ(this->started[planned], home) << "in round " << round;
        this->now += 125ms; // both prefills take as long as expected
        for (const Ticket ticket : chats) {
            this->dispatcher.onFirstToken(ticket, this->now);
        }
        this->now += 125ms;
        this->dispatcher.onFirstToken(planned, this->now);
        for (const Ticket ticket : chats) {
            this->dispatcher.onTokens(ticket, 50, this->now);
            this->dispatcher.finish(ticket, AttemptOutcome::Completed, this->now);
        }
        this->now += 100ms; // the prefill of the next long prompt delays a token of this one
        this->dispatcher.onTokens(planned, 1, this->now);
        this->dispatcher.finish(planned, AttemptOutcome::Completed, this->now);
    }
}

TEST_F(PromptTest, LongPromptsAvoidTheServersForShortOnes)
{
    this->learnClasses();
    std::set<BackendServerId> chats;
    std::set<BackendServerId> plans;
    for (int i = 0; i < 20; ++i) {
        chats.insert(this->started[*this->submit(chat())]);
        const std::optional<Ticket> ticket = this->submit(plan());
        if (this->started.contains(*ticket)) {
            plans.insert(this->started[*ticket]);
        }
    }
    EXPECT_FALSE(plans.empty());
    for (const BackendServerId &server : chats) {
        EXPECT_FALSE(plans.contains(server)) << server.text() << " processes long prompts next to chats";
    }
}

TEST_F(PromptTest, PromptsWithTheSamePrefixUseTheSameServer)
{
    this->learnClasses();
    std::set<BackendServerId> servers;
    for (int i = 0; i < 8; ++i) {
        const Ticket ticket = *this->submit(plan(77));
        servers.insert(this->started[ticket]);
        this->dispatcher.onFirstToken(ticket, this->now);
        this->dispatcher.finish(ticket, AttemptOutcome::Completed, this->now);
    }
    EXPECT_EQ(servers.size(), 1U);
}

TEST_F(PromptTest, InstancesChooseTheSameHomeForAPrefix)
{
    this->learnClasses();
    Dispatcher other{DispatcherOptions()};
    other.setServers(twelveServers(), this->now);
    for (int i = 0; i < 20; ++i) {
        for (const RequestProfile &profile : {chat(), plan()}) {
            const Ticket ticket = std::get<Ticket>(other.submit(profile, this->now));
            other.dispatch(this->now, this->decisions);
            other.onFirstToken(ticket, this->now);
            other.finish(ticket, AttemptOutcome::Completed, this->now);
        }
    }
    (void)other.submit(plan(4711), this->now);
    other.dispatch(this->now, this->decisions);
    ASSERT_EQ(this->decisions.assignments.size(), 1U);
    const BackendServerId there = this->decisions.assignments.front().server;
    EXPECT_EQ(this->started[*this->submit(plan(4711))], there);
}

TEST_F(PromptTest, ABurstOfLongPromptsIsQueuedWithoutDelayingShortOnes)
{
    this->learnClasses();
    std::size_t waiting = 0;
    for (int i = 0; i < 60; ++i) {
        const std::optional<Ticket> ticket = this->submit(plan());
        waiting += ticket.has_value() && !this->started.contains(*ticket) ? 1 : 0;
    }
    EXPECT_GT(waiting, 0U) << "all prompts were put into the engines' queues";
    const Ticket ticket = *this->submit(chat());
    EXPECT_TRUE(this->started.contains(ticket));
}

TEST_F(PromptTest, ACompletedPrefillMakesRoomForTheNext)
{
    this->learnClasses();
    std::vector<Ticket> running;
    std::optional<Ticket> waiting;
    while (!waiting.has_value()) {
        const Ticket ticket = *this->submit(plan());
        if (this->started.contains(ticket)) {
            running.push_back(ticket);
        } else {
            waiting = ticket;
        }
    }
    this->now += 500ms;
    for (const Ticket ticket : running) {
        this->dispatcher.onFirstToken(ticket, this->now);
    }
    this->dispatch();
    EXPECT_TRUE(this->started.contains(*waiting));
}

TEST_F(PromptTest, AnUnsentAttemptIsNotCounted)
{
    this->learnClasses();
    const Ticket ticket = *this->submit(plan());
    const BackendServerId first = this->started[ticket];
    EXPECT_EQ(this->dispatcher.retry(ticket, AttemptOutcome::NotSent, false, this->now), std::nullopt);
    this->dispatch();
    EXPECT_NE(this->started[ticket], first);
    const std::optional<Refusal> refusal = this->dispatcher.retry(ticket, AttemptOutcome::Rejected, false, this->now);
    ASSERT_TRUE(refusal.has_value()) << "the limit of one attempt that a server may have seen is reached";
    EXPECT_EQ(refusal->runState, RunState::NotRun);
}

TEST_F(PromptTest, AMissingServerIsNotUsedForPromptsWhileAnotherIsFree)
{
    this->learnClasses();
    std::vector<BackendServer> servers = twelveServers();
    for (std::size_t i = 0; i < servers.size(); i += 3) {
        servers[i].missing = true;
    }
    this->dispatcher.setServers(servers, this->now);
    for (std::uint64_t prefix = 1; prefix <= 6; ++prefix) {
        this->submit(plan(prefix));
        this->submit(chat());
    }
    EXPECT_EQ(this->started.size(), 12U);
    for (const auto &[ticket, started] : this->started) {
        const auto used = std::find_if(servers.begin(), servers.end(), [&started = started](const BackendServer &server) {
            return server.id == started;
        });
        EXPECT_FALSE(used->missing) << started.text();
    }
}

TEST_F(PromptTest, FailedServersAreNotUsedForPrompts)
{
    this->learnClasses();
    const Ticket ticket = *this->submit(plan());
    const BackendServerId failed = this->started[ticket];
    (void)this->dispatcher.retry(ticket, AttemptOutcome::NotSent, false, this->now);
    for (int i = 0; i < 60; ++i) {
        const std::optional<Ticket> next = this->submit(plan());
        if (next.has_value() && this->started.contains(*next)) {
            EXPECT_NE(this->started[*next], failed);
        }
    }
}

TEST(PromptBacklog, EstimatesTheWaitFromTheStartRate)
{
    PromptBacklog backlog;
    TimePoint now(1s);
    backlog.recordWaiting(1, 1000, now);
    for (int i = 0; i < 100; ++i) {
        now += 100ms;
        backlog.recordWaiting(1, 1000, now);
        backlog.recordEnd(1, 1000, true, now);
    }
    backlog.recordWaiting(1, 40000, now);
    const double seconds = std::chrono::duration<double>(backlog.expectedWait(1, now)).count();
    EXPECT_NEAR(seconds, 4.1, 0.5) << "41,000 tokens at 10,000 a second";
    EXPECT_EQ(backlog.expectedWait(0, now), Duration::zero()) << "the waiting requests are of a lower tier";
    EXPECT_TRUE(PromptBacklog::isTooLong(backlog.expectedWait(1, now), 6s));
    EXPECT_FALSE(PromptBacklog::isTooLong(backlog.expectedWait(1, now), 12s));
}

TEST(ResendLimit, BoundsEverySlidingWindow)
{
    ResendLimit limit({10s, 0.2, 40});
    TimePoint now(100s);
    for (int i = 0; i < 100; ++i) {
        limit.recordRequest(now);
    }
    int taken = 0;
    while (limit.tryTake(4, now)) {
        ++taken;
    }
    EXPECT_EQ(taken, 24) << "four fifths of 0.2 x 100 + 40 / 4";
    EXPECT_FALSE(limit.tryTake(4, now + 9s));
    EXPECT_TRUE(limit.tryTake(4, now + 11s)) << "the resends have left the window";
}

TEST(ResendLimit, AssumesTheDefaultNumberOfInstancesWhileUnknown)
{
    ResendLimit limit({10s, 0.2, 40});
    int taken = 0;
    while (limit.tryTake(0, TimePoint(1s))) {
        ++taken;
    }
    EXPECT_EQ(taken, 4);
}

TEST(ResendLimit, IsUnlimitedWithoutAWindow)
{
    ResendLimit limit({});
    for (int i = 0; i < 1000; ++i) {
        EXPECT_TRUE(limit.tryTake(4, TimePoint(1s)));
    }
}
