#pragma once

#include <flamingosaddle/traffic/deadlineheap.h>
#include <flamingosaddle/traffic/dispatcher.h>
#include <flamingosaddle/traffic/peerpaths.h>
#include <flamingosaddle/traffic/policies.h>
#include <flamingosaddle/traffic/promptbacklog.h>
#include <flamingosaddle/traffic/promptquarantine.h>
#include <flamingosaddle/traffic/quarantine.h>
#include <flamingosaddle/traffic/ratelimits.h>
#include <flamingosaddle/traffic/requeststatistics.h>
#include <flamingosaddle/traffic/requesttable.h>
#include <flamingosaddle/traffic/resendlimit.h>
#include <flamingosaddle/traffic/reserve.h>
#include <flamingosaddle/traffic/retrybudget.h>

#include <map>
#include <random>

namespace flamingosaddle
{

/**
 * Implements Dispatcher; see there for the documentation of the public functions.
 */
class Dispatcher::Implementation
{
public:
    Implementation(const DispatcherOptions &options, DispatcherPolicies policies);

    // Commands.

    std::variant<Ticket, Refusal> submit(const RequestProfile &profile, TimePoint now);
    void dispatch(TimePoint now, Decisions &decisions);
    std::optional<ServerRateLimit> onResponseHead(Ticket ticket, std::optional<double> rateLimit, TimePoint now);
    std::optional<ServerRejectionLimit> onRejectionLimit(
        Ticket ticket, std::optional<std::uint32_t> rejectionsPerSecond, TimePoint now);
    bool onPauseRequested(Ticket ticket, Duration pause, TimePoint now);
    AttemptOutcome withoutRestart(Ticket ticket, AttemptOutcome outcome, TimePoint now);
    void requireVersion(Ticket ticket, const std::string &softwareVersion);
    bool tryResend(Ticket ticket, TimePoint now);
    void onFirstToken(Ticket ticket, TimePoint now);
    void onTokens(Ticket ticket, std::uint32_t count, TimePoint now);
    void finish(Ticket ticket, AttemptOutcome outcome, TimePoint now);
    std::optional<Refusal> retry(Ticket ticket, AttemptOutcome outcome, bool anyByteSent, TimePoint now);
    void cancel(Ticket ticket, TimePoint now);
    void setServers(const std::vector<BackendServer> &servers, TimePoint now);
    void drain(TimePoint end);
    void setExcluded(const DataCentre &dataCentre, bool excluded);
    void setEvacuated(const DataCentre &dataCentre, bool evacuated, TimePoint now);
    void onDataCentreReturned(const DataCentre &dataCentre, TimePoint now);
    void setRegions(const DataCentreRegions &regions);
    void applyPeerServedTokens(const ServedTokensReport &report);
    WaitForecast forecastOf(const RequestProfile &profile, TimePoint now);
    void forecastTierWaits(const ModelName &model, const ServiceName &service, TimePoint now, std::vector<TierWait> &waits);
    void takeServedTokens(std::vector<ServedTokensReport> &reports);
    void applyPeerWaitingTiers(const std::vector<WaitingTier> &waiting);
    bool applyPeerRateLimit(const ServerRateLimit &report, TimePoint now);
    void rateLimitReports(std::vector<ServerRateLimit> &reports, TimePoint now);
    void updateRateShares(TimePoint now);
    void updateRejectionShares(TimePoint now);
    void onServersConfirmed(TimePoint confirmedAt, TimePoint now);
    /** Updates which servers are treated as cold, and this instance's shares of these. */
    void updateColdServers(TimePoint now);
    bool applyPeerRejectionLimit(const TargetRejectionLimit &report, TimePoint now);
    std::vector<TargetRejectionLimit> rejectionLimitReports(TimePoint now) const;
    void applyPeerDeath(const ServerDeath &death, TimePoint now);
    void applyPeerPromptPart(const PromptPartChange &change, TimePoint now);
    void takePathChecks(TimePoint now, std::vector<PathCheck> &checks);
    void onPathCheck(const PathCheck &check, bool isReached, TimePoint now);
    void setPeerPaths(const DataCentre &ownDataCentre, std::vector<PeerPath> paths);
    bool isUnreachable(const RequestProfile &profile);

    PeerPaths peers;
    ServerPool pool;
    Selector selector;
    Quarantine quarantine;
    PromptQuarantine promptQuarantine;
    std::vector<PromptPartChange> promptPartChanges; // not taken yet
    std::vector<PathChange> pathChanges; // not taken yet
    std::vector<ServerDeath> deaths; // not taken yet
    RateLimits rateLimits;
    RejectionLimits rejectionLimits; // by target of the service
    ColdServers coldServers;
    std::vector<ColdServerChange> coldChanges; // not taken yet
    std::map<ServiceName, double> demands; // server time in milliseconds since the last report to peers
    std::vector<PromptPrefill> prefills; // newest prefills since the last report to peers
    SharingCount sharingCount; // instances that share limits common to all, including this one

    // Queries.

    std::size_t waitingCount() const
    {
        return this->queue.size() + this->parked.size();
    }

    std::size_t runningCount() const
    {
        return this->requests.size() - this->waitingCount();
    }

    std::vector<ColdServerStatus> coldServerStatuses(TimePoint now) const;
    std::vector<TargetName> unreachableTargets() const;
    void waitingTiers(std::vector<WaitingTier> &waiting) const;
    std::optional<TimePoint> nextWakeup() const;

    std::optional<TimePoint> nextPathCheck() const
    {
        return this->paths.nextCheck();
    }

private:
    static constexpr std::chrono::seconds otherInstanceRetryAfter{1}; // if other instances can serve the request
    static constexpr std::chrono::seconds noServerRetryAfter{5};

    // Class parameters that determine how requests are queued.
    struct ClassKey {
        ClassName name;
        int tier = 0;
        double floorShare = 0.0;
        bool cheapAllowed = true;

        friend bool operator==(const ClassKey &, const ClassKey &) = default;
    };

    struct ClassKeyHash {
        std::size_t operator()(const ClassKey &key) const noexcept;
    };

    // A tier of which requests have been seen.
    struct Tier {
        int tier = 0;
        std::chrono::milliseconds firstTokenTarget{0}; // of the latest request
    };

    void updateRateShare(const BackendServerId &server, TimePoint now);
    void updateRejectionShares(TargetIndex target, TimePoint now);
    /**
     * Without a share of any of the target's servers, leaves the target to peers, or, if none takes its requests, changes the
     * shares to one request at each server.
     */
    void leaveToPeers(TargetIndex target, std::vector<std::optional<RejectionShare>> &shares);
    /** Without a share of any of the target's servers, lets one be tried if what they stated is unconfirmed. */
    void tryOneServer(TargetIndex target, std::vector<std::optional<RejectionShare>> &shares, TimePoint now) const;
    /** Updates the shares of all rejection limits at intervals. */
    void refreshRejectionShares(TimePoint now);
    /** Lets a server be treated as cold until its entry, renewed since, says otherwise. */
    void suspectCold(ServerIndex server, ColdReason reason, TimePoint now);
    void updateColdServer(ServerIndex server, TimePoint now);
    /** Ends the cold times that are over and, at intervals, looks for entries that are too old. */
    void refreshColdServers(TimePoint now);
    ColdServerStatus coldStatus(ServerIndex server, TimePoint now) const;
    Refusal refuseWithoutServer(std::optional<TargetIndex> target) const;
    /** Returns why the target has no usable server. */
    RefusalReason noServerReason(TargetIndex target) const;
    /** Returns the target whose servers are those of @p target in the homes, or @p target itself without any. */
    TargetIndex withHomes(TargetIndex target, const Homes &homes);
    /** Starts waiting requests, tier by tier over all targets, if some of these share servers because of homes. */
    void startByTier(bool continuesStreams, TimePoint now, Decisions &decisions);
    /** Returns why the request must not run, or nothing if it may. */
    std::optional<RefusalReason> quarantineReason(
        std::uint64_t fingerprint, const std::vector<std::uint64_t> &promptParts, TimePoint now) const;
    void recordPromptPart(std::optional<PromptPartChange> change, bool isLocal);
    bool mustPark(std::uint64_t fingerprint, TimePoint now) const;
    void park(RequestIndex index);
    void releaseParked(TimePoint now);
    ResendLimit &resendLimit(TargetIndex target);
    /** Takes a resend to the servers of the target from the limit, if it has one left. */
    bool tryResend(TargetIndex target, TimePoint now);
    PromptBacklog &backlog(TargetIndex target);
    std::optional<Refusal> refuseByBacklog(const QueueEntry &entry, const RequestProfile &profile, TimePoint now);
    void recordTier(const RequestClass &requestClass);
    QueueEntry makeEntry(const RequestProfile &profile, TargetIndex target);
    ClassIndex internClass(const RequestClass &requestClass);
    QueueSnapshot tierSnapshot(TargetIndex target, int tier, TimePoint now);
    QueueSnapshot queueSnapshot(const QueueEntry &entry, TimePoint now);
    std::optional<Refusal> refuseByForecast(QueueEntry &entry, std::chrono::milliseconds firstTokenTarget, TimePoint now);
    bool evictIfFull(const QueueEntry &entry, TimePoint now);
    Ticket enqueue(const RequestProfile &profile, QueueEntry entry, TimePoint now);
    void addToQueue(RequestIndex index, TimePoint now);
    void removeFromQueue(RequestIndex index, bool started, TimePoint now);
    void reject(RequestIndex index, RefusalReason reason, TimePoint now);
    Refusal refusalFor(const RequestRecord &record, RefusalReason reason, TimePoint now) const;
    std::chrono::seconds retryAfterQuarantine(const std::vector<std::uint64_t> &promptParts, TimePoint now) const;
    /** Rejects the waiting requests whose deadlines have passed, or that this instance can no longer complete before it stops. */
    void rejectExpired(TimePoint now);
    /** Returns the last time at which a request of the class may start, if this instance is draining. */
    std::optional<TimePoint> latestStart(ClassIndex requestClass) const;
    /** Returns until when the request may wait for a server. */
    TimePoint waitLimit(const RequestRecord &record) const;
    void rejectUnservable(TimePoint now);
    /** Rejects the waiting requests whose servers are all paused until after their deadlines. */
    void rejectPaused(TimePoint now);
    bool isPausedPastDeadline(const RequestRecord &record) const;
    void rejectQuarantined(TimePoint now);
    Availability availability(TargetIndex target, TimePoint now);
    int lowestStartableTier(TargetIndex target, TimePoint now);
    /** Starts waiting requests of the target, of @p lowestTier or higher ones. */
    void startWaiting(TargetIndex target, int lowestTier, TimePoint now, Decisions &decisions);
    std::optional<RefusalReason> reasonNotToStart(const RequestRecord &record, TimePoint now) const;
    void start(RequestIndex index, ServerIndex server, TimePoint now, Decisions &decisions);
    void recordPrefill(const BackendServerId &server, std::uint64_t prefixHash);
    void endAttempt(RequestRecord &record, AttemptOutcome outcome, TimePoint now);
    void recordPathOutcome(const RequestRecord &record, AttemptOutcome outcome, TimePoint now);
    void recordServerOutcome(const RequestRecord &record, AttemptOutcome outcome, TimePoint now);
    // A death that may be the loss of the path to a server that lives.
    struct DisputedDeath {
        ServerDeath death;
        TimePoint diedAt;
        std::uint64_t serverStartedAt = 0; // see BackendServer::startedAt
    };

    // A death that counts if a check shows that the path to the servers was not at fault.
    struct UnconfirmedDeath {
        TargetIndex target = 0;
        std::uint64_t earlierCheck = 0; // the last check that had started before the death
        DisputedDeath seen;
        bool isCounted = false; // by the quarantine
    };

    void recordDeath(const RequestRecord &record, TimePoint now);
    void confirmDeath(ServerDeath death, TimePoint diedAt, TimePoint now);
    /**
     * Decides on the unconfirmed deaths of the target after a check of it has ended. If the check did not reach most servers,
     * either the path is lost or the request has crashed them, and the deaths are in dispute until the servers' entries change.
     */
    void decideDeaths(TargetIndex target, TimePoint now);
    void addDisputedDeath(DisputedDeath death);
    /** Confirms the disputed deaths of servers whose start is no longer in @p servers, which are about to replace the known ones.
     */
    void decideDisputedDeaths(const std::vector<BackendServer> &servers, TimePoint now);
    /** Clears a request and parts of prompts that have completed since of the disputed deaths. */
    void clearDisputedDeaths(std::uint64_t fingerprint, const std::vector<std::uint64_t> &promptParts);
    /** Lets the other targets be checked, since a cut often takes the paths to all servers, before requests find out. */
    void checkOtherTargets(TargetIndex target);
    TargetName nameOf(TargetIndex target) const;
    /** Returns whether a request for a target is not sent from here: it is unreachable, and a peer may serve the request. */
    bool isLeftToPeers(TargetIndex serviceTarget, bool isForwarded, const Homes &homes) const;
    bool isAnyLeftToPeers() const;
    /** Returns whether a request whose attempts are exhausted may be served by a peer, or by another one if it was forwarded. */
    bool mayForward(const RequestRecord &record) const;
    /** Rejects the waiting requests that are left to peers. */
    void rejectUnreachable(TimePoint now);
    /** Appends connections to a few servers of the target, if possible to those that have not failed recently. */
    void addPathChecks(TargetIndex target, TimePoint now, std::vector<PathCheck> &checks);
    std::optional<RefusalReason> reasonNotToRetry(const RequestRecord &record, AttemptOutcome outcome, TimePoint now);

    DispatcherOptions options;
    DispatcherPolicies policies;
    FairQueue queue;
    ServerPaths paths; // by target of the service
    std::mt19937_64 pathRandom;
    std::vector<TargetIndex> dueChecks; // a member to reuse its memory
    std::vector<ServerIndex> checkedServers; // a member to reuse its memory
    RequestStatistics statistics;
    RetryBudget retryBudget;
    std::vector<ResendLimit> resendLimits; // by target
    std::vector<PromptBacklog> backlogs; // by target
    std::map<TargetIndex, int> peerWaitingTiers; // highest tier by target; no entry if nothing waits
    RequestTable requests;
    DeadlineHeap waitLimits; // of queued and parked requests
    std::optional<TimePoint> drainEnd; // when this instance stops, if it is draining
    std::vector<Tier> tiers; // sorted, highest first
    Interner<ClientAccountId> accounts;
    Interner<ClassKey, ClassKeyHash> classes;
    ClassKey lookupKey; // a member to reuse its memory in look-ups
    TimePoint lastDispatch;
    std::vector<RequestIndex> parked; // suspects that wait until another run of them ends
    std::vector<Rejection> pendingRejections; // returned by the next dispatch()
    std::optional<TimePoint> rejectionSharesUpdatedAt; // since something changed, if ever
    std::set<TargetIndex> leftToPeers; // targets whose servers are divided among other instances
    TimePoint coldCheckedAt; // last updateColdServers()
    std::optional<TimePoint> coldSharesChangeAt; // without a change of the instances
    std::vector<ServerIndex> changedCold; // a member to reuse its memory
    bool serversChanged = false;
    bool pausesChanged = false;
    bool quarantinesChanged = false;
    bool pathsChanged = false;
    std::vector<UnconfirmedDeath> unconfirmedDeaths;
    std::vector<DisputedDeath> disputedDeaths; // oldest first
    std::optional<TimePoint>
        reserveRecheckAt; // when to check again whether lower tiers may use the slots left free for higher ones
};

} // namespace flamingosaddle
