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

void PromptPlacement::recordArrival(const PromptRequest &request, TimePoint now)
{
    if (request.requestClass >= this->classes.size()) {
        this->classes.resize(request.requestClass + 1);
    }
    for (Class &known : this->classes) {
        known.work *= decay(now - known.decayedAt, workTimeConstant);
        known.decayedAt = now;
    }
    Class &current = this->classes[request.requestClass];
    current.promptTokens.add(request.promptTokens);
    current.firstTokenTarget = request.firstTokenTarget;
    current.tier = request.tier;
    current.work += request.promptTokens + outputTokenWeight * request.outputTokens;
    this->classifyLengths();
    this->updateWorkShares();
}

void PromptPlacement::classifyLengths()
{
    this->classMeans.clear();
    for (const Class &known : this->classes) {
        if (known.promptTokens.count() > 0) {
            this->classMeans.push_back(known.promptTokens.value());
        }
    }
    std::sort(this->classMeans.begin(), this->classMeans.end());
    double widestRatio = minLengthRatio;
    this->maxShortMean = 0.0;
    for (std::size_t i = 1; i < this->classMeans.size(); ++i) {
        const double ratio = this->classMeans[i] / std::max(this->classMeans[i - 1], 1.0);
        if (ratio >= widestRatio) {
            widestRatio = ratio;
            this->maxShortMean = this->classMeans[i - 1];
        }
    }
    this->tightestLongTarget = Duration::max();
    for (ClassIndex index = 0; index < this->classes.size(); ++index) {
        if (this->classes[index].promptTokens.count() > 0 && !this->isShortPromptClass(index)) {
            this->tightestLongTarget = std::min(this->tightestLongTarget, this->classes[index].firstTokenTarget);
        }
    }
}

bool PromptPlacement::isShortPromptClass(ClassIndex requestClass) const
{
    return requestClass < this->classes.size() && this->classes[requestClass].promptTokens.value() <= this->maxShortMean;
}

void PromptPlacement::updateWorkShares()
{
    double shortWork = 0.0;
    double allWork = 0.0;
    this->longTiers.clear();
    for (ClassIndex index = 0; index < this->classes.size(); ++index) {
        const Class &known = this->classes[index];
        allWork += known.work;
        if (this->isShortPromptClass(index)) {
            shortWork += known.work;
        } else if (known.work >= 1.0
            && std::find(this->longTiers.begin(), this->longTiers.end(), known.tier) == this->longTiers.end()) {
            // Classes without recent requests need no room.
            this->longTiers.push_back(known.tier);
        }
    }
    this->shortWorkFraction = allWork > 0.0 ? shortWork / allWork : 0.0;
}

std::size_t PromptPlacement::shortServerCount(std::size_t servers) const
{
    if (this->maxShortMean <= 0.0 || servers < 2) {
        return 0;
    }
    const double wanted = this->shortWorkFraction * shortPartitionHeadroom * static_cast<double>(servers);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(wanted)), 1, servers / 2);
}

void PromptPlacement::updatePartition(const ServerPool &pool, TargetIndex target)
{
    const std::vector<Candidate> &candidates = pool.candidates(target);
    if (target >= this->partitions.size()) {
        this->partitions.resize(target + 1);
    }
    Partition &partition = this->partitions[target];
    const std::size_t count = this->shortServerCount(candidates.size());
    if (partition.poolGeneration == pool.generation() && partition.shortCount == count) {
        return;
    }
    partition.poolGeneration = pool.generation();
    partition.shortCount = count;
    this->partitionOrder.clear();
    for (const Candidate &candidate : candidates) {
        this->partitionOrder.push_back(
            {{pool.server(candidate.server).cheap, mixBits(candidate.nameHash ^ partitionSeed)}, candidate.server});
        this->resetIfReplaced(pool, candidate.server); // resets the state if another server took over the index
    }
    std::partial_sort(this->partitionOrder.begin(), this->partitionOrder.begin() + static_cast<std::ptrdiff_t>(count),
        this->partitionOrder.end());
    partition.servesShort.assign(this->servers.size(), false);
    for (std::size_t i = 0; i < count; ++i) {
        partition.servesShort[this->partitionOrder[i].second] = true;
    }
}

BacklogLimits PromptPlacement::backlogLimits(const PromptRequest &request) const
{
    const auto higherTiers = std::count_if(this->longTiers.begin(), this->longTiers.end(), [&request](int known) {
        return known < request.tier;
    });
    const double limit = this->tokensPerMillisecond() * millisecondsOf(this->tightestLongTarget) * maxBacklogFraction;
    // A request waits for a cached prefix as long as its own target allows, since a second prefill elsewhere delays all
    // requests.
    const double ownLimit = this->tokensPerMillisecond() * millisecondsOf(request.firstTokenTarget) * maxBacklogFraction;
    return {std::ldexp(limit, -static_cast<int>(higherTiers)), ownLimit};
}

bool PromptPlacement::isOwnPartition(TargetIndex target, ServerIndex server, ClassIndex requestClass) const
{
    if (this->maxShortMean <= 0.0) {
        return true;
    }
    const bool servesShort = target < this->partitions.size() && server < this->partitions[target].servesShort.size()
        && this->partitions[target].servesShort[server];
    return servesShort == this->isShortPromptClass(requestClass);
}

PromptCost PromptPlacement::cost(const ServerPool &pool, const Candidate &candidate, const PromptRequest &request, bool isHome,
    const BacklogLimits &limits) const
{
    const Server *state = this->findServer(candidate.server);
    const ServerState &server = pool.server(candidate.server);
    const double backlog = state == nullptr ? 0.0 : state->localBacklog + state->peerBacklog;
    const double cachedProbability
        = this->isPrefixCached(candidate.server, request) ? 1.0 : (isHome ? homeCachedProbability : 0.0);
    const double prefillTokens = request.promptTokens - cachedProbability * request.sharedTokens;
    PromptCost cost;
    cost.isOwnPartition = this->isOwnPartition(request.target, candidate.server, request.requestClass);
    // Processing a prefix that another server caches takes prefill time and cache memory from other requests.
    const double duplicateTokens = duplicatePrefillWeight * (1.0 - cachedProbability) * request.sharedTokens;
    cost.tokens = (backlog + prefillTokens + duplicateTokens) * server.slowdown
        + runningRequestTokens * (server.inFlight + server.peersInFlight) * server.slowdown;
    // A cached prefix needs no prefill, so the server has room for as many more tokens.
    const double limit = std::max(limits.uncached, cachedProbability * limits.cached) + cachedProbability * request.sharedTokens;
    const bool isShort = this->isShortPromptClass(request.requestClass);
    // A long prompt waits rather than stalling the streams of short ones.
    cost.isAllowed = isShort || (cost.isOwnPartition && backlog * server.slowdown <= limit);
    return cost;
}

PrefillWork PromptPlacement::startPrefill(const ServerPool &pool, ServerIndex index, const PromptRequest &request)
{
    Server &state = this->resetIfReplaced(pool, index);
    const double prefillTokens = request.promptTokens - (this->isPrefixCached(index, request) ? request.sharedTokens : 0);
    const PrefillWork work{prefillTokens, state.localBacklog + state.peerBacklog};
    state.localBacklog += prefillTokens;
    if (request.prefixHash != 0) {
        // Later requests with this prefix are processed after this one and find it cached.
        this->recordCachedPrefix(state, request.prefixHash);
    }
    return work;
}

void PromptPlacement::applyPeerPrefill(const ServerPool &pool, ServerIndex index, std::uint64_t prefixHash)
{
    this->recordCachedPrefix(this->resetIfReplaced(pool, index), prefixHash);
}

void PromptPlacement::recordCachedPrefix(Server &server, std::uint64_t prefixHash)
{
    server.lastUses[prefixHash] = ++this->useCount;
    if (server.lastUses.size() > maxPrefixesPerServer) {
        server.lastUses.erase(
            std::min_element(server.lastUses.begin(), server.lastUses.end(), [](const auto &left, const auto &right) {
                return left.second < right.second;
            }));
    }
}

double PromptPlacement::recordPrefill(ServerIndex server, const PrefillWork &prefill, Duration elapsed)
{
    this->cancelPrefill(server, prefill.localTokens);
    const double expected
        = millisecondsOf(firstTokenOverhead) + (prefill.localTokens + prefill.tokensAhead) / this->tokensPerMillisecond();
    if (prefill.localTokens >= minMeasuredTokens && elapsed > Duration::zero()) {
        this->prefillSpeed.add(
            std::clamp((prefill.localTokens + prefill.tokensAhead) / millisecondsOf(elapsed), minSpeed, maxSpeed));
    }
    return millisecondsOf(elapsed) / expected;
}

void PromptPlacement::cancelPrefill(ServerIndex server, double tokens)
{
    Server &state = this->serverAt(server);
    state.localBacklog = std::max(0.0, state.localBacklog - tokens);
}

void PromptPlacement::forgetPrefixes(ServerIndex server)
{
    this->serverAt(server).lastUses.clear();
}

void PromptPlacement::applyPeerBacklog(ServerIndex server, double tokens)
{
    this->serverAt(server).peerBacklog = tokens;
}

double PromptPlacement::localBacklogTokens(ServerIndex server) const
{
    const Server *state = this->findServer(server);
    return state == nullptr ? 0.0 : state->localBacklog;
}

double PromptPlacement::tokensPerMillisecond() const
{
    return this->prefillSpeed.count() == 0 ? defaultTokensPerMillisecond : this->prefillSpeed.value();
}

bool PromptPlacement::isPrefixCached(ServerIndex index, const PromptRequest &request) const
{
    const Server *state = this->findServer(index);
    return state != nullptr && request.prefixHash != 0 && state->lastUses.contains(request.prefixHash);
}

PromptPlacement::Server &PromptPlacement::resetIfReplaced(const ServerPool &pool, ServerIndex index)
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

const PromptPlacement::Server *PromptPlacement::findServer(ServerIndex index) const
{
    return index < this->servers.size() ? &this->servers[index] : nullptr;
}

} // namespace flamingosaddle
