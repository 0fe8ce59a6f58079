#pragma once

#include <flamingosaddle/traffic/datacentreshares.h>
#include <flamingosaddle/traffic/distancecost.h>
#include <flamingosaddle/traffic/promptplacement.h>
#include <flamingosaddle/traffic/serverpool.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <tuple>
#include <vector>

namespace flamingosaddle
{

/**
 * Properties of a request on which server selection depends.
 */
struct SelectionRequest {
    TargetIndex target = 0;
    bool cheapAllowed = true;
    std::uint64_t prefixHash = 0; ///< 0 if none
    ServerIndex failedServer = noServer; ///< server of the last attempt, used only if no other is available
    const PromptRequest *prompt = nullptr; ///< set if the length of the prompt is known; must outlive the call
};

/**
 * A server with a free slot, as passed to a SelectionPolicy.
 */
struct ServerView {
    ServerIndex server = noServer;
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t peersInFlight = 0;
};

/** Returns the position in @p views of the server to use. The vector is never empty. */
using SelectionPolicy = std::function<std::size_t(const std::vector<ServerView> &views)>;

/**
 * Selects a backend server with a free slot for a request.
 *
 * If the length of the prompt is known, PromptPlacement decides: among the servers with the lowest penalty, servers of the
 * partition for its length come first, and of these the one with the earliest expected first token, where servers in other data
 * centres count as later by the cost of the distance.
 *
 * Otherwise the server with the highest rendezvous weight for the prompt's prefix is preferred, then the second, because its
 * cache may hold the prefix. It is used unless it is a straggler or its load exceeds affinityBound times the mean. Failing that,
 * up to maxSamples servers are sampled at random. Missing servers, servers that failed recently, stragglers, and the server and
 * data centre of the failed attempt rank last. Next come the servers of other data centres, for the share of requests that
 * DataCentreShares lets stay, if the instance's own data centre is known. The rest are ranked by this instance's requests per
 * slot. If several are equal, the better of the first two by expected waiting tokens is chosen.
 *
 * An instance knows its own requests at once, while reports from peers and engines lag. Each instance therefore spreads its own
 * work evenly, and reports only decide between two random servers, so that instances with the same stale reports do not all
 * choose the same server.
 */
class Selector
{
public:
    static constexpr double affinityBound = 1.25;
    static constexpr std::size_t maxSamples = 16;

    /** @param policy replaces the default rules if set */
    explicit Selector(std::uint64_t seed, SelectionPolicy policy = {});

    // Commands.

    void setDistanceCost(const DistanceCost &cost)
    {
        this->distanceCost = cost;
    }

    /** Returns noServer if no permitted server has a free slot. */
    ServerIndex select(const ServerPool &pool, const SelectionRequest &request, TimePoint now);

    /** Updated by the owner with prefill events and reports. */
    PromptPlacement promptPlacement;

private:
    // Ranks servers; lower is better.
    struct Penalty {
        int level = 0;
        bool isElsewhere = false; // outside the data centre in which the request should stay
        double localLoad = 0.0; // requests per slot

        friend bool operator==(const Penalty &, const Penalty &) = default;
        friend bool operator<(const Penalty &left, const Penalty &right)
        {
            return std::tie(left.level, left.isElsewhere, left.localLoad)
                < std::tie(right.level, right.isElsewhere, right.localLoad);
        }
    };

    ServerIndex selectByAffinity(const ServerPool &pool, const SelectionRequest &request, TimePoint now) const;
    /** Returns the server that rendezvous hashing chooses for the shared prefix among the servers for prompts of this length. */
    ServerIndex homeServer(const ServerPool &pool, const SelectionRequest &request) const;
    static bool haveAllFailed(const ServerPool &pool, TargetIndex target, TimePoint now);
    ServerIndex selectByPrompt(const ServerPool &pool, const SelectionRequest &request, TimePoint now);
    ServerIndex selectByPolicy(const ServerPool &pool, const SelectionRequest &request);
    ServerIndex selectBySampling(const ServerPool &pool, const SelectionRequest &request, TimePoint now);
    ServerIndex bestOfSample(const ServerPool &pool, const SelectionRequest &request, std::optional<DataCentreIndex> preferred,
        TimePoint now, std::size_t samples);
    /** Returns the data centre in which the request should stay, if it should. */
    std::optional<DataCentreIndex> preferredDataCentre(const ServerPool &pool, TargetIndex target, TimePoint now);
    void updateShares(const ServerPool &pool, TargetIndex target, DataCentreIndex own, TimePoint now);
    /** Returns the cost of the distance to servers in other data centres, in prompt tokens. */
    double distanceTokens(const PromptRequest &request) const;
    bool isWithinAffinityBound(const ServerPool &pool, TargetIndex target, const Candidate &candidate, TimePoint now) const;
    Penalty penalty(const ServerPool &pool, const SelectionRequest &request, std::optional<DataCentreIndex> preferred,
        ServerIndex server, TimePoint now) const;

    std::mt19937_64 random;
    SelectionPolicy policy;
    DistanceCost distanceCost;
    std::vector<DataCentreShares> shares; // by target
    std::vector<ServerView> views; // passed to the policy; a member to reuse its memory
};

} // namespace flamingosaddle
