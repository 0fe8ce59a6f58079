#include "trafficgatecore.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

TrafficGateCore::TrafficGateCore(Dispatcher dispatcher, TrafficGateHooks hooks)
    : dispatcher(std::move(dispatcher))
    , hooks(std::move(hooks))
{
}

void TrafficGateCore::update(const std::function<void(Dispatcher &dispatcher, TimePoint now)> &change)
{
    std::unique_lock lock(this->mutex);
    change(this->dispatcher, RuntimeClock::now());
    this->dispatchAndUnlock(lock, nullptr);
}

std::variant<Ticket, Refusal> TrafficGateCore::submit(const RequestProfile &profile, const std::shared_ptr<TrafficWaiter> &waiter)
{
    std::unique_lock lock(this->mutex);
    const std::variant<Ticket, Refusal> submitted = this->dispatcher.submit(profile, RuntimeClock::now());
    if (const Ticket *ticket = std::get_if<Ticket>(&submitted)) {
        this->waiters.emplace(*ticket, waiter);
    }
    this->dispatchAndUnlock(lock, waiter.get());
    return submitted;
}

std::optional<Refusal> TrafficGateCore::retry(
    Ticket ticket, AttemptEnd end, bool anyByteSent, const std::shared_ptr<TrafficWaiter> &waiter)
{
    std::unique_lock lock(this->mutex);
    const std::optional<Refusal> refusal = this->dispatcher.retry(ticket, end, anyByteSent, RuntimeClock::now());
    if (!refusal.has_value()) {
        this->waiters.emplace(ticket, waiter);
    }
    this->dispatchAndUnlock(lock, waiter.get());
    return refusal;
}

void TrafficGateCore::firstToken(Ticket ticket)
{
    // The completed prefill may free capacity for another prompt.
    std::unique_lock lock(this->mutex);
    this->dispatcher.firstToken(ticket, RuntimeClock::now());
    this->dispatchAndUnlock(lock, nullptr);
}

void TrafficGateCore::tokens(Ticket ticket, std::uint32_t count)
{
    const std::scoped_lock lock(this->mutex);
    this->dispatcher.tokens(ticket, count, RuntimeClock::now());
}

void TrafficGateCore::finish(Ticket ticket, AttemptEnd end)
{
    std::unique_lock lock(this->mutex);
    this->dispatcher.finish(ticket, end, RuntimeClock::now());
    this->dispatchAndUnlock(lock, nullptr);
}

void TrafficGateCore::noteDeath(std::uint64_t fingerprint, const BackendServerId &server)
{
    if (this->hooks.onDeath) {
        this->hooks.onDeath(fingerprint, server);
    }
}

void TrafficGateCore::noteAnswered(std::uint64_t fingerprint)
{
    if (this->hooks.onSuspect) {
        this->hooks.onSuspect(fingerprint, TimePoint());
    }
}

asio::awaitable<void> TrafficGateCore::awaitDecision(Ticket ticket, std::shared_ptr<TrafficWaiter> waiter, CallerSignal &caller)
{
    const CallerSignal::Listener listener(caller, [this, ticket, &waiter]() {
        this->cancelWaiting(ticket, *waiter);
    });
    if (caller.isGone()) {
        this->cancelWaiting(ticket, *waiter);
    }
    while (std::holds_alternative<std::monostate>(waiter->decision)) {
        boost::system::error_code ignored;
        co_await waiter->decided.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void TrafficGateCore::cancelWaiting(Ticket ticket, TrafficWaiter &waiter)
{
    std::unique_lock lock(this->mutex);
    if (this->waiters.erase(ticket) == 0) {
        // The decision was already made and is being delivered.
        return;
    }
    this->dispatcher.cancel(ticket, RuntimeClock::now());
    waiter.decision = Refusal{RefusalReason::Cancelled, RunState::Unknown, std::chrono::seconds(0)};
    waiter.decided.cancel();
    this->dispatchAndUnlock(lock, nullptr);
}

void TrafficGateCore::setWakeupRequest(std::function<void(TimePoint)> request)
{
    const std::scoped_lock lock(this->mutex);
    this->wakeupRequest = std::move(request);
}

void TrafficGateCore::wakeUp()
{
    std::unique_lock lock(this->mutex);
    this->requestedWakeup = TimePoint::max();
    this->dispatchAndUnlock(lock, nullptr);
}

void TrafficGateCore::dispatchAndUnlock(std::unique_lock<std::mutex> &lock, const TrafficWaiter *own)
{
    this->dispatcher.dispatch(RuntimeClock::now(), this->decisions);
    std::vector<Delivery> deliveries = this->collectDeliveries();
    const TimePoint next = this->dispatcher.nextWakeup().value_or(TimePoint::max());
    if (next < this->requestedWakeup && this->wakeupRequest) {
        this->requestedWakeup = next;
        this->wakeupRequest(next);
    }
    lock.unlock();
    for (Delivery &delivery : deliveries) {
        this->deliver(std::move(delivery), own);
    }
}

std::vector<TrafficGateCore::Delivery> TrafficGateCore::collectDeliveries()
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

void TrafficGateCore::deliver(Delivery delivery, const TrafficWaiter *own)
{
    TrafficWaiter &waiter = *delivery.waiter;
    waiter.suspect = delivery.suspect;
    if (delivery.suspect && this->hooks.onSuspect) {
        this->hooks.onSuspect(waiter.fingerprint, waiter.deadline);
    }
    if (&waiter == own) {
        waiter.decision = std::move(delivery.decision);
        return;
    }
    asio::post(waiter.executor, [waiter = std::move(delivery.waiter), decision = std::move(delivery.decision)]() mutable {
        waiter->decision = std::move(decision);
        waiter->decided.cancel();
    });
}

std::size_t TrafficGateCore::waitingCount() const
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.waitingCount();
}

std::size_t TrafficGateCore::runningCount() const
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.runningCount();
}

} // namespace flamingosaddle
