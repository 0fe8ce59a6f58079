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
 * A request that waits for its decision. The decision is written and read on the executor of the request alone.
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
    Timer decided; // never expires; cancelled when the decision is there
    Decision decision;
    bool suspect = false; // whether the peers were told that the request is about to run
    std::uint64_t fingerprint;
    TimePoint deadline;
};

/**
 * The dispatcher, its lock and the requests that wait. Shared by the gate and the grants that it has given.
 */
class TrafficGateCore : public std::enable_shared_from_this<TrafficGateCore>
{
public:
    TrafficGateCore(Dispatcher dispatcher, TrafficGateHooks hooks);

    // Commands; any thread.
    void update(const std::function<void(Dispatcher &dispatcher, TimePoint now)> &change);
    /** Submits a request; the decision may be there at once. Answers the ticket, or the refusal. */
    std::variant<Ticket, Refusal> submit(const RequestProfile &profile, const std::shared_ptr<TrafficWaiter> &waiter);
    std::optional<Refusal> retry(Ticket ticket, AttemptEnd end, bool anyByteSent, const std::shared_ptr<TrafficWaiter> &waiter);
    void firstToken(Ticket ticket);
    void tokens(Ticket ticket, std::uint32_t count);
    void finish(Ticket ticket, AttemptEnd end);
    /** A suspect was answered. */
    void noteAnswered(std::uint64_t fingerprint);
    void noteDeath(std::uint64_t fingerprint, const BackendServerId &server);
    /** Waits for the decision. A caller that goes meanwhile cancels the request. */
    boost::asio::awaitable<void> awaitDecision(Ticket ticket, std::shared_ptr<TrafficWaiter> waiter, CallerSignal &caller);
    /** Sets the function that asks for a call of wakeUp() at a time. */
    void setWakeupRequest(std::function<void(TimePoint)> request);
    void wakeUp();

    // Queries; any thread.
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

    mutable std::mutex mutex; // guards everything below but the hooks
    Dispatcher dispatcher;
    Decisions decisions;
    std::unordered_map<Ticket, std::shared_ptr<TrafficWaiter>> waiters;
    std::function<void(TimePoint)> wakeupRequest;
    TimePoint requestedWakeup = TimePoint::max();
    const TrafficGateHooks hooks;
};

} // namespace flamingosaddle
