// Requests of an instance that is about to stop. Guards against requests that are cut at its end, although they wait and have not
// run, or are started although they cannot complete.

#include <flamingosaddle/traffic/dispatcher.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start(100s);
constexpr Duration workTime = 2s;
const ModelName model("model");

/** A dispatcher for one server with one slot, whose requests take two seconds each. */
class Drain : public testing::Test
{
protected:
    Drain()
        : dispatcher(options())
    {
        BackendServer server;
        server.id = BackendServerId("s1");
        server.models = {model};
        server.slots = 1;
        this->dispatcher.setServers({server}, start);
        for (int i = 0; i < 20; ++i) {
            const Ticket ticket = this->submit();
            this->now += workTime;
            this->finish(ticket);
        }
    }

    static DispatcherOptions options()
    {
        DispatcherOptions options;
        options.exemptUnsentAttempts = true;
        options.retryPercent = 100;
        return options;
    }

    RequestProfile profile(bool idempotent = false) const
    {
        RequestProfile profile;
        profile.requestClass.name = ClassName("class");
        profile.requestClass.firstTokenTarget = 60s;
        profile.requestClass.deadline = 60s;
        profile.model = model;
        profile.idempotent = idempotent;
        profile.arrival = this->now;
        return profile;
    }

    Ticket submit(bool idempotent = false)
    {
        const Ticket ticket = std::get<Ticket>(this->dispatcher.submit(this->profile(idempotent), this->now));
        this->dispatch();
        return ticket;
    }

    std::optional<Refusal> refusalOfSubmit()
    {
        const std::variant<Ticket, Refusal> submitted = this->dispatcher.submit(this->profile(), this->now);
        const Refusal *refusal = std::get_if<Refusal>(&submitted);
        return refusal == nullptr ? std::nullopt : std::optional(*refusal);
    }

    void finish(Ticket ticket)
    {
        this->dispatcher.finish(ticket, AttemptOutcome::Completed, this->now);
        this->dispatch();
    }

    void dispatch()
    {
        this->dispatcher.dispatch(this->now, this->decisions);
    }

    Dispatcher dispatcher;
    Decisions decisions;
    TimePoint now = start;
};

} // namespace

TEST_F(Drain, ARequestThatWaitsIsRefusedAsSoonAsItCannotComplete)
{
    this->submit();
    const Ticket waiting = this->submit();
    const TimePoint end = this->now + 7s;
    this->dispatcher.drain(end);
    this->dispatch();
    EXPECT_TRUE(this->decisions.rejections.empty()) << "it can still be served";
    ASSERT_TRUE(this->dispatcher.nextWakeup().has_value());
    EXPECT_EQ(*this->dispatcher.nextWakeup(), end - workTime);
    this->now = end - workTime;
    this->dispatch();
    ASSERT_EQ(this->decisions.rejections.size(), 1U);
    EXPECT_EQ(this->decisions.rejections.front(),
        (Rejection{waiting, Refusal{RefusalReason::Draining, RunState::NotRun, std::chrono::seconds(1)}}));
}

TEST_F(Drain, ARequestThatCanCompleteIsStarted)
{
    const Ticket running = this->submit();
    const Ticket waiting = this->submit();
    this->dispatcher.drain(this->now + 7s);
    this->now += workTime;
    this->finish(running);
    ASSERT_EQ(this->decisions.assignments.size(), 1U);
    EXPECT_EQ(this->decisions.assignments.front().ticket, waiting);
}

TEST_F(Drain, ARequestThatArrivesTooLateIsRefusedAtOnce)
{
    this->submit();
    this->dispatcher.drain(this->now + 7s);
    EXPECT_EQ(this->refusalOfSubmit(), std::nullopt) << "it is served next";
    this->dispatch();
    std::optional<Refusal> tooMany;
    for (int i = 0; i < 4 && !tooMany.has_value(); ++i) {
        tooMany = this->refusalOfSubmit();
        this->dispatch();
    }
    ASSERT_TRUE(tooMany.has_value()) << "five requests do not complete one after the other in seven seconds";
    EXPECT_EQ(tooMany->reason, RefusalReason::Draining);
    EXPECT_EQ(tooMany->runState, RunState::NotRun);
}

TEST_F(Drain, ARequestIsRefusedOnAFreeServerThatCannotCompleteIt)
{
    const TimePoint end = this->now + 7s;
    this->dispatcher.drain(end);
    this->now = end - workTime;
    const std::optional<Refusal> refusal = this->refusalOfSubmit();
    ASSERT_TRUE(refusal.has_value());
    EXPECT_EQ(refusal->reason, RefusalReason::Draining);
}

TEST_F(Drain, ARetryThatCannotCompleteIsRefusedAndSaysWhetherTheRequestMayHaveRun)
{
    for (const bool wasSent : {false, true}) {
        const TimePoint end = this->now + 7s;
        this->dispatcher.drain(end);
        const Ticket ticket = this->submit(true);
        this->now = end - workTime;
        const AttemptOutcome outcome = wasSent ? AttemptOutcome::ServerError : AttemptOutcome::Rejected;
        const std::optional<Refusal> refusal = this->dispatcher.retry(ticket, outcome, wasSent, this->now);
        ASSERT_TRUE(refusal.has_value());
        EXPECT_EQ(refusal->reason, wasSent ? RefusalReason::RetriesExhausted : RefusalReason::Draining);
        EXPECT_EQ(refusal->runState, wasSent ? RunState::Unknown : RunState::NotRun);
    }
}
