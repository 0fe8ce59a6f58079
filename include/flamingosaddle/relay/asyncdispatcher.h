#pragma once

#include <flamingosaddle/relay/disconnectsignal.h>
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

class AsyncDispatcherCore;

/**
 * Callbacks for decisions that other instances have to know. The hooks run on the thread whose call led to the decision,
 * without the dispatcher's lock.
 */
struct AsyncDispatcherHooks {
    /** A backend server died while it ran a request. */
    std::function<void(const ServerDeath &death)> onServerDeath;
    /**
     * A request that ran when a backend server failed is about to run again, until @p until at the latest. A time in the past
     * reports that the request completed.
     */
    std::function<void(std::uint64_t fingerprint, TimePoint until)> onSuspectRequest;
    /** A response has changed the known rate limit of a backend server. */
    std::function<void(const ServerRateLimit &limit)> onRateLimitChange;
    /** A part of prompts was quarantined or cleared, here or at a peer. */
    std::function<void(const PromptPartChange &change)> onPromptPartChange;
    /** A backend server has asked for no requests for @p pause. */
    std::function<void(const BackendServerId &server, Duration pause)> onServerPaused;
    /** A response has changed the known limit of a backend server on its rejections. */
    std::function<void(const ServerRejectionLimit &limit)> onRejectionLimitChange{};
    /** Connections have to be opened, see Dispatcher::takePathChecks(). */
    std::function<void(const std::vector<PathCheck> &checks)> onPathChecks{};
    /** The path to the servers of a target was lost or found again. */
    std::function<void(const PathChange &change)> onPathChange{};
    /** A backend server turned cold or warm. */
    std::function<void(const ColdServerChange &change)> onColdServerChange{};
};

/**
 * Permission to send one request to one backend server. Destroying a grant that is still open finishes it as CallerDisconnected.
 * Used from the executor of the coroutine that acquired it.
 */
class ServerGrant
{
public:
    ServerGrant(std::shared_ptr<AsyncDispatcherCore> core, Ticket ticket, BackendServerId server, const RequestProfile &profile,
        bool suspect = false);
    ~ServerGrant();
    ServerGrant(ServerGrant &&other) noexcept;
    ServerGrant &operator=(ServerGrant &&) = delete;

    // Queries.
    const BackendServerId &server() const;
    bool isOpen() const; ///< whether neither finish() nor a refused retry() has ended it

    // Commands.
    /** Records the rate limit that the server stated in the head of its response, or that it stated none. */
    void recordRateLimit(std::optional<double> requestsPerSecond);
    /** Records the limit on rejections that the server stated in the head of its response, or that it stated none. */
    void recordRejectionLimit(std::optional<std::uint32_t> rejectionsPerSecond);
    /** Sends no requests to the server for @p pause, as it asked in the head of its response. */
    void pauseServer(Duration pause);
    /** Lets retry() wait only for servers with the software version, because the caller has a part of a stream of theirs. */
    void requireVersion(const std::string &softwareVersion);
    /** Takes one more sending of the request to its server from the limit on resends. Returns false if none is left. */
    bool tryResend();
    void recordFirstToken();
    void recordTokens(std::uint32_t count);
    void finish(AttemptOutcome end);
    /**
     * Releases the server after a failed attempt and waits for another one, which server() then returns. If the request may
     * not be retried, returns the refusal and ends the grant.
     */
    boost::asio::awaitable<std::optional<Refusal>> retry(AttemptOutcome end, bool anyByteSent, DisconnectSignal &caller);

private:
    std::shared_ptr<AsyncDispatcherCore> core;
    Ticket ticket;
    BackendServerId serverId;
    std::uint64_t fingerprint;
    TimePoint deadline;
    bool suspect = false; // whether the run was reported to the peers
};

/**
 * Thread-safe asynchronous interface of a Dispatcher. Requests of all traffic threads wait for their assignment and are
 * resumed on their own executors. The lock is held for one decision at a time.
 */
class AsyncDispatcher
{
public:
    using AcquireResult = std::variant<ServerGrant, Refusal>;

    /** @param executor runs the timer for deadlines of waiting requests; its context must outlive the dispatcher */
    AsyncDispatcher(Dispatcher dispatcher, const boost::asio::any_io_executor &executor, AsyncDispatcherHooks hooks = {});
    ~AsyncDispatcher();
    AsyncDispatcher(const AsyncDispatcher &) = delete;
    AsyncDispatcher &operator=(const AsyncDispatcher &) = delete;

    // Commands; thread-safe.

    /** Waits for a backend server. Returns the refusal Cancelled when the caller disconnects. */
    boost::asio::awaitable<AcquireResult> acquire(RequestProfile profile, DisconnectSignal &caller);

    /** Applies a change to the dispatcher under the lock, then dispatches waiting requests. */
    void update(const std::function<void(Dispatcher &dispatcher, TimePoint now)> &change);
    void setServers(const std::vector<BackendServer> &servers);
    void applyReport(const ServerLoadReport &report);
    /** These call the functions of Dispatcher with the same names, without dispatching waiting requests. */
    std::optional<PeerPath> choosePeer(const RequestProfile &profile, const std::vector<InstanceId> &tried);
    void releasePeer(const InstanceId &peer);
    void recordPeerUnreachable(const InstanceId &peer, const RequestProfile &profile);

    // Queries; thread-safe.
    bool isUnreachable(const RequestProfile &profile) const;
    std::size_t waitingCount() const;
    std::size_t runningCount() const;
    std::size_t rateLimitedCount() const;
    std::vector<ColdServerStatus> coldServers() const;
    std::size_t quarantinedPromptPartCount() const;

private:
    class WakeupTimer;
    std::shared_ptr<AsyncDispatcherCore> core;
    std::shared_ptr<WakeupTimer> wakeupTimer;
};

} // namespace flamingosaddle
