// Keeps which backend servers are cold, or may be, and what this instance may start on them.

#include <flamingosaddle/traffic/serverpool.h>

#include <algorithm>

namespace flamingosaddle
{

void ServerPool::updateColdState(ServerIndex index, const BackendServer &server)
{
    ServerState &state = this->servers[index];
    if (server.coldRequestsPerSecond <= 0.0) {
        if (state.cold.has_value()) {
            state.cold.reset();
            std::erase(this->cold, index);
            std::erase(this->coldProne, index);
        }
        return;
    }
    if (!state.cold.has_value()) {
        state.cold.emplace();
        this->coldProne.push_back(index);
    }
    state.cold->requestsPerSecond = server.coldRequestsPerSecond;
    state.cold->statedUntil = server.coldUntil;
}

void ServerPool::keepStarts(ServerIndex index, std::uint32_t starts)
{
    this->servers[index].cold->starts.keep(starts);
}

void ServerPool::recordColdStart(ServerIndex index, TimePoint now)
{
    std::optional<ColdState> &state = this->servers[index].cold;
    if (state.has_value()) {
        state->starts.expire(now);
        state->starts.record(now);
        this->refresh(index);
    }
}

bool ServerPool::isIn(ServerIndex index, const DataCentre &dataCentre) const
{
    return this->dataCentreNames.name(this->servers[index].dataCentre) == dataCentre;
}

void ServerPool::setCold(ServerIndex index, std::optional<ColdReason> reason, std::uint32_t share)
{
    ColdState &state = *this->servers[index].cold;
    if (reason.has_value() != state.reason.has_value()) {
        if (reason.has_value()) {
            this->cold.push_back(index);
        } else {
            std::erase(this->cold, index);
        }
    }
    state.reason = reason;
    state.share = share;
    this->refresh(index);
}

void ServerPool::suspectCold(ServerIndex index, ColdReason reason, TimePoint now)
{
    std::optional<ColdState> &state = this->servers[index].cold;
    if (state.has_value()) {
        const Duration wait = reason == ColdReason::Returned ? ColdServers::statementTime : ColdServers::restartStatementTime;
        const bool isLater = !state->suspicion.has_value() || now + wait > state->suspectedUntil;
        if (isLater) {
            state->suspicion = reason;
            state->suspectedUntil = now + wait;
        }
    }
}

void ServerPool::recordServersConfirmed(TimePoint confirmedAt)
{
    this->serversConfirmedAt = std::max(this->serversConfirmedAt.value_or(confirmedAt), confirmedAt);
}

std::optional<ColdReason> ServerPool::coldReason(ServerIndex index, TimePoint now) const
{
    const ServerState &state = this->servers[index];
    if (!state.cold.has_value() || !state.present) {
        return std::nullopt;
    }
    if (state.cold->statedUntil > now) {
        return ColdReason::Stated;
    }
    if (state.cold->suspicion.has_value() && !this->isSuspicionAnswered(*state.cold)) {
        return state.cold->suspicion;
    }
    if (state.missing) {
        return ColdReason::Missing;
    }
    const bool isStale = this->serversConfirmedAt.has_value() && now - *this->serversConfirmedAt >= ColdServers::staleTime;
    return isStale ? std::optional(ColdReason::Stale) : std::nullopt;
}

bool ServerPool::isSuspicionAnswered(const ColdState &state) const
{
    return this->serversConfirmedAt.has_value() && *this->serversConfirmedAt >= state.suspectedUntil;
}

void ServerPool::forgetColdStarts(TimePoint now)
{
    for (const ServerIndex index : this->cold) {
        if (this->servers[index].cold->starts.expire(now)) {
            this->refresh(index);
        }
    }
}

std::optional<TimePoint> ServerPool::nextColdStart(ServerIndex index) const
{
    const ColdState &state = *this->servers[index].cold;
    const std::optional<TimePoint> nextStart = state.starts.nextStart(state.share);
    if (state.reason != ColdReason::Stated) {
        return nextStart;
    }
    return std::min(nextStart.value_or(state.statedUntil), state.statedUntil);
}

std::optional<TimePoint> ServerPool::unusableUntil(const ServerState &state)
{
    if (state.pausedUntil.has_value()) {
        return state.pausedUntil;
    }
    const bool isLeftToOthers = state.cold.has_value() && state.cold->reason.has_value() && state.cold->share == 0;
    if (!isLeftToOthers) {
        return std::nullopt;
    }
    if (state.cold->reason == ColdReason::Stated) {
        return state.cold->statedUntil;
    }
    return state.cold->reason == state.cold->suspicion ? std::optional(state.cold->suspectedUntil) : std::nullopt;
}

} // namespace flamingosaddle
