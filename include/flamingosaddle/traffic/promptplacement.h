#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/traffic/fairshares.h>
#include <flamingosaddle/traffic/movingaverage.h>
#include <flamingosaddle/traffic/serverpool.h>

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace flamingosaddle
{

/**
 * Prompt of a request, as needed to place it on a server.
 */
struct PromptRequest {
    TargetIndex target = 0;
    ClassIndex requestClass = 0;
    std::uint64_t prefixHash = 0; ///< hash of the longest prefix shared with other requests; 0 if none
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0; ///< length of the shared prefix
    std::uint32_t outputTokens = 0; ///< upper bound
    Duration objective = std::chrono::seconds(1); ///< target for the first token
    int tier = 0;

    friend bool operator==(const PromptRequest &, const PromptRequest &) = default;
};

/**
 * Cost of running a prompt on a server.
 */
struct PromptCost {
    bool isAllowed = true; ///< false if the server's backlog would make the request too late
    bool isOwnLane = true; ///< whether the server's partition serves prompts of this length
    /**
     * tokens to process before the first token, plus penalties for running requests and for prefill that another server has
     * already done
     */
    double tokens = 0.0;

    friend bool operator==(const PromptCost &, const PromptCost &) = default;
};

/**
 * Maximum backlog, in tokens, of a server on which a prompt may start.
 */
struct PromptBounds {
    double usual = 0.0;
    double whereKept = 0.0; ///< limit for a server that caches the shared prefix

    friend bool operator==(const PromptBounds &, const PromptBounds &) = default;
};

/**
 * Prefill work at the start of a request.
 */
struct PromptStart {
    double own = 0.0; ///< tokens of the request's own prompt
    double ahead = 0.0; ///< tokens of other prompts ahead of it, as far as known

    friend bool operator==(const PromptStart &, const PromptStart &) = default;
};

/**
 * Chooses the servers that process prompts. It handles three load patterns:
 *
 * - Long prompts next to chat requests. An engine processes prompts in large chunks between the output tokens of its running
 *   requests, so one long prompt stalls every stream on the same server. Classes are divided by the length of their prompts.
 *   Short prompts get a partition of the servers in proportion to their share of the work, ordinary servers before cheap ones.
 *   Each instance derives the same partition without communication.
 * - Many requests with the same long prefix. A server that caches the prefix saves the whole time of processing it again, so
 *   another one is used only if the backlog of the first is larger by that amount. Instances tell each other which server has
 *   processed which prefix. A prefix that no instance has reported is assumed to be cached at its home, the server chosen by
 *   rendezvous hashing, since the other instances send it there as well.
 * - Bursts of long prompts. The backlog of a server is bounded by half of the tightest first-token target of the long classes.
 *   Further requests wait in the router, where they can still be reordered, rather than in the engine's queue. Lower tiers leave
 *   room for higher ones waiting at other instances.
 */
class PromptPlacement
{
public:
    /** Minimum ratio of the mean prompt lengths of two classes that separates long prompts from short ones. */
    static constexpr double laneRatio = 3.0;
    /**
     * Factor on the work share of short prompts when servers are assigned to them: streams that share a server slow each other
     * down.
     */
    static constexpr double laneHeadroom = 1.6;
    /** Work for one output token, in prompt tokens, as weighted by the operators. */
    static constexpr double outputWeight = 10.0;
    /** Delay that one running request adds to the next one, in prompt tokens. */
    static constexpr double runningTokens = 300.0;
    /**
     * Maximum backlog of a server as a fraction of the first-token target, halved for each tier of long prompts above the
     * request's.
     */
    static constexpr double unreadPart = 0.5;
    /** Probability that a prefix is cached at its home although this instance has not seen it processed there. */
    static constexpr double homeLikelihood = 0.7;
    /** Additional cost of each token that is processed again although another server caches it. */
    static constexpr double lostWeight = 6.0;
    static constexpr double firstTokensPerMillisecond = 20.0; ///< used until prefill speed has been measured
    /** Time to first token without any prefill: one engine step and the network round trip. */
    static constexpr Duration firstTokenOverhead = std::chrono::milliseconds(50);
    static constexpr std::size_t maxPrefixes = 512; ///< cached prefixes tracked for each server
    static constexpr Duration workHorizon = std::chrono::seconds(10); ///< time constant of the work shares

    // Commands.
    void noteArrival(const PromptRequest &request, TimePoint now);
    /** Records that the request starts at @p server. Returns the prefill work before its first token. */
    PromptStart start(const ServerPool &pool, ServerIndex server, const PromptRequest &request);
    /** Records the first token, @p elapsed after the start. Returns the ratio of the actual to the expected time. */
    double noteRead(ServerIndex server, const PromptStart &prefill, Duration elapsed);
    /** Removes @p tokens from the backlog after an attempt ended before its first token. */
    void drop(ServerIndex server, double tokens);
    /** Applies a peer's report that the server has processed this prefix. */
    void noteKept(const ServerPool &pool, ServerIndex server, std::uint64_t prefixHash);
    /** Sets the backlog of peers' prompts at the server, in tokens. */
    void reportPeers(ServerIndex server, double tokens);
    /**
     * Updates the server partition that isOwnPartition() and cost() use. Must be called first whenever servers or arrivals have
     * changed.
     */
    void divide(const ServerPool &pool, TargetIndex target);

    // Queries.
    PromptBounds boundsOf(const PromptRequest &request) const;
    /**
     * @param isHome whether rendezvous hashing maps the shared prefix to this server
     * @param limits backlogLimits() of the request, the same for all servers
     */
    PromptCost cost(const ServerPool &pool, const Candidate &candidate, const PromptRequest &request, bool isHome,
        const PromptBounds &limits) const;
    /** Returns whether the server serves prompts of this length, as of the last updatePartition(). */
    bool isOwnLane(TargetIndex target, ServerIndex server, ClassIndex requestClass) const;
    bool isShort(ClassIndex requestClass) const;
    double unreadHere(ServerIndex server) const; ///< backlog of this instance's requests
    double tokensPerMillisecond() const;

private:
    struct Server {
        std::uint64_t nameHash = 0; // detects that another server took over the index
        double own = 0.0;
        double peers = 0.0;
        std::unordered_map<std::uint64_t, std::uint64_t> prefixes; // use count at the last use, by prefix hash
    };

    struct Class {
        MovingAverage promptTokens{0.05};
        double work = 0.0; // exponentially decayed
        Duration objective = Duration::max(); // of the latest request
        int tier = 0;
        TimePoint decayedAt;
    };

    // Division of the servers of one target between short and long prompts.
    struct Division {
        std::uint64_t generation = 0; // ServerPool::generation() at the last update
        std::size_t shortCount = 0;
        std::vector<bool> forShort; // by server index
    };

    Server &serverAt(ServerIndex index);
    Server &stateOf(const ServerPool &pool, ServerIndex index);
    void keep(Server &server, std::uint64_t prefixHash);
    const Server *find(ServerIndex index) const;
    bool keeps(ServerIndex index, const PromptRequest &request) const;
    void findLanes();
    void weighLanes();
    std::size_t shortCountOf(std::size_t servers) const;

    std::vector<Server> servers;
    std::vector<Division> divisions; // by target
    std::vector<Class> classes; // by class index
    std::vector<double> means; // mean prompt lengths; a member to reuse its memory
    std::vector<int> longTiers; // distinct tiers of the long classes with recent requests
    std::vector<std::pair<std::pair<bool, std::uint64_t>, ServerIndex>> order; // a member to reuse its memory
    std::uint64_t uses = 0;
    Duration tightestLong = Duration::max(); // lowest first-token target of the long classes
    double shortPart = 0.0; // share of the work that belongs to short prompts
    double longestShort = 0.0; // largest mean prompt length that counts as short; 0 if all classes are alike
    MovingAverage speed{0.05}; // tokens per millisecond
};

} // namespace flamingosaddle
