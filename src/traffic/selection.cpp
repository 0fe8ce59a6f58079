#include <flamingosaddle/traffic/selection.h>

#include "mixbits.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace flamingosaddle
{

namespace
{

constexpr double defaultRequestTokens = 500.0; // tokens assumed for a peer's request until they have been measured

// Combines a server's hash and a prefix hash to a rendezvous weight.
std::uint64_t rendezvousWeight(std::uint64_t nameHash, std::uint64_t prefixHash)
{
    return mixBits(nameHash ^ (prefixHash * 0x9e3779b97f4a7c15ULL));
}

double expectedTokens(const ServerState &state)
{
    const double tokensPerRequest = state.inFlight > 0 ? state.localTokens / state.inFlight : defaultRequestTokens;
    const double expected = state.localTokens + state.peersInFlight * tokensPerRequest;
    return std::max(expected, static_cast<double>(state.reportedTokens)) * state.slowdown / std::max(state.slots, 1U);
}

} // namespace

Selector::Selector(std::uint64_t seed, SelectionPolicy policy)
    : random(seed)
    , policy(std::move(policy))
{
}

ServerIndex Selector::select(const ServerPool &pool, const SelectionRequest &request, TimePoint now)
{
    if (this->policy) {
        return this->selectByPolicy(pool, request);
    }
    if (request.prompt != nullptr) {
        return this->selectByPrompt(pool, request, now);
    }
    const ServerIndex preferred = request.prefixHash == 0 ? noServer : this->selectByAffinity(pool, request, now);
    return preferred == noServer ? this->selectBySampling(pool, request, now) : preferred;
}

ServerIndex Selector::selectByAffinity(const ServerPool &pool, const SelectionRequest &request, TimePoint now) const
{
    const Candidate *first = nullptr;
    const Candidate *second = nullptr;
    std::uint64_t firstWeight = 0;
    std::uint64_t secondWeight = 0;
    for (const Candidate &candidate : pool.candidates(request.target)) {
        const std::uint64_t weight = rendezvousWeight(candidate.nameHash, request.prefixHash);
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
            && this->isWithinAffinityBound(pool, request.target, *candidate, now)) {
            return candidate->server;
        }
    }
    return noServer;
}

bool Selector::isWithinAffinityBound(const ServerPool &pool, TargetIndex target, const Candidate &candidate, TimePoint now) const
{
    const ServerState &state = pool.server(candidate.server);
    const bool isFree = candidate.freePosition != std::numeric_limits<std::uint32_t>::max();
    if (!isFree || state.missing || state.backoffUntil > now || pool.isStraggler(candidate.server, now)) {
        return false;
    }
    const double mean = static_cast<double>(pool.load(target) + 1) / std::max(pool.slots(target), 1U);
    const double load = state.inFlight + state.peersInFlight;
    return load + 1.0 <= std::max(1.0, affinityBound * mean * state.slots);
}

ServerIndex Selector::homeServer(const ServerPool &pool, const SelectionRequest &request) const
{
    ServerIndex home = noServer;
    std::uint64_t highest = 0;
    for (const Candidate &candidate : pool.candidates(request.target)) {
        const std::uint64_t weight = rendezvousWeight(candidate.nameHash, request.prefixHash);
        const bool isBetter = home == noServer || weight > highest;
        if (isBetter && this->promptPlacement.isOwnPartition(request.target, candidate.server, request.prompt->requestClass)) {
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
        return pool.server(candidate.server).backoffUntil > now;
    });
}

ServerIndex Selector::selectByPrompt(const ServerPool &pool, const SelectionRequest &request, TimePoint now)
{
    this->promptPlacement.updatePartition(pool, request.target);
    const ServerIndex home = this->homeServer(pool, request);
    const BacklogLimits bounds = this->promptPlacement.backlogLimits(*request.prompt);
    const std::optional<DataCentreIndex> own = pool.ownDataCentre();
    const double distance = own.has_value() ? this->distanceTokens(*request.prompt) : 0.0;
    // A server that failed recently has no backlog and would look attractive, so it is used only if all servers have failed.
    const bool allFailed = this->haveAllFailed(pool, request.target, now);
    ServerIndex best = noServer;
    std::tuple<int, bool, double, std::uint64_t> lowest;
    for (const Candidate &candidate : pool.candidates(request.target)) {
        const bool isFree = candidate.freePosition != std::numeric_limits<std::uint32_t>::max();
        if (!isFree || (pool.server(candidate.server).cheap && !request.cheapAllowed)) {
            continue;
        }
        const PromptCost cost = this->promptPlacement.cost(pool, candidate, *request.prompt, candidate.server == home, bounds);
        if (!cost.isAllowed) {
            continue;
        }
        if (!allFailed && pool.server(candidate.server).backoffUntil > now) {
            continue;
        }
        const int level = this->penalty(pool, request, std::nullopt, candidate.server, now).level;
        const bool isRemote = own.has_value() && pool.server(candidate.server).dataCentre != *own;
        // Ties are broken by rendezvous weight, so that instances choose the same server for the same prefix.
        const std::uint64_t order = ~rendezvousWeight(candidate.nameHash, request.prefixHash);
        const std::tuple<int, bool, double, std::uint64_t> rank{
            level, !cost.isOwnPartition, cost.tokens + (isRemote ? distance : 0.0), order};
        if (best == noServer || rank < lowest) {
            best = candidate.server;
            lowest = rank;
        }
    }
    return best;
}

ServerIndex Selector::selectByPolicy(const ServerPool &pool, const SelectionRequest &request)
{
    this->views.clear();
    for (const bool cheap : {false, true}) {
        if (cheap && !request.cheapAllowed) {
            continue;
        }
        for (const std::uint32_t position : pool.freeCandidates(request.target, cheap)) {
            const ServerIndex server = pool.candidates(request.target)[position].server;
            const ServerState &state = pool.server(server);
            this->views.push_back(ServerView{server, state.slots, state.inFlight, state.peersInFlight});
        }
    }
    return this->views.empty() ? noServer : this->views[this->policy(this->views)].server;
}

double Selector::distanceTokens(const PromptRequest &request) const
{
    const double milliseconds
        = std::chrono::duration<double, std::milli>(this->distanceCost.of(request.promptTokens, request.outputTokens)).count();
    return milliseconds * this->promptPlacement.tokensPerMillisecond();
}

std::optional<DataCentreIndex> Selector::preferredDataCentre(const ServerPool &pool, TargetIndex target, TimePoint now)
{
    const std::optional<DataCentreIndex> own = pool.ownDataCentre();
    if (!own.has_value() || pool.dataCentreCount() < 2 || this->distanceCost == DistanceCost()) {
        return std::nullopt;
    }
    if (target >= this->shares.size()) {
        this->shares.resize(target + 1);
    }
    if (this->shares[target].isDue(now)) {
        this->updateShares(pool, target, *own, now);
    }
    constexpr auto range = static_cast<double>(std::mt19937_64::max());
    const bool stays = static_cast<double>(this->random()) / range < this->shares[target].stayingShare();
    return stays ? own : std::nullopt;
}

void Selector::updateShares(const ServerPool &pool, TargetIndex target, DataCentreIndex own, TimePoint now)
{
    DataCentreLoad ownLoad;
    DataCentreLoad othersLoad;
    std::uint64_t ownMeasurements = 0;
    std::uint64_t othersMeasurements = 0;
    for (const Candidate &candidate : pool.candidates(target)) {
        const ServerState &state = pool.server(candidate.server);
        if (state.missing || state.backoffUntil > now || state.pausedUntil.has_value()) {
            continue;
        }
        DataCentreLoad &load = state.dataCentre == own ? ownLoad : othersLoad;
        const double inFlight = state.inFlight + state.peersInFlight;
        load.slots += inFlight + candidate.freeSlots;
        load.inFlight += inFlight;
        load.firstByteSeconds += state.firstTokenSeconds.value() * static_cast<double>(state.firstTokenSeconds.count());
        (state.dataCentre == own ? ownMeasurements : othersMeasurements) += state.firstTokenSeconds.count();
    }
    const auto mean = [](double sum, std::uint64_t measurements) {
        return measurements < ServerPool::minSamples ? 0.0 : sum / static_cast<double>(measurements);
    };
    ownLoad.firstByteSeconds = mean(ownLoad.firstByteSeconds, ownMeasurements);
    othersLoad.firstByteSeconds = mean(othersLoad.firstByteSeconds, othersMeasurements);
    this->shares[target].update(ownLoad, othersLoad, now);
}

ServerIndex Selector::selectBySampling(const ServerPool &pool, const SelectionRequest &request, TimePoint now)
{
    const std::size_t count = pool.freeCandidates(request.target, false).size()
        + (request.cheapAllowed ? pool.freeCandidates(request.target, true).size() : 0);
    if (count == 0) {
        return noServer;
    }
    const std::optional<DataCentreIndex> preferred = this->preferredDataCentre(pool, request.target, now);
    const std::size_t samples = maxSamples * (preferred.has_value() ? pool.dataCentreCount() : 1);
    const ServerIndex sampled = this->bestOfSample(pool, request, preferred, now, std::min(count, samples));
    const bool hasNoPenalty = this->penalty(pool, request, preferred, sampled, now).level == 0;
    return hasNoPenalty || count <= samples ? sampled : this->bestOfSample(pool, request, preferred, now, count);
}

ServerIndex Selector::bestOfSample(const ServerPool &pool, const SelectionRequest &request,
    std::optional<DataCentreIndex> preferred, TimePoint now, std::size_t samples)
{
    const std::vector<std::uint32_t> &ordinary = pool.freeCandidates(request.target, false);
    const std::vector<std::uint32_t> &cheap = pool.freeCandidates(request.target, true);
    const std::size_t count = ordinary.size() + (request.cheapAllowed ? cheap.size() : 0);
    ServerIndex best = noServer;
    Penalty lowest;
    std::size_t ties = 0;
    // Samples consecutive entries from a random start. The lists have no meaningful order, so neighbours are not correlated.
    std::size_t offset = this->random() % count;
    for (std::size_t i = 0; i < samples; ++i, offset = offset + 1 == count ? 0 : offset + 1) {
        const std::uint32_t position = offset < ordinary.size() ? ordinary[offset] : cheap[offset - ordinary.size()];
        const ServerIndex server = pool.candidates(request.target)[position].server;
        const Penalty penalty = this->penalty(pool, request, preferred, server, now);
        if (best == noServer || penalty < lowest) {
            best = server;
            lowest = penalty;
            ties = 1;
        } else if (penalty == lowest && ++ties == 2 && expectedTokens(pool.server(server)) < expectedTokens(pool.server(best))) {
            best = server;
        }
    }
    return best;
}

Selector::Penalty Selector::penalty(const ServerPool &pool, const SelectionRequest &request,
    std::optional<DataCentreIndex> preferred, ServerIndex server, TimePoint now) const
{
    const ServerState &state = pool.server(server);
    int level = 0;
    if (state.missing) {
        level += 16;
    }
    if (state.backoffUntil > now) {
        level += 8;
    }
    if (server == request.failedServer) {
        level += 4;
    } else if (request.failedServer != noServer && state.dataCentre == pool.server(request.failedServer).dataCentre) {
        level += 1;
    }
    if (pool.isStraggler(server, now)) {
        level += 2;
    }
    const bool isElsewhere = preferred.has_value() && state.dataCentre != *preferred;
    return Penalty{level, isElsewhere, state.inFlight * state.slowdown / std::max(state.slots, 1U)};
}

} // namespace flamingosaddle
