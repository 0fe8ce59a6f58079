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
 * A request that an engine has to read a prompt for.
 */
struct PromptRequest {
    TargetIndex target = 0;
    ClassIndex requestClass = 0;
    std::uint64_t prefixHash = 0; ///< of the longest beginning that other requests share; 0 when there is none
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0; ///< of the shared beginning
    std::uint32_t outputTokens = 0; ///< at most
    Duration objective = std::chrono::seconds(1); ///< for the first token
    int tier = 0;

    friend bool operator==(const PromptRequest &, const PromptRequest &) = default;
};

/**
 * What the placement of prompts adds to the choice of a server.
 */
struct PromptCost {
    bool isAllowed = true; ///< otherwise so much is unread there that the request would come too late
    bool isOwnLane = true; ///< whether the server is one for prompts of this length
    double tokens = 0.0; ///< to be read before the first token, and read in vain elsewhere

    friend bool operator==(const PromptCost &, const PromptCost &) = default;
};

/**
 * Tokens that may be unread at a server where a prompt starts.
 */
struct PromptBounds {
    double usual = 0.0;
    double whereKept = 0.0; ///< at a server that surely keeps the shared beginning

    friend bool operator==(const PromptBounds &, const PromptBounds &) = default;
};

/**
 * Tokens to be read when a request starts.
 */
struct PromptStart {
    double own = 0.0; ///< of its own prompt
    double ahead = 0.0; ///< of others, as far as known

    friend bool operator==(const PromptStart &, const PromptStart &) = default;
};

/**
 * Where prompts are read. It answers three load patterns:
 *
 * - Long prompts beside chats. An engine reads prompts in large chunks between the tokens of its running requests, so that
 *   one long prompt stalls every stream beside it. Classes are told apart by the length of their prompts, and the short ones
 *   get servers of their own, as many as their part of the work takes, ordinary ones before those that may be reclaimed.
 *   Each instance derives the same order of servers without a message.
 * - Many requests with the same long beginning. The server that has read it is worth the whole time of reading it again;
 *   another one is taken once that much more is unread at the first. Instances tell each other what they had read where.
 *   What none of them told is expected at its home, the server that rendezvous hashing gives it, since the other instances
 *   expect it there as well.
 * - Bursts of long prompts. What a server has not read yet is bounded by half of the tightest objective of the long classes;
 *   the rest waits here, where the order of service still can change, instead of in the engine's queue. Lower tiers leave
 *   room for higher ones that wait at other instances.
 */
class PromptPlacement
{
public:
    /** Means of two classes that are this far apart divide long prompts from short ones. */
    static constexpr double laneRatio = 3.0;
    /** Servers for short prompts beyond their part of the work: streams that share a server slow each other. */
    static constexpr double laneHeadroom = 1.6;
    /** Work of one token of an answer, in tokens of a prompt, as the operators weigh them. */
    static constexpr double outputWeight = 10.0;
    /** What one running request adds to the time of the next one, in tokens of a prompt. */
    static constexpr double runningTokens = 300.0;
    /** Part of the objective that may be unread at a server; halved for each tier of long prompts above the request's. */
    static constexpr double unreadPart = 0.5;
    /** How likely a beginning is kept at its home though this instance has not seen it read there. */
    static constexpr double homeLikelihood = 0.7;
    /** How much a token that is read although another server keeps it counts beyond its reading. */
    static constexpr double lostWeight = 6.0;
    static constexpr double firstTokensPerMillisecond = 20.0; ///< until reading was measured
    /** Of a first token, without what is read before it: the step that makes it and the ways there and back. */
    static constexpr Duration firstTokenOverhead = std::chrono::milliseconds(50);
    static constexpr std::size_t maxPrefixes = 512; ///< remembered for one server
    static constexpr Duration workHorizon = std::chrono::seconds(10); ///< over which the work of the lanes is weighed

    // Commands.
    void noteArrival(const PromptRequest &request, TimePoint now);
    /** The request starts at @p server. Answers what is read there before its first token. */
    PromptStart start(const ServerPool &pool, ServerIndex server, const PromptRequest &request);
    /** The first token came, @p taken after the start. Answers how many times as long as expected that was. */
    double noteRead(ServerIndex server, const PromptStart &started, Duration taken);
    /** The attempt ended before its first token. */
    void drop(ServerIndex server, double tokens);
    /** A peer's request had this beginning read at the server. */
    void noteKept(const ServerPool &pool, ServerIndex server, std::uint64_t prefixHash);
    /** Tokens that peers have not had read there. */
    void reportPeers(ServerIndex server, double tokens);
    /** Prepares isOwnLane() and cost() for one target; comes before them whenever servers or arrivals changed. */
    void divide(const ServerPool &pool, TargetIndex target);

    // Queries.
    PromptBounds boundsOf(const PromptRequest &request) const;
    /**
     * @param isHome whether rendezvous hashing gives the shared beginning to this server
     * @param bounds boundsOf() the request, the same for all servers
     */
    PromptCost cost(const ServerPool &pool, const Candidate &candidate, const PromptRequest &request, bool isHome,
        const PromptBounds &bounds) const;
    /** Whether the server is one for prompts of this length, as the last divide() says. */
    bool isOwnLane(TargetIndex target, ServerIndex server, ClassIndex requestClass) const;
    bool isShort(ClassIndex requestClass) const;
    double unreadHere(ServerIndex server) const; ///< tokens of this instance's requests
    double tokensPerMillisecond() const;

private:
    struct Server {
        std::uint64_t nameHash = 0; // tells a server of another name at the same index
        double own = 0.0;
        double peers = 0.0;
        std::unordered_map<std::uint64_t, std::uint64_t> prefixes; // hash, count of uses at the last use
    };

    struct Class {
        MovingAverage promptTokens{0.05};
        double work = 0.0; // decayed
        Duration objective = Duration::max(); // of the last request
        int tier = 0;
        TimePoint decayedAt;
    };

    // How the servers of one target are divided.
    struct Division {
        std::uint64_t generation = 0; // of the pool's candidates
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
    std::vector<double> means; // of the classes' prompts; kept for its memory
    std::vector<int> longTiers; // of long classes that were asked for lately, each once
    std::vector<std::pair<std::pair<bool, std::uint64_t>, ServerIndex>> order; // kept for its memory
    std::uint64_t uses = 0;
    Duration tightestLong = Duration::max(); // objective of the long classes
    double shortPart = 0.0; // of the work
    double longestShort = 0.0; // mean tokens of a prompt that still count as short; 0 when all are alike
    MovingAverage speed{0.05}; // tokens a millisecond
};

} // namespace flamingosaddle
