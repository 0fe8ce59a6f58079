#pragma once

#include <flamingosaddle/state/promptread.h>
#include <flamingosaddle/state/servicedemand.h>
#include <flamingosaddle/state/waitingtier.h>
#include <flamingosaddle/traffic/resendlimit.h>
#include <flamingosaddle/traffic/types.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace flamingosaddle
{

struct DispatcherPolicies;
struct WaitForecast;

struct DispatcherOptions {
    std::size_t maxWaiting = 4096; ///< requests in the queue, all tiers together
    std::uint32_t retryPercent = 10; ///< retries as a percentage of a client account's successes
    std::uint32_t maxAttempts = 3; ///< for one request
    std::uint32_t quarantineDeaths = 2; ///< backend servers that one request may cost
    std::uint32_t reservePercent = 25; ///< of a target's slots at most that lower tiers leave free for higher ones
    /** Whether servers that were not reached count neither as attempts, but for a few of a request, nor as retries. */
    bool unsentIsFree = false;
    bool suspectsRunAlone = true; ///< whether a request that cost a server runs once at a time over all instances
    ResendLimitOptions resends; ///< on second sends of each service
    std::uint64_t seed = 1; ///< of random choices between servers

    friend bool operator==(const DispatcherOptions &, const DispatcherOptions &) = default;
};

/**
 * Decides which request runs where and when: admission, order of service, selection, retries and quarantine. Holds no
 * socket and no thread and takes the time as an argument; its owner serialises the calls.
 */
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);

    /** With rules that replace the usual ones, see policies.h. */
    Dispatcher(DispatcherOptions options, DispatcherPolicies policies);

    ~Dispatcher();
    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;

    // Commands.

    /** Replaces the set of backend servers. Requests that run on one that is gone or leaving stay until they finish. */
    void setServers(const std::vector<BackendServer> &servers, TimePoint now);

    /** Takes in a report of a server's load. */
    void report(const ServerReport &report);

    /**
     * Admits a request to the queue or refuses it at once. Other requests may have lost their place to it: dispatch()
     * has to follow.
     */
    std::variant<Ticket, Refusal> submit(const RequestProfile &profile, TimePoint now);

    /** Fills @p decisions, after clearing it, with what may start now and what is given up. */
    void dispatch(TimePoint now, Decisions &decisions);

    /** The first byte of the answer came. */
    void firstToken(Ticket ticket, TimePoint now);

    /** @p count more tokens of the answer came; charged to the client account. */
    void tokens(Ticket ticket, std::uint32_t count, TimePoint now);

    /** The attempt and with it the request ended. The ticket is then unknown. */
    void finish(Ticket ticket, AttemptEnd end, TimePoint now);

    /**
     * The attempt failed, and nothing was passed on to the caller or the stream can be resumed at its position: puts
     * the request back into the queue when it may run again, answers the refusal when it may not; the ticket is then
     * unknown. @p anyByteSent tells whether the backend server may have seen it.
     */
    std::optional<Refusal> retry(Ticket ticket, AttemptEnd end, bool anyByteSent, TimePoint now);

    /** A waiting request is no longer wanted. */
    void cancel(Ticket ticket, TimePoint now);

    /** A peer saw @p fingerprint running when a backend server died. */
    void noteDeath(std::uint64_t fingerprint, const BackendServerId &server, TimePoint now);

    /**
     * A peer runs, until @p until at the latest, a request of which a backend server died before. A time that is not in the
     * future tells that the request was answered: the server did not die of it.
     */
    void noteSuspect(std::uint64_t fingerprint, TimePoint until, TimePoint now);

    /** A peer served tokens to a client account since its last report. */
    void notePeerService(const ServiceReport &service);

    /** Fills @p services, after clearing it, with what was served here since the last call, for the peers. */
    void takeService(std::vector<ServiceReport> &services);

    /** A peer had the beginning of a prompt read at a server, which keeps it. */
    void notePeerRead(const PromptRead &read);

    /**
     * Fills @p reads, after clearing it, with the beginnings that requests from here had read since the last call, for the
     * peers; the newest ones when there were very many.
     */
    void takeReads(std::vector<PromptRead> &reads);

    /**
     * Fills @p demands, after clearing it, with the time of servers that requests with known prompts asked for here since the
     * last call, refused ones included.
     */
    void takeDemands(std::vector<ServiceDemand> &demands);

    /** What waits at the peers, instead of what the last call said: less urgent requests leave the servers to it. */
    void notePeersWaiting(const std::vector<WaitingTier> &waiting);

    /** The cheap backend servers of a data centre are being reclaimed: no new work goes to them. */
    void excludeDataCentre(const DataCentre &dataCentre, TimePoint now);

    /**
     * The number of instances that share the backend servers. Each may always use its even part of a server's slots,
     * however old the peers' reports are. 0, as at the start, keeps to the reports alone.
     */
    void setInstanceCount(std::uint32_t count);

    /** The cheap backend servers of a data centre may be used again. */
    void includeDataCentre(const DataCentre &dataCentre, TimePoint now);

    /**
     * The forecast for @p profile if it were submitted now; all 0 for an unknown target. Only an owner that hands
     * requests to peers (see Forwarder) has to ask.
     */
    WaitForecast forecast(const RequestProfile &profile, TimePoint now);

    /** Fills @p waits, after clearing it, with the wait of one more request of each tier at a target, for the peers. */
    void pressure(const ModelName &model, const ServiceName &service, TimePoint now, std::vector<TierWait> &waits);

    // Queries.

    std::size_t waitingCount() const;
    /** Fills @p waiting, after clearing it, with what found no room at the last dispatch(), for the peers. */
    void waitingTiers(std::vector<WaitingTier> &waiting) const;
    std::size_t runningCount() const;
    std::uint32_t inFlight(const BackendServerId &server) const;
    /** Tokens of this instance's prompts that the server has not read. */
    std::uint64_t unreadTokens(const BackendServerId &server) const;

    /**
     * When dispatch() has to be called again though nothing has happened: at the next deadline of a waiting request, or
     * soon when a lower tier leaves slots free for a higher one.
     */
    std::optional<TimePoint> nextWakeup() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace flamingosaddle
