// Keeps what servers that limit their requests, or paused, may take.

#include <flamingosaddle/traffic/serverpool.h>

#include <algorithm>

namespace flamingosaddle
{

void ServerPool::setRateShare(ServerIndex index, const std::optional<RateShare> &share, TimePoint now)
{
    ServerState &state = this->servers[index];
    const bool wasLeftToOthers = isLeftToOthers(state);
    if (!share.has_value()) {
        state.rateLimit.reset();
        std::erase(this->rateLimited, index);
    } else if (state.rateLimit.has_value()) {
        state.rateLimit->setRate(share->requestsPerSecond, share->burst, now);
    } else {
        state.rateLimit.emplace(share->requestsPerSecond, share->burst, share->initialTokens, now);
        this->rateLimited.push_back(index);
    }
    if (isLeftToOthers(state) != wasLeftToOthers) {
        this->rebuildTargets();
    } else {
        this->refresh(index);
    }
}

void ServerPool::setRejectionShare(ServerIndex index, const std::optional<RejectionShare> &share)
{
    ServerState &state = this->servers[index];
    const bool wasLeftToOthers = isLeftToOthers(state);
    std::erase(this->rejectionLimited, index);
    if (share.has_value()) {
        this->rejectionLimited.push_back(index);
    } else {
        state.recentStarts.clear();
    }
    state.rejectionShare = share;
    if (isLeftToOthers(state) != wasLeftToOthers) {
        this->rebuildTargets();
    } else {
        this->refresh(index);
    }
}

void ServerPool::recordStart(ServerIndex index, TimePoint now)
{
    ServerState &state = this->servers[index];
    if (state.rejectionShare.has_value()) {
        state.recentStarts.push_back(now);
        this->refresh(index);
    }
    this->recordColdStart(index, now);
}

void ServerPool::forgetConfirmedStarts(TimePoint now)
{
    for (const ServerIndex index : this->rejectionLimited) {
        std::deque<TimePoint> &starts = this->servers[index].recentStarts;
        const std::size_t before = starts.size();
        while (!starts.empty() && now - starts.front() >= RejectionLimits::confirmationTime) {
            starts.pop_front();
        }
        if (starts.size() != before) {
            this->refresh(index);
        }
    }
}

void ServerPool::pause(ServerIndex index, TimePoint until)
{
    ServerState &state = this->servers[index];
    if (!state.pausedUntil.has_value()) {
        this->paused.push_back(index);
    }
    state.pausedUntil = std::max(state.pausedUntil.value_or(until), until);
    this->refresh(index);
}

void ServerPool::endPauses(TimePoint now)
{
    std::vector<ServerIndex> ended;
    std::erase_if(this->paused, [this, now, &ended](ServerIndex index) {
        ServerState &state = this->servers[index];
        if (*state.pausedUntil > now) {
            return false;
        }
        state.pausedUntil.reset();
        this->refresh(index);
        ended.push_back(index);
        return true;
    });
    for (const ServerIndex index : ended) {
        this->removeIfUnused(this->servers[index]);
    }
}

void ServerPool::advanceTo(TimePoint now)
{
    this->endPauses(now);
    this->forgetConfirmedStarts(now);
    this->forgetColdStarts(now);
    for (const ServerIndex index : this->rateLimited) {
        TokenBucket &bucket = *this->servers[index].rateLimit;
        const std::uint32_t before = bucket.wholeTokens();
        bucket.refill(now);
        if (bucket.wholeTokens() != before) {
            this->refresh(index);
        }
    }
}

RateLimitedCapacity ServerPool::rateLimitedCapacity(TargetIndex target) const
{
    RateLimitedCapacity capacity;
    const auto add = [this, target, &capacity](const ServerState &state, double startsPerSecond) {
        for (const TargetMembership &membership : state.memberships) {
            if (membership.target != target) {
                continue;
            }
            capacity.localInFlight += membership.inFlight;
            if (this->isUsable(state)) {
                capacity.startsPerSecond += startsPerSecond;
                capacity.freeSlots += this->targets[target].candidates[membership.position].freeSlots;
            }
        }
    };
    for (const ServerIndex index : this->rateLimited) {
        add(this->servers[index], this->servers[index].rateLimit->tokensPerSecond());
    }
    for (const ServerIndex index : this->cold) {
        const ServerState &state = this->servers[index];
        if (!state.rateLimit.has_value()) {
            add(state, state.cold->share / std::chrono::duration<double>(ColdServers::window).count());
        }
    }
    return capacity;
}

std::optional<TimePoint> ServerPool::nextDelayedStart() const
{
    std::optional<TimePoint> earliest;
    const auto add = [this, &earliest](ServerIndex index, std::optional<TimePoint> next) {
        if (next.has_value() && this->isUsable(this->servers[index])) {
            earliest = std::min(earliest.value_or(*next), *next);
        }
    };
    for (const ServerIndex index : this->rateLimited) {
        add(index, this->servers[index].rateLimit->nextTokenAt());
    }
    for (const ServerIndex index : this->paused) {
        add(index, this->servers[index].pausedUntil);
    }
    for (const ServerIndex index : this->cold) {
        add(index, this->nextColdStart(index));
    }
    for (const ServerIndex index : this->rejectionLimited) {
        const ServerState &state = this->servers[index];
        if (state.recentStarts.size() >= state.rejectionShare->starts && !state.recentStarts.empty()) {
            add(index, state.recentStarts.front() + RejectionLimits::confirmationTime);
        }
    }
    return earliest;
}

std::optional<TimePoint> ServerPool::pausedUntil(TargetIndex target) const
{
    if (this->paused.empty() && this->cold.empty()) {
        return std::nullopt;
    }
    std::optional<TimePoint> earliest;
    for (const Candidate &candidate : this->targets[target].candidates) {
        const std::optional<TimePoint> until = unusableUntil(this->servers[candidate.server]);
        if (!until.has_value()) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(*until), *until);
    }
    return earliest;
}

} // namespace flamingosaddle
