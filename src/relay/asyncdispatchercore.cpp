#include "asyncdispatchercore.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

AsyncDispatcherCore::AsyncDispatcherCore(Dispatcher dispatcher, AsyncDispatcherHooks hooks)
    : dispatcher(std::move(dispatcher))
    , hooks(std::move(hooks))
{
}

void AsyncDispatcherCore::update(const std::function<void(Dispatcher &dispatcher, TimePoint now)> &change)
{
    std::unique_lock lock(this->mutex);
    change(this->dispatcher, RuntimeClock::now());
    this->dispatchAndUnlock(lock, nullptr);
}

std::variant<Ticket, Refusal> AsyncDispatcherCore::submit(
    const RequestProfile &profile, const std::shared_ptr<WaitingRequest> &waiter)
{
    std::unique_lock lock(this->mutex);
    const std::variant<Ticket, Refusal> submitted = this->dispatcher.submit(profile, RuntimeClock::now());
    if (const Ticket *ticket = std::get_if<Ticket>(&submitted)) {
        this->waiters.emplace(*ticket, waiter);
    }
    this->dispatchAndUnlock(lock, waiter.get());
    return submitted;
}

std::optional<Refusal> AsyncDispatcherCore::retry(
    Ticket ticket, AttemptOutcome end, bool anyByteSent, const std::shared_ptr<WaitingRequest> &waiter)
{
    std::unique_lock lock(this->mutex);
    const std::optional<Refusal> refusal = this->dispatcher.retry(ticket, end, anyByteSent, RuntimeClock::now());
    if (!refusal.has_value()) {
        this->waiters.emplace(ticket, waiter);
    }
    this->dispatchAndUnlock(lock, waiter.get());
    return refusal;
}

void AsyncDispatcherCore::recordRateLimit(Ticket ticket, std::optional<double> requestsPerSecond)
{
    std::unique_lock lock(this->mutex);
    const std::optional<ServerRateLimit> change = this->dispatcher.onResponseHead(ticket, requestsPerSecond, RuntimeClock::now());
    if (!change.has_value()) {
        return;
    }
    this->dispatchAndUnlock(lock, nullptr);
    if (this->hooks.onRateLimitChange) {
        this->hooks.onRateLimitChange(*change);
    }
}

void AsyncDispatcherCore::recordRejectionLimit(Ticket ticket, std::optional<std::uint32_t> rejectionsPerSecond)
{
    std::unique_lock lock(this->mutex);
    const std::optional<ServerRejectionLimit> change
        = this->dispatcher.onRejectionLimit(ticket, rejectionsPerSecond, RuntimeClock::now());
    if (!change.has_value()) {
        return;
    }
    this->dispatchAndUnlock(lock, nullptr);
    if (this->hooks.onRejectionLimitChange) {
        this->hooks.onRejectionLimitChange(*change);
    }
}

void AsyncDispatcherCore::pauseServer(Ticket ticket, const BackendServerId &server, Duration pause)
{
    std::unique_lock lock(this->mutex);
    const bool isPaused = this->dispatcher.onPauseRequested(ticket, pause, RuntimeClock::now());
    this->dispatchAndUnlock(lock, nullptr); // schedules the end of the pause
    if (isPaused && this->hooks.onServerPaused) {
        this->hooks.onServerPaused(server, pause);
    }
}

AttemptOutcome AsyncDispatcherCore::withoutRestart(Ticket ticket, AttemptOutcome end)
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.withoutRestart(ticket, end, RuntimeClock::now());
}

void AsyncDispatcherCore::requireVersion(Ticket ticket, const std::string &softwareVersion)
{
    const std::scoped_lock lock(this->mutex);
    this->dispatcher.requireVersion(ticket, softwareVersion);
}

bool AsyncDispatcherCore::tryResend(Ticket ticket)
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.tryResend(ticket, RuntimeClock::now());
}

void AsyncDispatcherCore::recordFirstToken(Ticket ticket)
{
    // The completed prefill may free capacity for another prompt.
    std::unique_lock lock(this->mutex);
    this->dispatcher.onFirstToken(ticket, RuntimeClock::now());
    this->dispatchAndUnlock(lock, nullptr);
}

void AsyncDispatcherCore::recordTokens(Ticket ticket, std::uint32_t count)
{
    const std::scoped_lock lock(this->mutex);
    this->dispatcher.onTokens(ticket, count, RuntimeClock::now());
}

void AsyncDispatcherCore::finish(Ticket ticket, AttemptOutcome end)
{
    std::unique_lock lock(this->mutex);
    this->dispatcher.finish(ticket, end, RuntimeClock::now());
    this->dispatchAndUnlock(lock, nullptr);
}

void AsyncDispatcherCore::notifyCompleted(std::uint64_t fingerprint)
{
    if (this->hooks.onSuspectRequest) {
        this->hooks.onSuspectRequest(fingerprint, TimePoint());
    }
}

asio::awaitable<void> AsyncDispatcherCore::awaitDecision(
    Ticket ticket, std::shared_ptr<WaitingRequest> waiter, DisconnectSignal &caller)
{
    const DisconnectSignal::Listener listener(caller, [this, ticket, &waiter]() {
        this->cancelWaiting(ticket, *waiter);
    });
    if (caller.isDisconnected()) {
        this->cancelWaiting(ticket, *waiter);
    }
    while (std::holds_alternative<std::monostate>(waiter->decision)) {
        boost::system::error_code ignored;
        co_await waiter->decisionReady.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void AsyncDispatcherCore::cancelWaiting(Ticket ticket, WaitingRequest &waiter)
{
    std::unique_lock lock(this->mutex);
    if (this->waiters.erase(ticket) == 0) {
        // The decision was already made and is being delivered.
        return;
    }
    this->dispatcher.cancel(ticket, RuntimeClock::now());
    waiter.decision = Refusal{RefusalReason::Cancelled, RunState::Unknown, std::chrono::seconds(0)};
    waiter.decisionReady.cancel();
    this->dispatchAndUnlock(lock, nullptr);
}

void AsyncDispatcherCore::setWakeupHook(std::function<void(TimePoint)> request)
{
    const std::scoped_lock lock(this->mutex);
    this->wakeupHook = std::move(request);
}

void AsyncDispatcherCore::wakeUp()
{
    std::unique_lock lock(this->mutex);
    this->requestedWakeup = TimePoint::max();
    this->dispatchAndUnlock(lock, nullptr);
}

void AsyncDispatcherCore::dispatchAndUnlock(std::unique_lock<std::mutex> &lock, const WaitingRequest *own)
{
    const TimePoint now = RuntimeClock::now();
    this->dispatcher.dispatch(now, this->decisions);
    std::vector<Delivery> deliveries = this->collectDeliveries();
    this->dispatcher.takePathChecks(now, this->pathChecks);
    const std::vector<PathCheck> checks = this->pathChecks;
    const std::vector<PathChange> pathChanges = this->dispatcher.takePathChanges();
    const std::vector<ColdServerChange> coldChanges = this->dispatcher.takeColdChanges();
    const std::vector<ServerDeath> deaths = this->dispatcher.takeDeaths();
    const std::vector<PromptPartChange> changes = this->dispatcher.takePromptPartChanges();
    const TimePoint next = std::min(
        this->dispatcher.nextWakeup().value_or(TimePoint::max()), this->dispatcher.nextPathCheck().value_or(TimePoint::max()));
    if (next < this->requestedWakeup && this->wakeupHook) {
        this->requestedWakeup = next;
        this->wakeupHook(next);
    }
    lock.unlock();
    for (const PromptPartChange &change : changes) {
        if (this->hooks.onPromptPartChange) {
            this->hooks.onPromptPartChange(change);
        }
    }
    if (!checks.empty() && this->hooks.onPathChecks) {
        this->hooks.onPathChecks(checks);
    }
    for (const ServerDeath &death : deaths) {
        if (this->hooks.onServerDeath) {
            this->hooks.onServerDeath(death);
        }
    }
    for (const PathChange &change : pathChanges) {
        if (this->hooks.onPathChange) {
            this->hooks.onPathChange(change);
        }
    }
    for (const ColdServerChange &change : coldChanges) {
        if (this->hooks.onColdServerChange) {
            this->hooks.onColdServerChange(change);
        }
    }
    for (Delivery &delivery : deliveries) {
        this->deliver(std::move(delivery), own);
    }
}

std::vector<AsyncDispatcherCore::Delivery> AsyncDispatcherCore::collectDeliveries()
{
    std::vector<Delivery> deliveries;
    deliveries.reserve(this->decisions.assignments.size() + this->decisions.rejections.size());
    for (const Assignment &assignment : this->decisions.assignments) {
        auto node = this->waiters.extract(assignment.ticket);
        if (!node.empty()) {
            deliveries.push_back({std::move(node.mapped()), assignment.server, assignment.suspect});
        }
    }
    for (const Rejection &rejection : this->decisions.rejections) {
        auto node = this->waiters.extract(rejection.ticket);
        if (!node.empty()) {
            deliveries.push_back({std::move(node.mapped()), rejection.refusal, false});
        }
    }
    return deliveries;
}

void AsyncDispatcherCore::deliver(Delivery delivery, const WaitingRequest *own)
{
    WaitingRequest &waiter = *delivery.waiter;
    waiter.suspect = delivery.suspect;
    if (delivery.suspect && this->hooks.onSuspectRequest) {
        this->hooks.onSuspectRequest(waiter.fingerprint, waiter.deadline);
    }
    if (&waiter == own) {
        waiter.decision = std::move(delivery.decision);
        return;
    }
    asio::post(waiter.executor, [waiter = std::move(delivery.waiter), decision = std::move(delivery.decision)]() mutable {
        waiter->decision = std::move(decision);
        waiter->decisionReady.cancel();
    });
}

std::optional<PeerPath> AsyncDispatcherCore::choosePeer(const RequestProfile &profile, const std::vector<InstanceId> &tried)
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.choosePeer(profile, tried);
}

void AsyncDispatcherCore::releasePeer(const InstanceId &peer)
{
    const std::scoped_lock lock(this->mutex);
    this->dispatcher.releasePeer(peer);
}

void AsyncDispatcherCore::recordPeerUnreachable(const InstanceId &peer, const RequestProfile &profile)
{
    const std::scoped_lock lock(this->mutex);
    this->dispatcher.recordPeerUnreachable(peer, profile);
}

bool AsyncDispatcherCore::isUnreachable(const RequestProfile &profile)
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.isUnreachable(profile);
}

std::size_t AsyncDispatcherCore::waitingCount() const
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.waitingCount();
}

std::size_t AsyncDispatcherCore::runningCount() const
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.runningCount();
}

std::size_t AsyncDispatcherCore::rateLimitedCount() const
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.rateLimitedCount();
}

std::vector<ColdServerStatus> AsyncDispatcherCore::coldServers() const
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.coldServers(RuntimeClock::now());
}

std::size_t AsyncDispatcherCore::quarantinedPromptPartCount() const
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.quarantinedPromptParts(RuntimeClock::now()).size();
}

} // namespace flamingosaddle
