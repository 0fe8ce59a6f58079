// Detects stragglers from the measured speed of the servers.

#include <flamingosaddle/traffic/serverpool.h>

#include <algorithm>

namespace flamingosaddle
{

void ServerPool::noteFirstToken(ServerIndex index, Duration sinceStart, TimePoint now)
{
    this->servers[index].firstTokenSeconds.add(std::chrono::duration<double>(sinceStart).count());
    this->noteMeasured(index, now);
}

void ServerPool::noteInterToken(ServerIndex index, Duration perToken, TimePoint now)
{
    this->servers[index].interTokenSeconds.add(std::chrono::duration<double>(perToken).count());
    this->noteMeasured(index, now);
}

void ServerPool::noteReading(ServerIndex index, double slowdown, TimePoint now)
{
    this->servers[index].readingPace.add(slowdown);
    this->noteMeasured(index, now);
}

void ServerPool::noteFailure(ServerIndex index, TimePoint now)
{
    ServerState &state = this->servers[index];
    Duration backoff = firstBackoff;
    for (std::uint32_t i = 0; i < state.failures && backoff < longestBackoff; ++i) {
        backoff *= 2;
    }
    ++state.failures;
    state.avoidUntil = std::max(state.avoidUntil, now + std::min(backoff, longestBackoff));
}

void ServerPool::noteSuccess(ServerIndex index)
{
    this->servers[index].failures = 0;
}

bool ServerPool::isStraggler(ServerIndex index, TimePoint now) const
{
    const ServerState &state = this->servers[index];
    const bool probeDue = state.inFlight == 0 && now - state.measuredAt >= state.probeWait;
    return state.slowdown >= stragglerSlowdown && !probeDue;
}

void ServerPool::noteMeasured(ServerIndex index, TimePoint now)
{
    ServerState &state = this->servers[index];
    state.measuredAt = now;
    for (const ServerPlace &membership : state.places) {
        Target &target = this->targets[membership.target];
        if (++target.observations >= 2 * target.candidates.size() && this->speedJudged) {
            target.observations = 0;
            this->judge(membership.target);
        }
    }
}

void ServerPool::judge(TargetIndex targetIndex)
{
    const Target &target = this->targets[targetIndex];
    const double firstToken = this->medianOf(target, &ServerState::firstTokenSeconds);
    const double interToken = this->medianOf(target, &ServerState::interTokenSeconds);
    const double prefill = this->medianOf(target, &ServerState::readingPace);
    const auto slowdownOf = [](const MovingAverage &measure, double median) {
        return measure.count() < minSamples || median <= 0.0 ? 1.0 : measure.value() / median;
    };
    for (const Candidate &candidate : target.candidates) {
        ServerState &state = this->servers[candidate.server];
        // Inter-token times are preferred because first-token times also depend on prompt length.
        const bool hasInterTokenTimes = state.interTokenSeconds.count() >= minSamples;
        const double responseSlowdown = hasInterTokenTimes ? slowdownOf(state.interTokenSeconds, interToken)
                                                           : slowdownOf(state.firstTokenSeconds, firstToken);
        state.slowdown = std::max(1.0, prefill > 0.0 ? slowdownOf(state.readingPace, prefill) : responseSlowdown);
        state.probeWait = state.slowdown < stragglerSlowdown ? Duration() : std::max(state.probeWait, firstProbeWait);
        this->refresh(candidate.server);
    }
}

double ServerPool::medianOf(const Target &target, MovingAverage ServerState::*measure)
{
    this->scratch.clear();
    for (const Candidate &candidate : target.candidates) {
        const MovingAverage &average = this->servers[candidate.server].*measure;
        if (average.count() >= minSamples) {
            this->scratch.push_back(average.value());
        }
    }
    if (this->scratch.empty()) {
        return 0.0;
    }
    const auto middle = this->scratch.begin() + static_cast<std::ptrdiff_t>(this->scratch.size() / 2);
    std::nth_element(this->scratch.begin(), middle, this->scratch.end());
    return *middle;
}

} // namespace flamingosaddle
