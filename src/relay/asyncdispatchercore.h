#pragma once

#include <flamingosaddle/base/timer.h>
#include <flamingosaddle/relay/asyncdispatcher.h>

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
struct WaitingRequest {
    WaitingRequest(const boost::asio::any_io_executor &executor, std::uint64_t fingerprint, TimePoint deadline)
        : executor(executor)
        , decisionReady(executor, TimePoint::max())
        , fingerprint(fingerprint)
        , deadline(deadline)
    {
    }

    using Decision = std::variant<std::monostate, BackendServerId, Refusal>;

    boost::asio::any_io_executor executor;
    Timer decisionReady; // never expires; cancelled once the decision is set
    Decision decision;
    bool suspect = false; // whether the upcoming run was reported to the peers
    std::uint64_t fingerprint;
    TimePoint deadline;
};

/**
 * The dispatcher, its lock and the waiting requests. Shared by AsyncDispatcher and the grants that it has issued.
 */
class AsyncDispatcherCore : public std::enable_shared_from_this<AsyncDispatcherCore>
{
public:
    AsyncDispatcherCore(Dispatcher dispatcher, AsyncDispatcherHooks hooks);

    // Commands; thread-safe.
    void update(const std::function<void(Dispatcher &dispatcher, TimePoint now)> &change);
    /** Submits a request, which may be decided immediately. Returns the ticket or the refusal. */
    std::variant<Ticket, Refusal> submit(const RequestProfile &profile, const std::shared_ptr<WaitingRequest> &waiter);
    std::optional<Refusal> retry(
        Ticket ticket, AttemptOutcome end, bool anyByteSent, const std::shared_ptr<WaitingRequest> &waiter);
    void recordRateLimit(Ticket ticket, std::optional<double> requestsPerSecond);
    void recordRejectionLimit(Ticket ticket, std::optional<std::uint32_t> rejectionsPerSecond);
    void pauseServer(Ticket ticket, const BackendServerId &server, Duration pause);
    AttemptOutcome withoutRestart(Ticket ticket, AttemptOutcome end);
    void requireVersion(Ticket ticket, const std::string &softwareVersion);
    bool tryResend(Ticket ticket);
    void recordFirstToken(Ticket ticket);
    void recordTokens(Ticket ticket, std::uint32_t count);
    void finish(Ticket ticket, AttemptOutcome end);
    std::optional<PeerPath> choosePeer(const RequestProfile &profile, const std::vector<InstanceId> &tried);
    void releasePeer(const InstanceId &peer);
    void recordPeerUnreachable(const InstanceId &peer, const RequestProfile &profile);
    /** Reports that a suspect request completed. */
    void notifyCompleted(std::uint64_t fingerprint);
    /** Waits for the decision. Cancels the request if the caller disconnects meanwhile. */
    boost::asio::awaitable<void> awaitDecision(Ticket ticket, std::shared_ptr<WaitingRequest> waiter, DisconnectSignal &caller);
    /** Sets the function that schedules a call of wakeUp() at the given time. */
    void setWakeupHook(std::function<void(TimePoint)> request);
    void wakeUp();

    // Queries; thread-safe.
    bool isUnreachable(const RequestProfile &profile);
    std::size_t waitingCount() const;
    std::size_t runningCount() const;
    std::size_t rateLimitedCount() const;
    std::vector<ColdServerStatus> coldServers() const;
    std::size_t quarantinedPromptPartCount() const;

private:
    struct Delivery {
        std::shared_ptr<WaitingRequest> waiter;
        WaitingRequest::Decision decision;
        bool suspect = false;
    };

    void dispatchAndUnlock(std::unique_lock<std::mutex> &lock, const WaitingRequest *own);
    std::vector<Delivery> collectDeliveries();
    void deliver(Delivery delivery, const WaitingRequest *own);
    void cancelWaiting(Ticket ticket, WaitingRequest &waiter);

    mutable std::mutex mutex; // guards all members below except the hooks
    Dispatcher dispatcher;
    Decisions decisions;
    std::vector<PathCheck> pathChecks; // a member to reuse its memory
    std::unordered_map<Ticket, std::shared_ptr<WaitingRequest>> waiters;
    std::function<void(TimePoint)> wakeupHook;
    TimePoint requestedWakeup = TimePoint::max();
    const AsyncDispatcherHooks hooks;
};

} // namespace flamingosaddle
