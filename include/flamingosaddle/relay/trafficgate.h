#pragma once

#include <flamingosaddle/relay/callersignal.h>
#include <flamingosaddle/traffic/dispatcher.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace flamingosaddle
{

class TrafficGateCore;

/**
 * What the dispatcher's decisions mean for other instances. The hooks run on the thread whose call led to the decision,
 * outside of the gate's lock.
 */
struct TrafficGateHooks {
    /** A backend server died while it ran the request of this fingerprint. */
    std::function<void(std::uint64_t fingerprint, const BackendServerId &server)> onDeath;
    /**
     * A request of which a backend server died before is about to run, until @p until at the latest; or, with a time that is
     * past, was answered.
     */
    std::function<void(std::uint64_t fingerprint, TimePoint until)> onSuspect;
};

/**
 * The permission to send one request to one backend server. An unfinished grant that is destroyed counts as CallerGone.
 * Used from the executor of the coroutine that acquired it.
 */
class TrafficGrant
{
public:
    TrafficGrant(std::shared_ptr<TrafficGateCore> core, Ticket ticket, BackendServerId server, const RequestProfile &profile,
        bool suspect = false);
    ~TrafficGrant();
    TrafficGrant(TrafficGrant &&other) noexcept;
    TrafficGrant &operator=(TrafficGrant &&) = delete;

    // Queries.
    const BackendServerId &server() const;
    bool isOpen() const; ///< whether finish() or a refused retry() has not ended it yet

    // Commands.
    void firstToken();
    void tokens(std::uint32_t count);
    void finish(AttemptEnd end);
    /**
     * Gives the server back after a failed attempt and waits for another one; server() then names it. Answers the refusal,
     * which ends the grant, when the request may not run again.
     */
    boost::asio::awaitable<std::optional<Refusal>> retry(AttemptEnd end, bool anyByteSent, CallerSignal &caller);

private:
    std::shared_ptr<TrafficGateCore> core;
    Ticket ticket;
    BackendServerId serverId;
    std::uint64_t fingerprint;
    TimePoint deadline;
    bool suspect = false; // whether the peers were told of the run
};

/**
 * The thread-safe owner of a Dispatcher: requests of all traffic threads wait here for their decision and are resumed on
 * their own executors. The lock is held for one decision at a time.
 */
class TrafficGate
{
public:
    using Answer = std::variant<TrafficGrant, Refusal>;

    /** @param executor runs the wake-ups for deadlines of waiting requests; its context outlives the gate */
    TrafficGate(Dispatcher dispatcher, const boost::asio::any_io_executor &executor, TrafficGateHooks hooks = {});
    ~TrafficGate();
    TrafficGate(const TrafficGate &) = delete;
    TrafficGate &operator=(const TrafficGate &) = delete;

    // Commands; any thread.

    /** Waits for a backend server. Ends with the refusal Cancelled when @p caller goes. */
    boost::asio::awaitable<Answer> acquire(RequestProfile profile, CallerSignal &caller);

    /** Changes the dispatcher under the lock, then dispatches. */
    void update(const std::function<void(Dispatcher &dispatcher, TimePoint now)> &change);
    void setServers(const std::vector<BackendServer> &servers);
    void report(const ServerReport &report);
    void noteDeath(std::uint64_t fingerprint, const BackendServerId &server);

    // Queries; any thread.
    std::size_t waitingCount() const;
    std::size_t runningCount() const;

private:
    class Wakeup;
    std::shared_ptr<TrafficGateCore> core;
    std::shared_ptr<Wakeup> wakeup;
};

} // namespace flamingosaddle
