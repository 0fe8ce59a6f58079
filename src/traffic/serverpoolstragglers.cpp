// Detects stragglers from the measured speed of the servers.

#include <flamingosaddle/traffic/serverpool.h>

#include <algorithm>

namespace flamingosaddle
{

void ServerPool::recordFirstToken(ServerIndex index, Duration sinceStart, TimePoint now)
{
    this->servers[index].firstTokenSeconds.add(std::chrono::duration<double>(sinceStart).count());
    this->recordMeasurement(index, now);
}

void ServerPool::recordInterToken(ServerIndex index, Duration perToken, TimePoint now)
{
    this->servers[index].interTokenSeconds.add(std::chrono::duration<double>(perToken).count());
    this->recordMeasurement(index, now);
}

void ServerPool::recordPrefill(ServerIndex index, double slowdown, TimePoint now)
{
    this->servers[index].prefillSlowdown.add(slowdown);
    this->recordMeasurement(index, now);
}

void ServerPool::recordFailure(ServerIndex index, TimePoint now)
{
    ServerState &state = this->servers[index];
    Duration backoff = minBackoff;
    for (std::uint32_t i = 0; i < state.consecutiveFailures && backoff < maxBackoff; ++i) {
        backoff *= 2;
    }
    ++state.consecutiveFailures;
    state.backoffUntil = std::max(state.backoffUntil, now + std::min(backoff, maxBackoff));
}

void ServerPool::recordSuccess(ServerIndex index)
{
    this->servers[index].consecutiveFailures = 0;
    this->servers[index].diedAt.reset();
}

void ServerPool::forgetFailures(TargetIndex target)
{
    for (const Candidate &candidate : this->targets[target].candidates) {
        this->servers[candidate.server].consecutiveFailures = 0;
        this->servers[candidate.server].backoffUntil = TimePoint();
    }
}

void ServerPool::recordDeath(ServerIndex index, TimePoint now)
{
    this->servers[index].diedAt = now;
}

bool ServerPool::isRestarting(ServerIndex index, TimePoint startedAt, TimePoint now) const
{
    const std::optional<TimePoint> &diedAt = this->servers[index].diedAt;
    return diedAt.has_value() && startedAt >= *diedAt && now < *diedAt + restartTime;
}

bool ServerPool::isStraggler(ServerIndex index, TimePoint now) const
{
    const ServerState &state = this->servers[index];
    const bool probeDue = state.inFlight == 0 && now - state.measuredAt >= state.probeDelay;
    return state.slowdown >= stragglerSlowdown && !probeDue;
}

void ServerPool::recordMeasurement(ServerIndex index, TimePoint now)
{
    ServerState &state = this->servers[index];
    state.measuredAt = now;
    for (const TargetMembership &membership : state.memberships) {
        Target &target = this->targets[membership.target];
        if (++target.measurements >= 2 * target.candidates.size() && this->detectsStragglers) {
            target.measurements = 0;
            this->updateSlowdowns(membership.target);
        }
    }
}

void ServerPool::updateSlowdowns(TargetIndex targetIndex)
{
    const Target &target = this->targets[targetIndex];
    const double firstTokenMedian = this->medianOf(target, &ServerState::firstTokenSeconds);
    const double interTokenMedian = this->medianOf(target, &ServerState::interTokenSeconds);
    const double prefillMedian = this->medianOf(target, &ServerState::prefillSlowdown);
    const auto slowdownOf = [](const MovingAverage &measure, double median) {
        return measure.count() < minSamples || median <= 0.0 ? 1.0 : measure.value() / median;
    };
    for (const Candidate &candidate : target.candidates) {
        ServerState &state = this->servers[candidate.server];
        // Inter-token times are preferred because first-token times also depend on prompt length.
        const bool hasInterTokenTimes = state.interTokenSeconds.count() >= minSamples;
        const double responseSlowdown = hasInterTokenTimes ? slowdownOf(state.interTokenSeconds, interTokenMedian)
                                                           : slowdownOf(state.firstTokenSeconds, firstTokenMedian);
        state.slowdown = std::max(1.0, prefillMedian > 0.0 ? slowdownOf(state.prefillSlowdown, prefillMedian) : responseSlowdown);
        state.probeDelay = state.slowdown < stragglerSlowdown ? Duration() : std::max(state.probeDelay, minProbeDelay);
        this->refresh(candidate.server);
    }
}

double ServerPool::medianOf(const Target &target, MovingAverage ServerState::*measure)
{
    this->medianSamples.clear();
    for (const Candidate &candidate : target.candidates) {
        const MovingAverage &average = this->servers[candidate.server].*measure;
        if (average.count() >= minSamples) {
            this->medianSamples.push_back(average.value());
        }
    }
    if (this->medianSamples.empty()) {
        return 0.0;
    }
    const auto middle = this->medianSamples.begin() + static_cast<std::ptrdiff_t>(this->medianSamples.size() / 2);
    std::nth_element(this->medianSamples.begin(), middle, this->medianSamples.end());
    return *middle;
}

} // namespace flamingosaddle
