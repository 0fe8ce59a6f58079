#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/traffic/coldservers.h>
#include <flamingosaddle/traffic/fairqueue.h>
#include <flamingosaddle/traffic/interner.h>
#include <flamingosaddle/traffic/movingaverage.h>
#include <flamingosaddle/traffic/ratelimits.h>
#include <flamingosaddle/traffic/rejectionlimits.h>
#include <flamingosaddle/traffic/tokenbucket.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace flamingosaddle
{

using ServerIndex = std::uint32_t;
using DataCentreIndex = std::uint32_t; ///< dense index of a data centre

constexpr ServerIndex noServer = std::numeric_limits<ServerIndex>::max();

/**
 * A server's entry in one of its targets.
 */
struct TargetMembership {
    TargetIndex target = 0;
    std::uint32_t position = 0; ///< index among the target's candidates
    std::uint32_t inFlight = 0; ///< requests of the target that this instance runs on the server
};

/**
 * What is known of a backend server that bears few requests while it is cold.
 */
struct ColdState {
    double requestsPerSecond = 0.0; ///< that it bears from all instances while it is cold
    TimePoint statedUntil; ///< end of its cold time as its entry states it; in the past if it is warm
    std::optional<ColdReason> suspicion; ///< why it may have turned cold since its entry was written, if it may
    TimePoint suspectedUntil; ///< entries that are known as of then answer the suspicion
    std::optional<ColdReason> reason; ///< why it is treated as cold; empty if it is warm
    std::uint32_t share = 0; ///< requests that this instance may start in ColdServers::window while it is cold
    RecentStarts starts; ///< also kept while it is warm, for the time after it turns cold

    /** Returns how many requests this instance may start now. */
    std::uint32_t startsLeft() const
    {
        return this->reason.has_value() ? this->starts.left(this->share) : std::numeric_limits<std::uint32_t>::max();
    }
};

/**
 * State of one backend server, as used by the selection.
 */
struct ServerState {
    BackendServerId id;
    std::uint64_t nameHash = 0;
    DataCentreIndex dataCentre = 0;
    std::uint32_t slots = 0;
    bool cheap = false;
    bool present = false; ///< whether the server is in the configuration
    std::string softwareVersion;
    std::uint64_t startedAt = 0; ///< see BackendServer
    bool leaving = false;
    bool missing = false; ///< whether the server may be gone
    std::uint32_t inFlight = 0; ///< requests that this instance runs on the server
    std::uint32_t peersInFlight = 0;
    std::uint64_t reportedTokens = 0; ///< waiting tokens as reported by the engine, with a lag
    TimePoint reportedAt;
    double localTokens = 0.0; ///< expected remaining tokens of the requests that this instance runs on the server
    MovingAverage firstTokenSeconds{0.2};
    MovingAverage interTokenSeconds{0.2};
    MovingAverage prefillSlowdown{0.2}; ///< ratio of the actual to the expected prefill time
    TimePoint measuredAt;
    Duration probeDelay = std::chrono::seconds(0); ///< time until a straggler is tried again
    double slowdown = 1.0; ///< ratio to the median of the servers of its targets, at least 1
    std::uint32_t consecutiveFailures = 0; ///< failures since the last success
    TimePoint backoffUntil;
    std::optional<TimePoint> diedAt; ///< time of its last death, until it completes a request
    std::optional<TimePoint> pausedUntil; ///< the server asked for no requests until then
    std::optional<RejectionShare> rejectionShare; ///< if the server fails after too many rejections
    std::deque<TimePoint>
        recentStarts; ///< of requests that may still be rejected, oldest first; kept with a rejection share only
    std::optional<TokenBucket> rateLimit; ///< this instance's share of the server's rate limit, if it has one
    std::optional<ColdState> cold; ///< if the server bears few requests while it is cold
    std::vector<TargetMembership> memberships;
};

/**
 * A usable backend server of one target.
 */
struct Candidate {
    ServerIndex server = noServer;
    std::uint64_t nameHash = 0;
    std::uint32_t freePosition = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t freeSlots = 0;
};

/**
 * What the rate-limited and the cold servers of a target contribute to its capacity.
 */
struct RateLimitedCapacity {
    double startsPerSecond = 0.0; ///< this instance's share of the limits
    std::uint32_t localInFlight = 0; ///< requests of the target that this instance runs on these servers
    std::uint32_t freeSlots = 0;

    friend bool operator==(const RateLimitedCapacity &, const RateLimitedCapacity &) = default;
};

/**
 * The backend servers with their load, and the free slots of each target.
 *
 * A server is usable if it is configured, not leaving, not in an evacuated data centre, not left to other instances by its rate
 * limit and, if it is cheap, its data centre is not excluded. It has a free slot if fewer requests than its slots run on it,
 * including those of peers. A server with a rate limit has no more free slots than tokens, one with a rejection limit no more
 * than this instance may still start within RejectionLimits::confirmationTime, a cold one no more than this instance's share of
 * what it bears, and a paused one has none. Since reports from peers lag, an instance that shares its servers may always use an
 * even share of the slots. It takes more only while one slot for each of the other instances stays free, up to half of the slots,
 * because the others may be about to take more as well. If there are more instances than slots, fewer stay free. The slots of a
 * straggler are divided by its slowdown.
 *
 * The requests on the cheap servers of one data centre never exceed the target's slots elsewhere, so that they can continue
 * elsewhere if that capacity is reclaimed. This rule applies only if there are slots elsewhere.
 */
class ServerPool
{
public:
    static constexpr double stragglerSlowdown = 2.0;
    /** One in this many slots stays free for the others if there are more instances than slots. */
    static constexpr std::uint32_t crowdedMarginDivisor = 6;
    static constexpr std::uint64_t minSamples = 5; ///< required before a server can count as a straggler
    static constexpr Duration minProbeDelay = std::chrono::seconds(30); ///< doubles with each probe that finds the server slow
    static constexpr Duration maxProbeDelay = std::chrono::minutes(8);
    /** Delay after a failure; doubles with each consecutive one. */
    static constexpr Duration minBackoff = std::chrono::seconds(1);
    static constexpr Duration maxBackoff = std::chrono::seconds(30);
    /** Time after a death in which a server that restarts may accept and close connections. */
    static constexpr Duration restartTime = std::chrono::seconds(1);

    // Commands.

    /** Replaces the set of servers. A removed server is kept until its last request ends. */
    void setServers(const std::vector<BackendServer> &servers);

    void applyLoadReport(const ServerLoadReport &report);
    void setExcluded(const DataCentre &dataCentre, bool excluded);
    /** Sends no new requests to any server of the data centre, or does so again. */
    void setEvacuated(const DataCentre &dataCentre, bool evacuated);

    /** Sets the data centre that this instance stands in, once, before requests; an empty name leaves it unknown. */
    void setOwnDataCentre(const DataCentre &dataCentre)
    {
        if (!dataCentre.isEmpty()) {
            this->ownDataCentreIndex = this->dataCentreNames.intern(dataCentre);
            this->rebuildTargets(); // makes room for its index
        }
    }

    /** @param count instances that share the servers; 0 while unknown */
    void setInstanceCount(std::uint32_t count);

    /** Limits the starts on a server to this instance's share of the server's rate limit; without a share, removes the limit. */
    void setRateShare(ServerIndex server, const std::optional<RateShare> &share, TimePoint now);

    /** Limits the starts on a server to a share of its rejection limit, or not at all. */
    void setRejectionShare(ServerIndex server, const std::optional<RejectionShare> &share);

    /** Records a start on a server with a rejection limit or one that may turn cold. */
    void recordStart(ServerIndex server, TimePoint now);

    /** Records a start on a server if it may turn cold. */
    void recordColdStart(ServerIndex server, TimePoint now);

    /**
     * Treats the server as cold for @p reason, of which this instance may start @p share requests in ColdServers::window, or as
     * warm.
     */
    void setCold(ServerIndex server, std::optional<ColdReason> reason, std::uint32_t share);

    /** Keeps at least the last @p starts starts on a server that bears few requests while it is cold. */
    void keepStarts(ServerIndex server, std::uint32_t starts);

    /** Records a reason why the server may have turned cold since its entry was written. */
    void suspectCold(ServerIndex server, ColdReason reason, TimePoint now);

    /** Records that the servers are those of @p confirmedAt, which ends suspicions that are old enough by then. */
    void recordServersConfirmed(TimePoint confirmedAt);

    /** Sends no requests to the server until @p until, or until the later end of a pause that it is in. */
    void pause(ServerIndex server, TimePoint until);

    /**
     * Lets the servers with a rate limit take the requests that have become due until @p now, and ends the pauses that are
     * over.
     */
    void advanceTo(TimePoint now);

    /** Enables or disables straggler detection, which is enabled initially. */
    void setStragglerDetection(bool enabled);

    /** Records that a request of @p tokens expected tokens starts on @p server. */
    void acquire(ServerIndex server, TargetIndex target, double tokens);

    /** Records that a request on @p server ended with @p tokens of its expected tokens left. */
    void release(ServerIndex server, TargetIndex target, double tokens);

    /** Subtracts @p tokens that were processed from the expected ones. */
    void recordProgress(ServerIndex server, double tokens);

    void recordFirstToken(ServerIndex server, Duration sinceStart, TimePoint now);
    void recordInterToken(ServerIndex server, Duration perToken, TimePoint now);
    /**
     * Records the ratio @p slowdown of the actual to the expected prefill time. If it is available for a target, stragglers are
     * detected from it alone, because tokens and first tokens are slow on any server that processes long prompts.
     */
    void recordPrefill(ServerIndex server, double slowdown, TimePoint now);
    void recordFailure(ServerIndex server, TimePoint now);
    void recordSuccess(ServerIndex server);
    /** Forgets the failures of the target's servers, which had another cause. */
    void forgetFailures(TargetIndex target);
    /** Records that the server died while it ran a request of this or of another instance. */
    void recordDeath(ServerIndex server, TimePoint now);

    /**
     * Returns the model name that stands for a second target of each service. Requests with long prompts wait in this separate
     * queue, since the servers for them may be full while those for short prompts are not.
     */
    static const ModelName &longPromptModel();

    /** Returns the index of the target whose servers are those of @p target with the software version. */
    TargetIndex internVersionTarget(TargetIndex target, const std::string &softwareVersion);

    /** Sets the regions that decide which servers are in the homes of requests. */
    void setRegions(DataCentreRegions regions);

    /** Returns the index of the target whose servers are those of @p target in the homes, see homesOf(). */
    TargetIndex internHomeTarget(TargetIndex target, const std::vector<RegionName> &homes);

    /** Returns the index of the model or plain service, assigning one if it is new. */
    TargetIndex internTarget(const ModelName &model, const ServiceName &service);

    // Queries.

    const ServerState &server(ServerIndex index) const
    {
        return this->servers[index];
    }

    std::optional<ServerIndex> find(const BackendServerId &id) const;

    /** Returns nothing for a model or service that no server was ever configured for. */
    std::optional<TargetIndex> findTarget(const ModelName &model, const ServiceName &service);

    /** Returns the target's usable servers. */
    const std::vector<Candidate> &candidates(TargetIndex target) const
    {
        return this->targets[target].candidates;
    }

    /** Returns the positions, among the candidates, of the cheap or ordinary servers with a free slot. */
    const std::vector<std::uint32_t> &freeCandidates(TargetIndex target, bool cheap) const
    {
        return cheap ? this->targets[target].freeCheap : this->targets[target].freeOrdinary;
    }

    Availability availability(TargetIndex target) const;

    /** Returns a number that changes whenever the candidates of any target change. */
    std::uint64_t generation() const
    {
        return this->candidateGeneration;
    }

    /** Returns the target's free slots that a class may use. */
    std::uint32_t freeSlots(TargetIndex target, bool cheapAllowed) const
    {
        return this->targets[target].freeOrdinarySlots + (cheapAllowed ? this->targets[target].freeCheapSlots : 0);
    }

    /**
     * Returns the configured servers of the target that do not leave and are in no evacuated data centre, also those that are
     * left to other instances.
     */
    std::vector<std::pair<BackendServerId, ServerIndex>> presentServers(TargetIndex target) const;

    bool hasUsableServer(TargetIndex target, bool cheapAllowed) const;

    /** Returns whether rate limits leave a server of the target to other instances. */
    bool hasServerOfOthers(TargetIndex target) const
    {
        return this->targets[target].otherInstancesCount > 0;
    }

    /** Returns whether servers of the target are unusable because their data centres are evacuated. */
    bool hasEvacuatedServer(TargetIndex target) const
    {
        return this->targets[target].evacuatedCount > 0;
    }

    bool isEvacuated(ServerIndex server) const
    {
        return this->isEvacuated(this->servers[server]);
    }

    const std::vector<ServerIndex> &rateLimitedServers() const
    {
        return this->rateLimited;
    }

    RateLimitedCapacity rateLimitedCapacity(TargetIndex target) const;

    /** Returns the servers that are treated as cold. */
    const std::vector<ServerIndex> &coldServers() const
    {
        return this->cold;
    }

    /** Returns the servers that bear few requests while they are cold. */
    const std::vector<ServerIndex> &coldProneServers() const
    {
        return this->coldProne;
    }

    /** Returns whether the server stands in the data centre. */
    bool isIn(ServerIndex server, const DataCentre &dataCentre) const;

    /** Returns why the server has to be treated as cold at @p now, or nothing. */
    std::optional<ColdReason> coldReason(ServerIndex server, TimePoint now) const;

    /**
     * Returns when a limit, the end of a pause or of a cold time next lets a server take a request that has no free slot now;
     * nothing if there is no such server.
     */
    std::optional<TimePoint> nextDelayedStart() const;

    /**
     * Returns when the first of the target's servers takes requests again if all of them are paused, or cold and left to other
     * instances; nothing otherwise.
     */
    std::optional<TimePoint> pausedUntil(TargetIndex target) const;

    /** Returns the requests known to run on the target's usable servers. slots() returns the slots of these servers. */
    std::uint32_t load(TargetIndex target) const
    {
        return this->targets[target].load;
    }

    std::uint32_t slots(TargetIndex target) const
    {
        return this->targets[target].slots;
    }

    std::uint32_t localInFlight(TargetIndex target) const
    {
        return this->targets[target].localInFlight;
    }

    /** Returns the data centre that this instance stands in, if it is known. */
    std::optional<DataCentreIndex> ownDataCentre() const
    {
        return this->ownDataCentreIndex;
    }

    /** Returns the number of data centres seen so far. All indexes are below it. */
    std::size_t dataCentreCount() const
    {
        return this->dataCentreNames.size();
    }

    /** Returns whether the server is in an evacuated data centre, or is a cheap one that is being reclaimed with its data centre.
     */
    bool isExcluded(ServerIndex server) const;

    /** Returns whether the server died before @p startedAt and may still be restarting. */
    bool isRestarting(ServerIndex server, TimePoint startedAt, TimePoint now) const;

    /** Returns whether the server is slow enough to be avoided and not due for another probe. */
    bool isStraggler(ServerIndex server, TimePoint now) const;

    /** Returns whether the requests of the target continue streams that the caller has a part of. */
    bool continuesStreams(TargetIndex target) const
    {
        return this->targets[target].isOfVersion;
    }

    /** Returns whether the servers of the target are restricted to homes. */
    bool isHomeTarget(TargetIndex target) const
    {
        return this->targets[target].isOfHomes;
    }

    bool hasHomeTargets() const
    {
        return !this->homeTargets.empty();
    }

    std::size_t targetCount() const
    {
        return this->targets.size();
    }

    const std::pair<ModelName, ServiceName> &targetName(TargetIndex target) const
    {
        return this->targetNames.name(target);
    }

private:
    struct TargetNameHash {
        std::size_t operator()(const std::pair<ModelName, ServiceName> &name) const noexcept;
    };

    // Cheap servers of one data centre for one target.
    struct CheapCapacity {
        std::uint32_t slots = 0;
        std::uint32_t inFlight = 0;
    };

    // A target whose servers are those of another one in some regions.
    struct HomeTarget {
        TargetIndex base = 0;
        TargetIndex target = 0;
        std::vector<RegionName> homes;
    };

    struct Target {
        std::vector<Candidate> candidates;
        std::vector<std::uint32_t> freeOrdinary;
        std::vector<std::uint32_t> freeCheap;
        std::vector<CheapCapacity> cheapByDataCentre; // by data centre index
        std::uint32_t ordinaryCount = 0;
        std::uint32_t slots = 0;
        std::uint32_t load = 0;
        std::uint32_t localInFlight = 0; // requests of this target only
        std::uint32_t freeOrdinarySlots = 0;
        std::uint32_t freeCheapSlots = 0;
        bool isOfVersion = false; // whether its requests continue streams, see internVersionTarget()
        bool isOfHomes = false; // see internHomeTarget()
        std::uint32_t otherInstancesCount = 0; // servers that rate limits leave to other instances
        std::uint32_t evacuatedCount = 0; // servers in evacuated data centres

        std::uint32_t measurements = 0; // since the last update of slowdowns
    };

    void addServer(const BackendServer &server);
    void removeIfUnused(ServerState &state);
    void removeServer(ServerState &state);
    static ModelName homeModel(const ModelName &model, const std::vector<RegionName> &homes);
    /** Adds the server to the home targets of its other targets. */
    void addHomeMemberships(ServerState &state, const std::vector<TargetMembership> &previous);
    static ModelName versionModel(const ModelName &model, const std::string &softwareVersion);
    void addMemberships(
        ServerState &state, const std::vector<TargetMembership> &previous, const ModelName &model, const ServiceName &service);
    void addMembership(ServerState &state, const std::vector<TargetMembership> &previous, TargetIndex target);
    void adjustInFlight(ServerIndex server, TargetIndex target, std::int64_t delta);
    bool isUsable(const ServerState &state) const;
    static bool isLeftToOthers(const ServerState &state);
    bool isEvacuated(const ServerState &state) const;
    void rebuildTargets();
    /** Counts a server that neither leaves nor is usable in its targets. */
    void countUnusable(const ServerState &state);
    void addCandidate(ServerIndex server, const TargetMembership &membership);
    std::uint32_t usableSlots(const ServerState &state) const;
    std::uint32_t freeSlotsOf(const ServerState &state, const Target &target) const;
    bool isDataCentreFull(const ServerState &state, const Target &target) const;
    void refresh(ServerIndex server);
    void endPauses(TimePoint now);
    void forgetConfirmedStarts(TimePoint now);
    void updateColdState(ServerIndex index, const BackendServer &server);
    void forgetColdStarts(TimePoint now);
    std::optional<TimePoint> nextColdStart(ServerIndex server) const;
    /** Returns whether a server that turned cold when it was suspected to would have said so by now. */
    bool isSuspicionAnswered(const ColdState &state) const;
    static std::optional<TimePoint> unusableUntil(const ServerState &state);
    void refreshCandidate(ServerIndex server, TargetIndex target, std::uint32_t position);
    void refreshDataCentre(TargetIndex target, DataCentreIndex dataCentre);
    void adjustLoad(ServerIndex server, std::int64_t delta);
    void recordMeasurement(ServerIndex server, TimePoint now);
    void updateSlowdowns(TargetIndex target);
    double medianOf(const Target &target, MovingAverage ServerState::*measure);

    Interner<BackendServerId> serverNames;
    Interner<DataCentre> dataCentreNames;
    Interner<std::pair<ModelName, ServiceName>, TargetNameHash> targetNames;
    std::vector<ServerState> servers;
    std::vector<Target> targets;
    std::vector<bool> excludedDataCentres; // by data centre index
    std::optional<DataCentreIndex> ownDataCentreIndex; // if it is known
    std::vector<bool> evacuatedDataCentres; // by data centre index
    DataCentreRegions regions;
    std::vector<HomeTarget> homeTargets;
    std::uint64_t candidateGeneration = 0;
    std::pair<ModelName, ServiceName> lookupKey; // a member to reuse its memory in look-ups
    std::vector<ServerIndex> rateLimited; // servers with a rate limit
    std::vector<ServerIndex> paused;
    std::vector<ServerIndex> rejectionLimited; // servers with a share of a rejection limit
    std::optional<TimePoint> serversConfirmedAt;
    std::vector<ServerIndex> cold; // servers that are treated as cold
    std::vector<ServerIndex> coldProne; // servers that bear few requests while they are cold
    std::vector<double> medianSamples; // a member to reuse its memory
    std::uint32_t instanceCount = 0;
    bool detectsStragglers = true;
};

} // namespace flamingosaddle
