#pragma once

#include <flamingosaddle/base/timer.h>
#include <flamingosaddle/relay/trafficgate.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <variant>
#include <vector>

namespace flamingosaddle
{

/**
 * A request that waits for its decision. The decision is written and read only on the executor of the request.
 */
struct TrafficWaiter {
    TrafficWaiter(const boost::asio::any_io_executor &executor, std::uint64_t fingerprint, TimePoint deadline)
        : executor(executor)
        , decided(executor, TimePoint::max())
        , fingerprint(fingerprint)
        , deadline(deadline)
    {
    }

    using Decision = std::variant<std::monostate, BackendServerId, Refusal>;

    boost::asio::any_io_executor executor;
    Timer decided; // never expires; cancelled once the decision is set
    Decision decision;
    bool suspect = false; // whether the upcoming run was reported to the peers
    std::uint64_t fingerprint;
    TimePoint deadline;
};

/**
 * The dispatcher, its lock and the waiting requests. Shared by AsyncDispatcher and the grants that it has issued.
 */
class TrafficGateCore : public std::enable_shared_from_this<TrafficGateCore>
{
public:
    TrafficGateCore(Dispatcher dispatcher, TrafficGateHooks hooks);

    // Commands; thread-safe.
    void update(const std::function<void(Dispatcher &dispatcher, TimePoint now)> &change);
    /** Submits a request, which may be decided immediately. Returns the ticket or the refusal. */
    std::variant<Ticket, Refusal> submit(const RequestProfile &profile, const std::shared_ptr<TrafficWaiter> &waiter);
    std::optional<Refusal> retry(Ticket ticket, AttemptEnd end, bool anyByteSent, const std::shared_ptr<TrafficWaiter> &waiter);
    void firstToken(Ticket ticket);
    void tokens(Ticket ticket, std::uint32_t count);
    void finish(Ticket ticket, AttemptEnd end);
    /** Reports that a suspect request completed. */
    void noteAnswered(std::uint64_t fingerprint);
    /** Reports that a server failed while it ran the request. */
    void noteDeath(std::uint64_t fingerprint, const BackendServerId &server);
    /** Waits for the decision. Cancels the request if the caller disconnects meanwhile. */
    boost::asio::awaitable<void> awaitDecision(Ticket ticket, std::shared_ptr<TrafficWaiter> waiter, CallerSignal &caller);
    /** Sets the function that schedules a call of wakeUp() at the given time. */
    void setWakeupRequest(std::function<void(TimePoint)> request);
    void wakeUp();

    // Queries; thread-safe.
    std::size_t waitingCount() const;
    std::size_t runningCount() const;

private:
    struct Delivery {
        std::shared_ptr<TrafficWaiter> waiter;
        TrafficWaiter::Decision decision;
        bool suspect = false;
    };

    void dispatchAndUnlock(std::unique_lock<std::mutex> &lock, const TrafficWaiter *own);
    std::vector<Delivery> collectDeliveries();
    void deliver(Delivery delivery, const TrafficWaiter *own);
    void cancelWaiting(Ticket ticket, TrafficWaiter &waiter);

    mutable std::mutex mutex; // guards all members below except the hooks
    Dispatcher dispatcher;
    Decisions decisions;
    std::unordered_map<Ticket, std::shared_ptr<TrafficWaiter>> waiters;
    std::function<void(TimePoint)> wakeupRequest;
    TimePoint requestedWakeup = TimePoint::max();
    const TrafficGateHooks hooks;
};

} // namespace flamingosaddle
