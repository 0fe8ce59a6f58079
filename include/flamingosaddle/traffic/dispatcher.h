#pragma once

#include <flamingosaddle/state/peerpath.h>
#include <flamingosaddle/state/promptprefill.h>
#include <flamingosaddle/state/servicedemand.h>
#include <flamingosaddle/state/waitingtier.h>
#include <flamingosaddle/traffic/coldservers.h>
#include <flamingosaddle/traffic/distancecost.h>
#include <flamingosaddle/traffic/quarantine.h>
#include <flamingosaddle/traffic/resendlimit.h>
#include <flamingosaddle/traffic/serverpaths.h>
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
    std::size_t maxWaiting = 4096; ///< maximum queued requests over all tiers
    std::uint32_t retryPercent = 10; ///< retries as a percentage of a client account's successes
    std::uint32_t maxAttempts = 3; ///< maximum attempts per request
    std::uint32_t quarantineDeaths = 2; ///< deaths of backend servers after which a request is quarantined
    std::uint32_t reservePercent = 25; ///< maximum percentage of a target's slots that lower tiers leave free for higher ones
    /**
     * Whether attempts that never reached a server are exempt from the retry budget and, up to a few per request, from the
     * attempt limit.
     */
    bool exemptUnsentAttempts = false;
    /**
     * Whether a backend server that closed a connection counts as dead only once a check has shown that this instance reaches
     * other servers. Requires that the owner runs the checks, see takePathChecks().
     */
    bool confirmDeathsByPathCheck = false;
    /** Time for which a death that the check has not confirmed may be confirmed by the server's entry, see entryRemovalTime(). */
    Duration disputeTime = std::chrono::seconds(10);
    bool serializeSuspects = true; ///< whether a request suspected of killing a server runs one at a time over all instances
    ResendLimitOptions resendLimit; ///< limit on resends, applied to each service
    ColdServerOptions coldServers; ///< what cold servers bear beyond what they state
    std::uint64_t seed = 1; ///< seed for random choices between servers
    DataCentre dataCentre; ///< data centre that this instance stands in; if empty, servers are chosen regardless of theirs
    DistanceCost distanceCost; ///< cost of servers in other data centres; if zero, servers are chosen regardless of theirs

    friend bool operator==(const DispatcherOptions &, const DispatcherOptions &) = default;
};

/**
 * Decides which request runs where and when: admission, order of service, server selection, retries and quarantine. It uses no
 * sockets or threads and takes the time as an argument. Calls must be serialised by the owner.
 */
class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherOptions &options);

    /** Creates a dispatcher with policies that replace the default rules, see policies.h. */
    Dispatcher(const DispatcherOptions &options, DispatcherPolicies policies);

    ~Dispatcher();
    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;

    // Commands.

    /** Replaces the set of backend servers. Requests running on a removed or leaving server continue until they finish. */
    void setServers(const std::vector<BackendServer> &servers, TimePoint now);

    /**
     * Announces that this instance stops at @p end. From now on a request is refused as Draining as soon as it is unlikely to
     * complete by then, so that other instances can serve it.
     */
    void drain(TimePoint end);

    /** Applies a load report of a backend server. */
    void applyLoadReport(const ServerLoadReport &report);

    /**
     * Queues a request or refuses it immediately. Submitting may evict other requests, so dispatch() must be called afterwards.
     */
    std::variant<Ticket, Refusal> submit(const RequestProfile &profile, TimePoint now);

    /** Replaces the contents of @p decisions with the requests that may start now and the waiting ones that are rejected. */
    void dispatch(TimePoint now, Decisions &decisions);

    /**
     * Handles the head of the response, in which the backend server states its rate limit, if it has one. Returns the limit if it
     * differs from the known one.
     */
    std::optional<ServerRateLimit> onResponseHead(Ticket ticket, std::optional<double> rateLimit, TimePoint now);

    /**
     * Handles the head of a response, in which the backend server states its limit on rejections, if it has one. Returns the
     * limit if it differs from the known one.
     */
    std::optional<ServerRejectionLimit> onRejectionLimit(
        Ticket ticket, std::optional<std::uint32_t> rejectionsPerSecond, TimePoint now);

    /** Applies a peer's report of a limit on rejections. Returns whether the target had none before. */
    bool applyPeerRejectionLimit(const TargetRejectionLimit &report, TimePoint now);

    /** Returns the limits on rejections that this instance has read in responses, to be sent to peers. */
    std::vector<TargetRejectionLimit> rejectionLimitReports(TimePoint now) const;

    /**
     * Handles a rejection by which the backend server asks for no further requests for @p pause. Returns whether the pause
     * begins.
     */
    bool onPauseRequested(Ticket ticket, Duration pause, TimePoint now);

    /**
     * Returns @p outcome, but ServerError for a ServerFailed of a request that started after the server's last death, while the
     * server may still restart: the restart, and not the request, is the cause of the failure.
     */
    AttemptOutcome withoutRestart(Ticket ticket, AttemptOutcome outcome, TimePoint now);

    /**
     * Lets the request be retried only on servers with the software version, because it continues a stream that one of them
     * began.
     */
    void requireVersion(Ticket ticket, const std::string &softwareVersion);

    /**
     * Takes one more sending of a running request, to the server that it was assigned to, from the limit on resends. Returns
     * false if none is left; the request must not be sent again then.
     */
    bool tryResend(Ticket ticket, TimePoint now);

    /** Handles the first byte of the response. */
    void onFirstToken(Ticket ticket, TimePoint now);

    /** Handles @p count further tokens of the response and charges them to the client account. */
    void onTokens(Ticket ticket, std::uint32_t count, TimePoint now);

    /** Ends the attempt and its request, and invalidates the ticket. */
    void finish(Ticket ticket, AttemptOutcome outcome, TimePoint now);

    /**
     * Ends a failed attempt of which nothing was passed on to the caller, or whose stream can be resumed at its position. Queues
     * the request again if it may be retried. Otherwise returns the refusal and invalidates the ticket. @p anyByteSent tells
     * whether the backend server may have seen the request.
     */
    std::optional<Refusal> retry(Ticket ticket, AttemptOutcome outcome, bool anyByteSent, TimePoint now);

    /** Removes a waiting request that is no longer wanted. */
    void cancel(Ticket ticket, TimePoint now);

    /**
     * Replaces the contents of @p checks with connections that must be opened now to find out whether this instance still reaches
     * the servers of a target, see ServerPaths.
     */
    void takePathChecks(TimePoint now, std::vector<PathCheck> &checks);

    /** Handles the result of one of these connections. */
    void onPathCheck(const PathCheck &check, bool isReached, TimePoint now);

    /**
     * Replaces what is known of the peers that take forwarded requests. Requests for a target that this instance does not reach,
     * or has no share of, but a peer does, are refused as Unreachable, so that their owner forwards them; see choosePeer().
     */
    void setPeerPaths(const DataCentre &ownDataCentre, std::vector<PeerPath> peers);

    /** Returns the peer to forward a request to, other than those in @p tried, see PeerPaths. Must be followed by releasePeer().
     */
    std::optional<PeerPath> choosePeer(const RequestProfile &profile, const std::vector<InstanceId> &tried);

    /** Records that a forwarded request has ended. */
    void releasePeer(const InstanceId &peer);

    /** Records that a peer did not take a forwarded request, because it does not reach the servers either. */
    void recordPeerUnreachable(const InstanceId &peer, const RequestProfile &profile);

    /** Returns the deaths of backend servers that were found since the last call, to be sent to peers. */
    std::vector<ServerDeath> takeDeaths();

    /** Returns the targets that became unreachable or reachable since the last call. */
    std::vector<PathChange> takePathChanges();

    /** Applies a peer's report that a backend server died while it ran a request. */
    void applyPeerDeath(const ServerDeath &death, TimePoint now);

    /** Applies a peer's quarantine or clearance of a part of prompts. */
    void applyPeerPromptPart(const PromptPartChange &change, TimePoint now);

    /** Returns what was decided about parts of prompts since the last call. */
    std::vector<PromptPartChange> takePromptPartChanges();

    /**
     * Applies a peer's report that it runs a suspect, a request during which a backend server died, until @p until at the latest.
     * If @p until is not in the future, the request has completed, which clears it of suspicion.
     */
    void applyPeerSuspect(std::uint64_t fingerprint, TimePoint until, TimePoint now);

    /** Applies a peer's count of the backend servers that died while they ran @p fingerprint. */
    void applyPeerDeathCount(const DeathCount &count, TimePoint now);

    /** Applies a peer's report of the tokens served to a client account since its last report. */
    void applyPeerServedTokens(const ServedTokensReport &report);

    /** Replaces the contents of @p reports with the tokens served by this instance since the last call, to be sent to peers. */
    void takeServedTokens(std::vector<ServedTokensReport> &reports);

    /** Applies a peer's report that a server has processed, and therefore caches, a prompt prefix. */
    void applyPeerPrefill(const PromptPrefill &prefill);

    /**
     * Replaces the contents of @p prefills with the prefixes processed for this instance since the last call, to be sent to
     * peers. If there were too many, only the newest are returned.
     */
    void takePrefills(std::vector<PromptPrefill> &prefills);

    /**
     * Replaces the contents of @p demands with the server time demanded of this instance since the last call by requests whose
     * prompt length is known, including refused ones.
     */
    void takeDemands(std::vector<ServiceDemand> &demands);

    /** Applies the rate limit of a backend server that a peer reports. Returns whether the known limit changed. */
    bool applyPeerRateLimit(const ServerRateLimit &report, TimePoint now);

    /**
     * Replaces the contents of @p reports with the rate limits that this instance was the last to read in a response, to be sent
     * to peers.
     */
    void rateLimitReports(std::vector<ServerRateLimit> &reports, TimePoint now);

    /**
     * Sets the instances that share the limits common to all, which are the backend servers' rate limits, what cold servers bear
     * and the allowance for resends: this one and the peers that may be sending requests.
     */
    void setInstances(const InstanceId &self, const std::vector<InstanceId> &peers, TimePoint now);

    /** Handles that the servers passed to setServers() are those of @p confirmedAt. */
    void onServersConfirmed(TimePoint confirmedAt, TimePoint now);

    /**
     * Handles the return of a data centre that was evacuated: its servers are treated as cold until entries that were written
     * since say otherwise.
     */
    void onDataCentreReturned(const DataCentre &dataCentre, TimePoint now);

    /** Returns the servers that turned cold or warm since the last call. */
    std::vector<ColdServerChange> takeColdChanges();

    /** Replaces what is known of the requests waiting at peers. Lower tiers leave their servers to those requests. */
    void applyPeerWaitingTiers(const std::vector<WaitingTier> &waiting);

    /** Stops sending work to the cheap servers of a data centre, which are being reclaimed. */
    void excludeDataCentre(const DataCentre &dataCentre, TimePoint now);

    /**
     * Sends no new request to the backend servers of a data centre, or does so again. Requests that run there continue, and those
     * that only servers there could take are refused as DataCentreEvacuated.
     */
    void setEvacuated(const DataCentre &dataCentre, bool evacuated, TimePoint now);

    /** Sets the region of each data centre. Requests with homes are served and forwarded only in data centres of these regions.
     */
    void setRegions(const DataCentreRegions &regions);

    /**
     * Sets the number of instances that share the backend servers. Each instance may always use an even share of a server's
     * slots, however old its peers' reports are. With 0, the initial value, only the reports count.
     */
    void setInstanceCount(std::uint32_t count);

    /** Allows the cheap servers of a data centre to be used again. */
    void includeDataCentre(const DataCentre &dataCentre, TimePoint now);

    /**
     * Returns the forecast for @p profile if it were submitted now, or zeros for an unknown target. Only needed by an owner that
     * forwards requests to peers (see Forwarder).
     */
    WaitForecast forecast(const RequestProfile &profile, TimePoint now);

    /**
     * Replaces the contents of @p waits with the forecast wait of one more request of each tier at a target, to be sent to peers.
     */
    void forecastTierWaits(const ModelName &model, const ServiceName &service, TimePoint now, std::vector<TierWait> &waits);

    // Queries.

    /** Returns the counts of deaths to be sent to a peer that may have missed them, at most @p most. */
    std::vector<DeathCount> deathCounts(std::size_t most, TimePoint now) const;

    /** Returns the quarantined parts of prompts. */
    std::vector<PromptPartChange> quarantinedPromptParts(TimePoint now) const;
    /** Returns whether submit() would refuse the request as Unreachable. */
    bool isUnreachable(const RequestProfile &profile);
    /** Returns the targets whose servers this instance does not reach or leaves to its peers. */
    std::vector<TargetName> unreachableTargets() const;
    std::size_t waitingCount() const;
    /** Replaces the contents of @p waiting with the requests that the last dispatch() left waiting, to be sent to peers. */
    void waitingTiers(std::vector<WaitingTier> &waiting) const;
    std::size_t runningCount() const;
    /** Returns the number of backend servers that are known to have a rate limit. */
    std::size_t rateLimitedCount() const;
    /** Returns the number of backend servers that are treated as cold. */
    std::size_t coldCount() const;
    std::vector<ColdServerStatus> coldServers(TimePoint now) const;
    std::uint32_t inFlight(const BackendServerId &server) const;
    /** Returns the tokens of this instance's prompts that the server has not processed yet. */
    std::uint64_t backlogTokens(const BackendServerId &server) const;

    /**
     * Returns when dispatch() must be called even if no event occurs: at the earliest deadline of a waiting request, or soon if a
     * suspect waits or if lower tiers leave slots free for higher ones.
     */
    std::optional<TimePoint> nextWakeup() const;

    /** Returns when takePathChecks() must be called even if no event occurs. */
    std::optional<TimePoint> nextPathCheck() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace flamingosaddle
