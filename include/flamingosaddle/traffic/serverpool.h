#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/traffic/fairqueue.h>
#include <flamingosaddle/traffic/interner.h>
#include <flamingosaddle/traffic/movingaverage.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace flamingosaddle
{

using ServerIndex = std::uint32_t;
using ZoneIndex = std::uint32_t; ///< a data centre

constexpr ServerIndex noServer = std::numeric_limits<ServerIndex>::max();

/**
 * A server's part in one target.
 */
struct ServerPlace {
    TargetIndex target = 0;
    std::uint32_t position = 0; ///< among the target's candidates
    std::uint32_t inFlight = 0; ///< requests of the target that this instance runs on the server
};

/**
 * One backend server as the selection sees it.
 */
struct ServerState {
    BackendServerId id;
    std::uint64_t nameHash = 0;
    ZoneIndex zone = 0;
    std::uint32_t slots = 0;
    bool cheap = false;
    bool present = false; ///< in the configuration
    bool leaving = false;
    std::uint32_t inFlight = 0; ///< requests that this instance runs there
    std::uint32_t peersInFlight = 0;
    std::uint64_t reportedTokens = 0; ///< that wait at the engine, as it reports with a lag
    TimePoint reportedAt;
    double ownTokens = 0.0; ///< expected to be left of the requests that this instance runs there
    MovingAverage firstTokenSeconds{0.2};
    MovingAverage interTokenSeconds{0.2};
    MovingAverage readingPace{0.2}; ///< of prompts, how many times as long as expected
    TimePoint measuredAt;
    Duration probeWait = std::chrono::seconds(0); ///< until a straggler is tried again
    double slowdown = 1.0; ///< against the median of the servers of its targets, at least 1
    std::uint32_t failures = 0; ///< in a row
    TimePoint avoidUntil;
    std::vector<ServerPlace> places;
};

/**
 * A backend server among those of one target.
 */
struct Candidate {
    ServerIndex server = noServer;
    std::uint64_t nameHash = 0;
    std::uint32_t freePosition = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t freeSlots = 0;
};

/**
 * The backend servers, what runs on them, and which have a free slot for which target.
 *
 * A server is usable when it is configured, not leaving and, if it is cheap, its data centre is not excluded. It has a
 * free slot when fewer requests than its slots run there, those of peers included. Since the peers' reports are old, an
 * instance that shares its servers with others may always use its even part of the slots, and takes more only while a
 * slot for each of the others stays free, at most half of them: the others may be about to take more as well. Where there
 * are more instances than slots, fewer stay free. A
 * straggler's slots are divided by its slowdown. The requests on the cheap servers of one data centre never exceed the target's
 * slots elsewhere, so that what a lost zone ran can go on outside; this holds as long as there are slots elsewhere at all.
 */
class ServerPool
{
public:
    static constexpr double stragglerSlowdown = 2.0;
    /** One in so many slots stays free for the others where there are more instances than slots. */
    static constexpr std::uint32_t crowdedMarginPart = 6;
    static constexpr std::uint64_t minSamples = 5; ///< before a server is judged
    static constexpr Duration firstProbeWait = std::chrono::seconds(30); ///< doubles with each try that finds it slow
    static constexpr Duration longestProbeWait = std::chrono::minutes(8);
    static constexpr Duration firstBackoff = std::chrono::seconds(1); ///< after a failure; doubles with each in a row
    static constexpr Duration longestBackoff = std::chrono::seconds(30);

    // Commands.

    /** Replaces the set of servers. One that is gone is forgotten when its last request ends. */
    void setServers(const std::vector<BackendServer> &servers);

    void report(const ServerReport &report);
    void setExcluded(const DataCentre &dataCentre, bool excluded);

    /** @param count instances that share the servers; 0 while unknown */
    void setInstanceCount(std::uint32_t count);

    /** Whether servers are found to be stragglers, as they are from the start. */
    void setSpeedJudged(bool judged);

    /** A request of @p tokens expected tokens starts on @p server. */
    void acquire(ServerIndex server, TargetIndex target, double tokens);

    /** A request that started there ended with @p tokens of its expected tokens left. */
    void release(ServerIndex server, TargetIndex target, double tokens);

    /** @p tokens of the expected ones came. */
    void noteProgress(ServerIndex server, double tokens);

    void noteFirstToken(ServerIndex server, Duration sinceStart, TimePoint now);
    void noteInterToken(ServerIndex server, Duration perToken, TimePoint now);
    /**
     * A prompt was read in @p pace times the expected time. Where that is known, servers are judged by nothing else: tokens
     * and first tokens come slowly wherever long prompts are read.
     */
    void noteReading(ServerIndex server, double pace, TimePoint now);
    void noteFailure(ServerIndex server, TimePoint now);
    void noteSuccess(ServerIndex server);

    /**
     * Stands for the model in a second target of each service: requests with long prompts wait in a line of their own, since
     * the servers for them may have no room while those for short ones have.
     */
    static const ModelName &longPrompts();

    /** The index of the model or plain service. */
    TargetIndex internTarget(const ModelName &model, const ServiceName &service);

    // Queries.

    const ServerState &server(ServerIndex index) const
    {
        return this->servers[index];
    }

    std::optional<ServerIndex> find(const BackendServerId &id) const;

    /** Nothing for a model or service that no server was ever configured for. */
    std::optional<TargetIndex> findTarget(const ModelName &model, const ServiceName &service);

    /** The target's usable servers. */
    const std::vector<Candidate> &candidates(TargetIndex target) const
    {
        return this->targets[target].candidates;
    }

    /** Positions among the candidates of those with a free slot, cheap ones or the others. */
    const std::vector<std::uint32_t> &free(TargetIndex target, bool cheap) const
    {
        return cheap ? this->targets[target].freeCheap : this->targets[target].freeReliable;
    }

    Availability availability(TargetIndex target) const;

    /** Changes whenever the candidates of any target change. */
    std::uint64_t generation() const
    {
        return this->rebuilds;
    }

    /** Slots of the target that are free for a class. */
    std::uint32_t freeSlots(TargetIndex target, bool cheapAllowed) const
    {
        return this->targets[target].freeReliableSlots + (cheapAllowed ? this->targets[target].freeCheapSlots : 0);
    }

    bool anyUsable(TargetIndex target, bool cheapAllowed) const;

    /** Requests that run on the target's usable servers, as far as known, and the slots of these. */
    std::uint32_t load(TargetIndex target) const
    {
        return this->targets[target].load;
    }

    std::uint32_t slots(TargetIndex target) const
    {
        return this->targets[target].slots;
    }

    std::uint32_t ownInFlight(TargetIndex target) const
    {
        return this->targets[target].ownInFlight;
    }

    bool isExcluded(ServerIndex server) const;

    /** Whether the server was slow for long enough to be passed over, and is not due for another try. */
    bool isStraggler(ServerIndex server, TimePoint now) const;

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

    // The cheap servers of one data centre for one target.
    struct Zone {
        std::uint32_t slots = 0;
        std::uint32_t inFlight = 0;
    };

    struct Target {
        std::vector<Candidate> candidates;
        std::vector<std::uint32_t> freeReliable;
        std::vector<std::uint32_t> freeCheap;
        std::vector<Zone> zones; // by zone index
        std::uint32_t reliableCount = 0;
        std::uint32_t slots = 0;
        std::uint32_t load = 0;
        std::uint32_t ownInFlight = 0; // of this target only
        std::uint32_t freeReliableSlots = 0;
        std::uint32_t freeCheapSlots = 0;

        std::uint32_t observations = 0; // since the last medians
    };

    void place(const BackendServer &configured);
    void addPlace(ServerState &state, const std::vector<ServerPlace> &before, TargetIndex target);
    void changeInFlight(ServerIndex server, TargetIndex target, std::int64_t change);
    bool isUsable(const ServerState &state) const;
    void rebuildTargets();
    void addCandidate(ServerIndex server, const ServerPlace &place);
    std::uint32_t usableSlots(const ServerState &state) const;
    std::uint32_t freeSlotsOf(const ServerState &state, const Target &target) const;
    bool isZoneFull(const ServerState &state, const Target &target) const;
    void refresh(ServerIndex server);
    void refreshPlace(ServerIndex server, TargetIndex target, std::uint32_t position);
    void refreshZone(TargetIndex target, ZoneIndex zone);
    void changeLoad(ServerIndex server, std::int64_t change);
    void noteMeasured(ServerIndex server, TimePoint now);
    void judge(TargetIndex target);
    double medianOf(const Target &target, MovingAverage ServerState::*measure);

    Interner<BackendServerId> serverNames;
    Interner<DataCentre> zoneNames;
    Interner<std::pair<ModelName, ServiceName>, TargetNameHash> targetNames;
    std::vector<ServerState> servers;
    std::vector<Target> targets;
    std::vector<bool> excludedZones; // by zone index
    std::uint64_t rebuilds = 0;
    std::pair<ModelName, ServiceName> targetKey; // kept so that a look-up copies into existing memory
    std::vector<double> scratch; // for medians
    std::uint32_t instanceCount = 0;
    bool speedJudged = true;
};

} // namespace flamingosaddle
