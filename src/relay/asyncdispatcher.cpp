#include "asyncdispatchercore.h"

#include <flamingosaddle/relay/asyncdispatcher.h>

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
class AsyncDispatcher::WakeupTimer : public std::enable_shared_from_this<WakeupTimer>
{
public:
    WakeupTimer(const asio::any_io_executor &executor, std::weak_ptr<AsyncDispatcherCore> core)
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
            const std::shared_ptr<AsyncDispatcherCore> core = self->core.lock();
            if (!error && core) {
                core->wakeUp();
            }
        });
    }

    Timer timer;
    std::weak_ptr<AsyncDispatcherCore> core;
};

ServerGrant::ServerGrant(
    std::shared_ptr<AsyncDispatcherCore> core, Ticket ticket, BackendServerId server, const RequestProfile &profile, bool suspect)
    : core(std::move(core))
    , ticket(ticket)
    , serverId(std::move(server))
    , fingerprint(profile.fingerprint)
    , deadline(profile.arrival + profile.requestClass.deadline)
    , suspect(suspect)
{
}

ServerGrant::~ServerGrant()
{
    this->finish(AttemptOutcome::CallerDisconnected);
}

ServerGrant::ServerGrant(ServerGrant &&other) noexcept = default;

const BackendServerId &ServerGrant::server() const
{
    return this->serverId;
}

bool ServerGrant::isOpen() const
{
    return this->core != nullptr;
}

void ServerGrant::recordRateLimit(std::optional<double> requestsPerSecond)
{
    if (this->core) {
        this->core->recordRateLimit(this->ticket, requestsPerSecond);
    }
}

void ServerGrant::recordRejectionLimit(std::optional<std::uint32_t> rejectionsPerSecond)
{
    if (this->core) {
        this->core->recordRejectionLimit(this->ticket, rejectionsPerSecond);
    }
}

void ServerGrant::pauseServer(Duration pause)
{
    if (this->core) {
        this->core->pauseServer(this->ticket, this->server(), pause);
    }
}

void ServerGrant::requireVersion(const std::string &softwareVersion)
{
    if (this->core) {
        this->core->requireVersion(this->ticket, softwareVersion);
    }
}

bool ServerGrant::tryResend()
{
    return this->core && this->core->tryResend(this->ticket);
}

void ServerGrant::recordFirstToken()
{
    if (this->core) {
        this->core->recordFirstToken(this->ticket);
    }
}

void ServerGrant::recordTokens(std::uint32_t count)
{
    if (this->core) {
        this->core->recordTokens(this->ticket, count);
    }
}

void ServerGrant::finish(AttemptOutcome end)
{
    const std::shared_ptr<AsyncDispatcherCore> core = std::exchange(this->core, nullptr);
    if (!core) {
        return;
    }
    end = core->withoutRestart(this->ticket, end);
    core->finish(this->ticket, end);
    if (end == AttemptOutcome::Completed && this->suspect) {
        core->notifyCompleted(this->fingerprint);
    }
}

asio::awaitable<std::optional<Refusal>> ServerGrant::retry(AttemptOutcome end, bool anyByteSent, DisconnectSignal &caller)
{
    // The ticket waits until the decision is made; meanwhile only awaitDecision() may cancel it.
    const std::shared_ptr<AsyncDispatcherCore> core = std::exchange(this->core, nullptr);
    if (!core) {
        co_return Refusal{RefusalReason::Cancelled, RunState::Unknown, std::chrono::seconds(0)};
    }
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const auto waiter = std::make_shared<WaitingRequest>(executor, this->fingerprint, this->deadline);
    end = core->withoutRestart(this->ticket, end);
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

AsyncDispatcher::AsyncDispatcher(Dispatcher dispatcher, const asio::any_io_executor &executor, AsyncDispatcherHooks hooks)
    : core(std::make_shared<AsyncDispatcherCore>(std::move(dispatcher), std::move(hooks)))
    , wakeupTimer(std::make_shared<WakeupTimer>(executor, this->core))
{
    this->core->setWakeupHook([weak = std::weak_ptr<WakeupTimer>(this->wakeupTimer)](TimePoint time) {
        if (const std::shared_ptr<WakeupTimer> wakeup = weak.lock()) {
            wakeup->schedule(time);
        }
    });
}

AsyncDispatcher::~AsyncDispatcher()
{
    this->core->setWakeupHook(nullptr);
}

asio::awaitable<AsyncDispatcher::AcquireResult> AsyncDispatcher::acquire(RequestProfile profile, DisconnectSignal &caller)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const TimePoint deadline = profile.arrival + profile.requestClass.deadline;
    const auto waiter = std::make_shared<WaitingRequest>(executor, profile.fingerprint, deadline);
    const std::shared_ptr<AsyncDispatcherCore> core = this->core;
    const std::variant<Ticket, Refusal> submitted = core->submit(profile, waiter);
    if (const Refusal *refusal = std::get_if<Refusal>(&submitted)) {
        co_return *refusal;
    }
    const Ticket ticket = std::get<Ticket>(submitted);
    co_await core->awaitDecision(ticket, waiter, caller);
    if (const Refusal *refusal = std::get_if<Refusal>(&waiter->decision)) {
        co_return *refusal;
    }
    co_return ServerGrant(core, ticket, std::get<BackendServerId>(waiter->decision), profile, waiter->suspect);
}

void AsyncDispatcher::update(const std::function<void(Dispatcher &dispatcher, TimePoint now)> &change)
{
    this->core->update(change);
}

void AsyncDispatcher::setServers(const std::vector<BackendServer> &servers)
{
    this->update([&servers](Dispatcher &dispatcher, TimePoint now) {
        dispatcher.setServers(servers, now);
    });
}

void AsyncDispatcher::applyReport(const ServerLoadReport &report)
{
    this->update([&report](Dispatcher &dispatcher, TimePoint) {
        dispatcher.applyLoadReport(report);
    });
}

std::optional<PeerPath> AsyncDispatcher::choosePeer(const RequestProfile &profile, const std::vector<InstanceId> &tried)
{
    return this->core->choosePeer(profile, tried);
}

void AsyncDispatcher::releasePeer(const InstanceId &peer)
{
    this->core->releasePeer(peer);
}

void AsyncDispatcher::recordPeerUnreachable(const InstanceId &peer, const RequestProfile &profile)
{
    this->core->recordPeerUnreachable(peer, profile);
}

bool AsyncDispatcher::isUnreachable(const RequestProfile &profile) const
{
    return this->core->isUnreachable(profile);
}

std::size_t AsyncDispatcher::waitingCount() const
{
    return this->core->waitingCount();
}

std::size_t AsyncDispatcher::runningCount() const
{
    return this->core->runningCount();
}

std::size_t AsyncDispatcher::rateLimitedCount() const
{
    return this->core->rateLimitedCount();
}

std::vector<ColdServerStatus> AsyncDispatcher::coldServers() const
{
    return this->core->coldServers();
}

std::size_t AsyncDispatcher::quarantinedPromptPartCount() const
{
    return this->core->quarantinedPromptPartCount();
}

} // namespace flamingosaddle
