#include "trafficgatecore.h"

#include <flamingosaddle/relay/trafficgate.h>

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

/**
 * Timer that calls AsyncDispatcherCore::wakeUp(). Owned by AsyncDispatcher, since grants, which share the core, may outlive
 * the timer's context.
 */
class TrafficGate::Wakeup : public std::enable_shared_from_this<Wakeup>
{
public:
    Wakeup(const asio::any_io_executor &executor, std::weak_ptr<TrafficGateCore> core)
        : timer(executor)
        , core(std::move(core))
    {
    }

    void schedule(TimePoint time)
    {
        asio::post(this->timer.get_executor(), [self = this->shared_from_this(), time]() {
            self->start(time);
        });
    }

private:
    void start(TimePoint time)
    {
        this->timer.expires_at(time);
        this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
            const std::shared_ptr<TrafficGateCore> core = self->core.lock();
            if (!error && core) {
                core->wakeUp();
            }
        });
    }

    Timer timer;
    std::weak_ptr<TrafficGateCore> core;
};

TrafficGrant::TrafficGrant(
    std::shared_ptr<TrafficGateCore> core, Ticket ticket, BackendServerId server, const RequestProfile &profile, bool suspect)
    : core(std::move(core))
    , ticket(ticket)
    , serverId(std::move(server))
    , fingerprint(profile.fingerprint)
    , deadline(profile.arrival + profile.requestClass.deadline)
    , suspect(suspect)
{
}

TrafficGrant::~TrafficGrant()
{
    this->finish(AttemptEnd::CallerGone);
}

TrafficGrant::TrafficGrant(TrafficGrant &&other) noexcept = default;

const BackendServerId &TrafficGrant::server() const
{
    return this->serverId;
}

bool TrafficGrant::isOpen() const
{
    return this->core != nullptr;
}

void TrafficGrant::firstToken()
{
    if (this->core) {
        this->core->firstToken(this->ticket);
    }
}

void TrafficGrant::tokens(std::uint32_t count)
{
    if (this->core) {
        this->core->tokens(this->ticket, count);
    }
}

void TrafficGrant::finish(AttemptEnd end)
{
    const std::shared_ptr<TrafficGateCore> core = std::exchange(this->core, nullptr);
    if (!core) {
        return;
    }
    core->finish(this->ticket, end);
    if (end == AttemptEnd::ServerFailed) {
        core->noteDeath(this->fingerprint, this->serverId);
    } else if (end == AttemptEnd::Completed && this->suspect) {
        core->noteAnswered(this->fingerprint);
    }
}

asio::awaitable<std::optional<Refusal>> TrafficGrant::retry(AttemptEnd end, bool anyByteSent, CallerSignal &caller)
{
    // The ticket waits until the decision is made; meanwhile only awaitDecision() may cancel it.
    const std::shared_ptr<TrafficGateCore> core = std::exchange(this->core, nullptr);
    if (!core) {
        co_return Refusal{RefusalReason::Cancelled, RunState::Unknown, std::chrono::seconds(0)};
    }
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const auto waiter = std::make_shared<TrafficWaiter>(executor, this->fingerprint, this->deadline);
    if (end == AttemptEnd::ServerFailed) {
        core->noteDeath(this->fingerprint, this->serverId);
    }
    const std::optional<Refusal> refusal = core->retry(this->ticket, end, anyByteSent, waiter);
    if (refusal.has_value()) {
        co_return refusal;
    }
    co_await core->awaitDecision(this->ticket, waiter, caller);
    if (const Refusal *decided = std::get_if<Refusal>(&waiter->decision)) {
        co_return *decided;
    }
    this->serverId = std::get<BackendServerId>(waiter->decision);
    this->suspect = waiter->suspect;
    this->core = core;
    co_return std::nullopt;
}

TrafficGate::TrafficGate(Dispatcher dispatcher, const asio::any_io_executor &executor, TrafficGateHooks hooks)
    : core(std::make_shared<TrafficGateCore>(std::move(dispatcher), std::move(hooks)))
    , wakeup(std::make_shared<Wakeup>(executor, this->core))
{
    this->core->setWakeupRequest([weak = std::weak_ptr<Wakeup>(this->wakeup)](TimePoint time) {
        if (const std::shared_ptr<Wakeup> wakeup = weak.lock()) {
            wakeup->schedule(time);
        }
    });
}

TrafficGate::~TrafficGate()
{
    this->core->setWakeupRequest(nullptr);
}

asio::awaitable<TrafficGate::Answer> TrafficGate::acquire(RequestProfile profile, CallerSignal &caller)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const TimePoint deadline = profile.arrival + profile.requestClass.deadline;
    const auto waiter = std::make_shared<TrafficWaiter>(executor, profile.fingerprint, deadline);
    const std::shared_ptr<TrafficGateCore> core = this->core;
    const std::variant<Ticket, Refusal> submitted = core->submit(profile, waiter);
    if (const Refusal *refusal = std::get_if<Refusal>(&submitted)) {
        co_return *refusal;
    }
    const Ticket ticket = std::get<Ticket>(submitted);
    co_await core->awaitDecision(ticket, waiter, caller);
    if (const Refusal *refusal = std::get_if<Refusal>(&waiter->decision)) {
        co_return *refusal;
    }
    co_return TrafficGrant(core, ticket, std::get<BackendServerId>(waiter->decision), profile, waiter->suspect);
}

void TrafficGate::update(const std::function<void(Dispatcher &dispatcher, TimePoint now)> &change)
{
    this->core->update(change);
}

void TrafficGate::setServers(const std::vector<BackendServer> &servers)
{
    this->update([&servers](Dispatcher &dispatcher, TimePoint now) {
        dispatcher.setServers(servers, now);
    });
}

void TrafficGate::report(const ServerReport &report)
{
    this->update([&report](Dispatcher &dispatcher, TimePoint) {
        dispatcher.report(report);
    });
}

void TrafficGate::noteDeath(std::uint64_t fingerprint, const BackendServerId &server)
{
    this->update([&](Dispatcher &dispatcher, TimePoint now) {
        dispatcher.noteDeath(fingerprint, server, now);
    });
}

std::size_t TrafficGate::waitingCount() const
{
    return this->core->waitingCount();
}

std::size_t TrafficGate::runningCount() const
{
    return this->core->runningCount();
}

} // namespace flamingosaddle
