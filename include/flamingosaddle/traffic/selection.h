#pragma once

#include <flamingosaddle/traffic/promptplacement.h>
#include <flamingosaddle/traffic/serverpool.h>

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace flamingosaddle
{

/**
 * What the choice of a server depends on.
 */
struct SelectionRequest {
    TargetIndex target = 0;
    bool cheapAllowed = true;
    std::uint64_t prefixHash = 0; ///< 0 when there is none
    ServerIndex failedServer = noServer; ///< of the last attempt, taken only when there is no other
    const PromptRequest *prompt = nullptr; ///< where the length of the prompt is known; outlives the call
};

/**
 * A server with a free slot, for policies that choose by other rules.
 */
struct ServerView {
    ServerIndex server = noServer;
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t peersInFlight = 0;
};

/** The position in @p views of the server to use; the vector is never empty. */
using ChooseServer = std::function<std::size_t(const std::vector<ServerView> &views)>;

/**
 * Chooses the backend server for a request among those with a free slot.
 *
 * Where the length of a prompt is known, PromptPlacement decides: of the servers with the fewest faults against them, those
 * for prompts of its length before others, the one where the first token comes soonest. Otherwise:
 *
 * First the server of the highest rendezvous weight for the prompt's prefix, or the second, if it is no straggler and
 * its load is at most affinityBound times the mean: its cache may hold the prefix. Otherwise the best of at most maxDraws
 * servers drawn at random: servers that failed lately, stragglers and the server and data centre of the failed attempt
 * come last, then the one on which this instance runs the fewest requests for its slots. Of several that are equal in
 * this, the better of the first two drawn, by expected waiting tokens.
 *
 * What an instance runs itself it knows at once, what peers and engines report is old. So each instance spreads its own
 * work evenly, and the reports decide only between two random servers: instances that hold the same old reports do not
 * all choose the same server.
 */
class Selector
{
public:
    static constexpr double affinityBound = 1.25;
    static constexpr std::size_t maxDraws = 16;

    /** @param choose replaces the rules when it is set */
    explicit Selector(std::uint64_t seed, ChooseServer choose = {});

    // Commands.

    /** noServer when no permitted server has a free slot. */
    ServerIndex select(const ServerPool &pool, const SelectionRequest &request, TimePoint now);

    /** Where prompts are read, as the owner tells it. */
    PromptPlacement prompts;

private:
    // What speaks against a server; less is better.
    struct Penalty {
        int level = 0;
        double ownLoad = 0.0; // requests per slot

        friend bool operator==(const Penalty &, const Penalty &) = default;
        friend bool operator<(const Penalty &left, const Penalty &right)
        {
            return left.level != right.level ? left.level < right.level : left.ownLoad < right.ownLoad;
        }
    };

    ServerIndex byAffinity(const ServerPool &pool, const SelectionRequest &request, TimePoint now) const;
    /** The server that rendezvous hashing gives the shared beginning of the prompt, of those for prompts of its length. */
    ServerIndex homeOf(const ServerPool &pool, const SelectionRequest &request) const;
    static bool haveAllFailed(const ServerPool &pool, TargetIndex target, TimePoint now);
    ServerIndex byPrompt(const ServerPool &pool, const SelectionRequest &request, TimePoint now);
    ServerIndex byChoice(const ServerPool &pool, const SelectionRequest &request);
    ServerIndex byDraws(const ServerPool &pool, const SelectionRequest &request, TimePoint now);
    ServerIndex bestOf(const ServerPool &pool, const SelectionRequest &request, TimePoint now, std::size_t draws);
    bool isWithinBound(const ServerPool &pool, TargetIndex target, const Candidate &candidate, TimePoint now) const;
    Penalty penalty(const ServerPool &pool, const SelectionRequest &request, ServerIndex server, TimePoint now) const;

    std::mt19937_64 random;
    ChooseServer choose;
    std::vector<ServerView> views; // for the policy
};

} // namespace flamingosaddle
