#include <flamingosaddle/traffic/promptplacement.h>

#include "mixbits.h"

#include <flamingosaddle/base/decay.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingosaddle
{

namespace
{

// Seed for the order in which servers are assigned to short prompts. The value is arbitrary but must be the same on all
// instances.
constexpr std::uint64_t partitionSeed = 0x5c0f7d1b9a3e2461ULL;
constexpr double minSpeed = 1.0; // tokens per millisecond; limits the influence of a stalled engine
constexpr double maxSpeed = 1000.0;
constexpr double minMeasuredTokens = 2000.0; // prompt tokens above which prefill dominates the time to first token

double millisecondsOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void PromptPlacement::noteArrival(const PromptRequest &request, TimePoint now)
{
    if (request.requestClass >= this->classes.size()) {
        this->classes.resize(request.requestClass + 1);
    }
    for (Class &known : this->classes) {
        known.work *= decay(now - known.decayedAt, workHorizon);
        known.decayedAt = now;
    }
    Class &current = this->classes[request.requestClass];
    current.promptTokens.add(request.promptTokens);
    current.objective = request.objective;
    current.tier = request.tier;
    current.work += request.promptTokens + outputWeight * request.outputTokens;
    this->findLanes();
    this->weighLanes();
}

void PromptPlacement::findLanes()
{
    this->means.clear();
    for (const Class &known : this->classes) {
        if (known.promptTokens.count() > 0) {
            this->means.push_back(known.promptTokens.value());
        }
    }
    std::sort(this->means.begin(), this->means.end());
    double widestRatio = laneRatio;
    this->longestShort = 0.0;
    for (std::size_t i = 1; i < this->means.size(); ++i) {
        const double ratio = this->means[i] / std::max(this->means[i - 1], 1.0);
        if (ratio >= widestRatio) {
            widestRatio = ratio;
            this->longestShort = this->means[i - 1];
        }
    }
    this->tightestLong = Duration::max();
    for (ClassIndex index = 0; index < this->classes.size(); ++index) {
        if (this->classes[index].promptTokens.count() > 0 && !this->isShort(index)) {
            this->tightestLong = std::min(this->tightestLong, this->classes[index].objective);
        }
    }
}

bool PromptPlacement::isShort(ClassIndex requestClass) const
{
    return requestClass < this->classes.size() && this->classes[requestClass].promptTokens.value() <= this->longestShort;
}

void PromptPlacement::weighLanes()
{
    double shortWork = 0.0;
    double allWork = 0.0;
    this->longTiers.clear();
    for (ClassIndex index = 0; index < this->classes.size(); ++index) {
        const Class &known = this->classes[index];
        allWork += known.work;
        if (this->isShort(index)) {
            shortWork += known.work;
        } else if (known.work >= 1.0
            && std::find(this->longTiers.begin(), this->longTiers.end(), known.tier) == this->longTiers.end()) {
            // Classes without recent requests need no limit.
            this->longTiers.push_back(known.tier);
        }
    }
    this->shortPart = allWork > 0.0 ? shortWork / allWork : 0.0;
}

std::size_t PromptPlacement::shortCountOf(std::size_t servers) const
{
    if (this->longestShort <= 0.0 || servers < 2) {
        return 0;
    }
    const double wanted = this->shortPart * laneHeadroom * static_cast<double>(servers);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(wanted)), 1, servers / 2);
}

void PromptPlacement::divide(const ServerPool &pool, TargetIndex target)
{
    const std::vector<Candidate> &candidates = pool.candidates(target);
    if (target >= this->divisions.size()) {
        this->divisions.resize(target + 1);
    }
    Division &division = this->divisions[target];
    const std::size_t count = this->shortCountOf(candidates.size());
    if (division.generation == pool.generation() && division.shortCount == count) {
        return;
    }
    division.generation = pool.generation();
    division.shortCount = count;
    this->order.clear();
    for (const Candidate &candidate : candidates) {
        this->order.push_back(
            {{pool.server(candidate.server).cheap, mixBits(candidate.nameHash ^ partitionSeed)}, candidate.server});
        this->stateOf(pool, candidate.server); // resets the state if another server took over the index
    }
    std::partial_sort(this->order.begin(), this->order.begin() + static_cast<std::ptrdiff_t>(count), this->order.end());
    division.forShort.assign(this->servers.size(), false);
    for (std::size_t i = 0; i < count; ++i) {
        division.forShort[this->order[i].second] = true;
    }
}

PromptBounds PromptPlacement::boundsOf(const PromptRequest &request) const
{
    const auto higherTiers = std::count_if(this->longTiers.begin(), this->longTiers.end(), [&request](int known) {
        return known < request.tier;
    });
    const double limit = this->tokensPerMillisecond() * millisecondsOf(this->tightestLong) * unreadPart;
    // A request waits for a cached prefix as long as its current target allows, since a second prefill elsewhere delays all
    // requests.
    const double ownLimit = this->tokensPerMillisecond() * millisecondsOf(request.objective) * unreadPart;
    return {std::ldexp(limit, -static_cast<int>(higherTiers)), ownLimit};
}

bool PromptPlacement::isOwnLane(TargetIndex target, ServerIndex server, ClassIndex requestClass) const
{
    if (this->longestShort <= 0.0) {
        return true;
    }
    const bool servesShort = target < this->divisions.size() && server < this->divisions[target].forShort.size()
        && this->divisions[target].forShort[server];
    return servesShort == this->isShort(requestClass);
}

PromptCost PromptPlacement::cost(const ServerPool &pool, const Candidate &candidate, const PromptRequest &request, bool isHome,
    const PromptBounds &limits) const
{
    const Server *state = this->find(candidate.server);
    const ServerState &server = pool.server(candidate.server);
    const double backlog = state == nullptr ? 0.0 : state->own + state->peers;
    const double cachedProbability = this->keeps(candidate.server, request) ? 1.0 : (isHome ? homeLikelihood : 0.0);
    const double prefillTokens = request.promptTokens - cachedProbability * request.sharedTokens;
    PromptCost cost;
    cost.isOwnLane = this->isOwnLane(request.target, candidate.server, request.requestClass);
    // Processing a prefix that another server caches takes prefill time and cache memory from other requests.
    const double duplicateTokens = lostWeight * (1.0 - cachedProbability) * request.sharedTokens;
    cost.tokens = (backlog + prefillTokens + duplicateTokens) * server.slowdown
        + runningTokens * (server.inFlight + server.peersInFlight) * server.slowdown;
    // A cached prefix needs no prefill, so the server has limit for as many more tokens.
    const double limit = std::max(limits.usual, cachedProbability * limits.whereKept) + cachedProbability * request.sharedTokens;
    const bool isShort = this->isShort(request.requestClass);
    // A long prompt waits rather than stalling the streams of short ones.
    cost.isAllowed = isShort || (cost.isOwnLane && backlog * server.slowdown <= limit);
    return cost;
}

PromptStart PromptPlacement::start(const ServerPool &pool, ServerIndex index, const PromptRequest &request)
{
    Server &state = this->stateOf(pool, index);
    const double prefillTokens = request.promptTokens - (this->keeps(index, request) ? request.sharedTokens : 0);
    const PromptStart work{prefillTokens, state.own + state.peers};
    state.own += prefillTokens;
    if (request.prefixHash != 0) {
        // Later requests with this prefix are processed after this one and find it cached.
        this->keep(state, request.prefixHash);
    }
    return work;
}

void PromptPlacement::noteKept(const ServerPool &pool, ServerIndex index, std::uint64_t prefixHash)
{
    this->keep(this->stateOf(pool, index), prefixHash);
}

void PromptPlacement::keep(Server &server, std::uint64_t prefixHash)
{
    server.prefixes[prefixHash] = ++this->uses;
    if (server.prefixes.size() > maxPrefixes) {
        server.prefixes.erase(
            std::min_element(server.prefixes.begin(), server.prefixes.end(), [](const auto &left, const auto &right) {
                return left.second < right.second;
            }));
    }
}

double PromptPlacement::noteRead(ServerIndex server, const PromptStart &prefill, Duration elapsed)
{
    this->drop(server, prefill.own);
    const double expected = millisecondsOf(firstTokenOverhead) + (prefill.own + prefill.ahead) / this->tokensPerMillisecond();
    if (prefill.own >= minMeasuredTokens && elapsed > Duration::zero()) {
        this->speed.add(std::clamp((prefill.own + prefill.ahead) / millisecondsOf(elapsed), minSpeed, maxSpeed));
    }
    return millisecondsOf(elapsed) / expected;
}

void PromptPlacement::drop(ServerIndex server, double tokens)
{
    Server &state = this->serverAt(server);
    state.own = std::max(0.0, state.own - tokens);
}

void PromptPlacement::reportPeers(ServerIndex server, double tokens)
{
    this->serverAt(server).peers = tokens;
}

double PromptPlacement::unreadHere(ServerIndex server) const
{
    const Server *state = this->find(server);
    return state == nullptr ? 0.0 : state->own;
}

double PromptPlacement::tokensPerMillisecond() const
{
    return this->speed.count() == 0 ? firstTokensPerMillisecond : this->speed.value();
}

bool PromptPlacement::keeps(ServerIndex index, const PromptRequest &request) const
{
    const Server *state = this->find(index);
    return state != nullptr && request.prefixHash != 0 && state->prefixes.contains(request.prefixHash);
}

PromptPlacement::Server &PromptPlacement::stateOf(const ServerPool &pool, ServerIndex index)
{
    Server &state = this->serverAt(index);
    const std::uint64_t nameHash = pool.server(index).nameHash;
    if (state.nameHash != nameHash) {
        state = Server();
        state.nameHash = nameHash;
    }
    return state;
}

PromptPlacement::Server &PromptPlacement::serverAt(ServerIndex index)
{
    if (index >= this->servers.size()) {
        this->servers.resize(index + 1);
    }
    return this->servers[index];
}

const PromptPlacement::Server *PromptPlacement::find(ServerIndex index) const
{
    return index < this->servers.size() ? &this->servers[index] : nullptr;
}

} // namespace flamingosaddle
