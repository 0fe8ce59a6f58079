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
    Duration firstTokenTarget = std::chrono::seconds(1); ///< target for the first token
    int tier = 0;

    friend bool operator==(const PromptRequest &, const PromptRequest &) = default;
};

/**
 * Cost of running a prompt on a server.
 */
struct PromptCost {
    bool isAllowed = true; ///< false if the server's backlog would make the request too late
    bool isOwnPartition = true; ///< whether the server's partition serves prompts of this length
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
struct BacklogLimits {
    double uncached = 0.0;
    double cached = 0.0; ///< limit for a server that caches the shared prefix

    friend bool operator==(const BacklogLimits &, const BacklogLimits &) = default;
};

/**
 * Prefill work at the start of a request.
 */
struct PrefillWork {
    double localTokens = 0.0; ///< tokens of the request's own prompt
    double tokensAhead = 0.0; ///< tokens of other prompts ahead of it, as far as known

    friend bool operator==(const PrefillWork &, const PrefillWork &) = default;
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
    static constexpr double minLengthRatio = 3.0;
    /**
     * Factor on the work share of short prompts when servers are assigned to them: streams that share a server slow each other
     * down.
     */
    static constexpr double shortPartitionHeadroom = 1.6;
    /** Work for one output token, in prompt tokens, as weighted by the operators. */
    static constexpr double outputTokenWeight = 10.0;
    /** Delay that one running request adds to the next one, in prompt tokens. */
    static constexpr double runningRequestTokens = 300.0;
    /**
     * Maximum backlog of a server as a fraction of the first-token target, halved for each tier of long prompts above the
     * request's.
     */
    static constexpr double maxBacklogFraction = 0.5;
    /** Probability that a prefix is cached at its home although this instance has not seen it processed there. */
    static constexpr double homeCachedProbability = 0.7;
    /** Additional cost of each token that is processed again although another server caches it. */
    static constexpr double duplicatePrefillWeight = 6.0;
    static constexpr double defaultTokensPerMillisecond = 20.0; ///< used until prefill speed has been measured
    /** Time to first token without any prefill: one engine step and the network round trip. */
    static constexpr Duration firstTokenOverhead = std::chrono::milliseconds(50);
    static constexpr std::size_t maxPrefixesPerServer = 512; ///< cached prefixes tracked for each server
    static constexpr Duration workTimeConstant = std::chrono::seconds(10); ///< time constant of the work shares

    // Commands.
    void recordArrival(const PromptRequest &request, TimePoint now);
    /** Records that the request starts at @p server. Returns the prefill work before its first token. */
    PrefillWork startPrefill(const ServerPool &pool, ServerIndex server, const PromptRequest &request);
    /** Records the first token, @p elapsed after the start. Returns the ratio of the actual to the expected time. */
    double recordPrefill(ServerIndex server, const PrefillWork &prefill, Duration elapsed);
    /** Removes @p tokens from the backlog after an attempt ended before its first token. */
    void cancelPrefill(ServerIndex server, double tokens);
    /** Applies a peer's report that the server has processed this prefix. */
    void applyPeerPrefill(const ServerPool &pool, ServerIndex server, std::uint64_t prefixHash);
    /** Forgets which prefixes the server caches, because it has started again. */
    void forgetPrefixes(ServerIndex server);
    /** Sets the backlog of peers' prompts at the server, in tokens. */
    void applyPeerBacklog(ServerIndex server, double tokens);
    /**
     * Updates the server partition that isOwnPartition() and cost() use. Must be called first whenever servers or arrivals have
     * changed.
     */
    void updatePartition(const ServerPool &pool, TargetIndex target);

    // Queries.
    BacklogLimits backlogLimits(const PromptRequest &request) const;
    /**
     * @param isHome whether rendezvous hashing maps the shared prefix to this server
     * @param limits backlogLimits() of the request, the same for all servers
     */
    PromptCost cost(const ServerPool &pool, const Candidate &candidate, const PromptRequest &request, bool isHome,
        const BacklogLimits &limits) const;
    /** Returns whether the server serves prompts of this length, as of the last updatePartition(). */
    bool isOwnPartition(TargetIndex target, ServerIndex server, ClassIndex requestClass) const;
    bool isShortPromptClass(ClassIndex requestClass) const;
    double localBacklogTokens(ServerIndex server) const; ///< backlog of this instance's requests
    double tokensPerMillisecond() const;

private:
    struct Server {
        std::uint64_t nameHash = 0; // detects that another server took over the index
        double localBacklog = 0.0;
        double peerBacklog = 0.0;
        std::unordered_map<std::uint64_t, std::uint64_t> lastUses; // use count at the last use, by prefix hash
    };

    struct Class {
        MovingAverage promptTokens{0.05};
        double work = 0.0; // exponentially decayed
        Duration firstTokenTarget = Duration::max(); // of the latest request
        int tier = 0;
        TimePoint decayedAt;
    };

    // Division of the servers of one target between short and long prompts.
    struct Partition {
        std::uint64_t poolGeneration = 0; // ServerPool::generation() at the last update
        std::size_t shortCount = 0;
        std::vector<bool> servesShort; // by server index
    };

    Server &serverAt(ServerIndex index);
    Server &resetIfReplaced(const ServerPool &pool, ServerIndex index);
    void recordCachedPrefix(Server &server, std::uint64_t prefixHash);
    const Server *findServer(ServerIndex index) const;
    bool isPrefixCached(ServerIndex index, const PromptRequest &request) const;
    void classifyLengths();
    void updateWorkShares();
    std::size_t shortServerCount(std::size_t servers) const;

    std::vector<Server> servers;
    std::vector<Partition> partitions; // by target
    std::vector<Class> classes; // by class index
    std::vector<double> classMeans; // mean prompt lengths; a member to reuse its memory
    std::vector<int> longTiers; // distinct tiers of the long classes with recent requests
    std::vector<std::pair<std::pair<bool, std::uint64_t>, ServerIndex>> partitionOrder; // a member to reuse its memory
    std::uint64_t useCount = 0;
    Duration tightestLongTarget = Duration::max(); // lowest first-token target of the long classes
    double shortWorkFraction = 0.0; // share of the work that belongs to short prompts
    double maxShortMean = 0.0; // largest mean prompt length that counts as short; 0 if all classes are alike
    MovingAverage prefillSpeed{0.05}; // tokens per millisecond
};

} // namespace flamingosaddle
