#include <flamingosaddle/traffic/selection.h>

#include "mixbits.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace flamingosaddle
{

namespace
{

constexpr double unknownRequestTokens = 500.0; // of a peer's request, while nothing was measured

// Mixes a server's hash and a prefix hash into a rendezvous weight.
std::uint64_t mixedWeight(std::uint64_t nameHash, std::uint64_t prefixHash)
{
    return mixBits(nameHash ^ (prefixHash * 0x9e3779b97f4a7c15ULL));
}

double expectedTokens(const ServerState &state)
{
    const double each = state.inFlight > 0 ? state.ownTokens / state.inFlight : unknownRequestTokens;
    const double known = state.ownTokens + state.peersInFlight * each;
    return std::max(known, static_cast<double>(state.reportedTokens)) * state.slowdown / std::max(state.slots, 1U);
}

} // namespace

Selector::Selector(std::uint64_t seed, ChooseServer choose)
    : random(seed)
    , choose(std::move(choose))
{
}

ServerIndex Selector::select(const ServerPool &pool, const SelectionRequest &request, TimePoint now)
{
    if (this->choose) {
        return this->byChoice(pool, request);
    }
    if (request.prompt != nullptr) {
        return this->byPrompt(pool, request, now);
    }
    const ServerIndex affine = request.prefixHash == 0 ? noServer : this->byAffinity(pool, request, now);
    return affine == noServer ? this->byDraws(pool, request, now) : affine;
}

ServerIndex Selector::byAffinity(const ServerPool &pool, const SelectionRequest &request, TimePoint now) const
{
    const Candidate *first = nullptr;
    const Candidate *second = nullptr;
    std::uint64_t firstWeight = 0;
    std::uint64_t secondWeight = 0;
    for (const Candidate &candidate : pool.candidates(request.target)) {
        const std::uint64_t weight = mixedWeight(candidate.nameHash, request.prefixHash);
        if (first == nullptr || weight > firstWeight) {
            second = first;
            secondWeight = firstWeight;
            first = &candidate;
            firstWeight = weight;
        } else if (second == nullptr || weight > secondWeight) {
            second = &candidate;
            secondWeight = weight;
        }
    }
    for (const Candidate *candidate : {first, second}) {
        if (candidate != nullptr && candidate->server != request.failedServer
            && (request.cheapAllowed || !pool.server(candidate->server).cheap)
            && this->isWithinBound(pool, request.target, *candidate, now)) {
            return candidate->server;
        }
    }
    return noServer;
}

bool Selector::isWithinBound(const ServerPool &pool, TargetIndex target, const Candidate &candidate, TimePoint now) const
{
    const ServerState &state = pool.server(candidate.server);
    const bool isFree = candidate.freePosition != std::numeric_limits<std::uint32_t>::max();
    if (!isFree || state.avoidUntil > now || pool.isStraggler(candidate.server, now)) {
        return false;
    }
    const double mean = static_cast<double>(pool.load(target) + 1) / std::max(pool.slots(target), 1U);
    const double load = state.inFlight + state.peersInFlight;
    return load + 1.0 <= std::max(1.0, affinityBound * mean * state.slots);
}

ServerIndex Selector::homeOf(const ServerPool &pool, const SelectionRequest &request) const
{
    ServerIndex home = noServer;
    std::uint64_t highest = 0;
    for (const Candidate &candidate : pool.candidates(request.target)) {
        const std::uint64_t weight = mixedWeight(candidate.nameHash, request.prefixHash);
        const bool isBetter = home == noServer || weight > highest;
        if (isBetter && this->prompts.isOwnLane(request.target, candidate.server, request.prompt->requestClass)) {
            home = candidate.server;
            highest = weight;
        }
    }
    return home;
}

bool Selector::haveAllFailed(const ServerPool &pool, TargetIndex target, TimePoint now)
{
    const std::vector<Candidate> &candidates = pool.candidates(target);
    return std::all_of(candidates.begin(), candidates.end(), [&pool, now](const Candidate &candidate) {
        return pool.server(candidate.server).avoidUntil > now;
    });
}

ServerIndex Selector::byPrompt(const ServerPool &pool, const SelectionRequest &request, TimePoint now)
{
    this->prompts.divide(pool, request.target);
    const ServerIndex home = this->homeOf(pool, request);
    const PromptBounds bounds = this->prompts.boundsOf(*request.prompt);
    // A server that failed lately has nothing unread, and yet no room: it is taken only when all have failed.
    const bool allFailed = this->haveAllFailed(pool, request.target, now);
    ServerIndex best = noServer;
    std::tuple<int, bool, double, std::uint64_t> least;
    for (const Candidate &candidate : pool.candidates(request.target)) {
        const bool isFree = candidate.freePosition != std::numeric_limits<std::uint32_t>::max();
        if (!isFree || (pool.server(candidate.server).cheap && !request.cheapAllowed)) {
            continue;
        }
        const PromptCost cost = this->prompts.cost(pool, candidate, *request.prompt, candidate.server == home, bounds);
        if (!cost.isAllowed) {
            continue;
        }
        if (!allFailed && pool.server(candidate.server).avoidUntil > now) {
            continue;
        }
        const int level = this->penalty(pool, request, candidate.server, now).level;
        // Among equals the rendezvous order decides, so that instances choose the same server for the same beginning.
        const std::uint64_t order = ~mixedWeight(candidate.nameHash, request.prefixHash);
        const std::tuple<int, bool, double, std::uint64_t> rank{level, !cost.isOwnLane, cost.tokens, order};
        if (best == noServer || rank < least) {
            best = candidate.server;
            least = rank;
        }
    }
    return best;
}

ServerIndex Selector::byChoice(const ServerPool &pool, const SelectionRequest &request)
{
    this->views.clear();
    for (const bool cheap : {false, true}) {
        if (cheap && !request.cheapAllowed) {
            continue;
        }
        for (const std::uint32_t position : pool.free(request.target, cheap)) {
            const ServerIndex server = pool.candidates(request.target)[position].server;
            const ServerState &state = pool.server(server);
            this->views.push_back(ServerView{server, state.slots, state.inFlight, state.peersInFlight});
        }
    }
    return this->views.empty() ? noServer : this->views[this->choose(this->views)].server;
}

ServerIndex Selector::byDraws(const ServerPool &pool, const SelectionRequest &request, TimePoint now)
{
    const std::size_t count
        = pool.free(request.target, false).size() + (request.cheapAllowed ? pool.free(request.target, true).size() : 0);
    if (count == 0) {
        return noServer;
    }
    const ServerIndex drawn = this->bestOf(pool, request, now, std::min(count, maxDraws));
    const bool isSpotless = this->penalty(pool, request, drawn, now).level == 0;
    return isSpotless || count <= maxDraws ? drawn : this->bestOf(pool, request, now, count);
}

ServerIndex Selector::bestOf(const ServerPool &pool, const SelectionRequest &request, TimePoint now, std::size_t draws)
{
    const std::vector<std::uint32_t> &reliable = pool.free(request.target, false);
    const std::vector<std::uint32_t> &cheap = pool.free(request.target, true);
    const std::size_t count = reliable.size() + (request.cheapAllowed ? cheap.size() : 0);
    ServerIndex best = noServer;
    Penalty least;
    std::size_t equals = 0;
    // A run of neighbours from a random start: the lists are in no order that means anything.
    std::size_t place = this->random() % count;
    for (std::size_t i = 0; i < draws; ++i, place = place + 1 == count ? 0 : place + 1) {
        const std::uint32_t position = place < reliable.size() ? reliable[place] : cheap[place - reliable.size()];
        const ServerIndex server = pool.candidates(request.target)[position].server;
        const Penalty penalty = this->penalty(pool, request, server, now);
        if (best == noServer || penalty < least) {
            best = server;
            least = penalty;
            equals = 1;
        } else if (penalty == least && ++equals == 2 && expectedTokens(pool.server(server)) < expectedTokens(pool.server(best))) {
            best = server;
        }
    }
    return best;
}

Selector::Penalty Selector::penalty(
    const ServerPool &pool, const SelectionRequest &request, ServerIndex server, TimePoint now) const
{
    const ServerState &state = pool.server(server);
    int level = 0;
    if (state.avoidUntil > now) {
        level += 8;
    }
    if (server == request.failedServer) {
        level += 4;
    } else if (request.failedServer != noServer && state.zone == pool.server(request.failedServer).zone) {
        level += 1;
    }
    if (pool.isStraggler(server, now)) {
        level += 2;
    }
    return Penalty{level, state.inFlight * state.slowdown / std::max(state.slots, 1U)};
}

} // namespace flamingosaddle
