#include <flamingosaddle/traffic/promptbacklog.h>

#include <flamingosaddle/base/decay.h>

#include <algorithm>

namespace flamingosaddle
{

namespace
{

// Before it the rate of starts says nothing of a line that has just formed.
constexpr Duration shortestMeasure = std::chrono::milliseconds(500);
constexpr double slowestTokensPerSecond = 100.0; // bounds the wait that is expected of servers that have stalled

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void PromptBacklog::noteWaiting(int tier, double tokens, TimePoint now)
{
    const bool wasEmpty = std::all_of(this->waiting.begin(), this->waiting.end(), [](const auto &line) {
        return line.second <= 0.0;
    });
    if (wasEmpty) {
        this->busySince = now;
    }
    this->waiting[tier] += tokens;
}

void PromptBacklog::noteEnd(int tier, double tokens, bool started, TimePoint now)
{
    double &line = this->waiting[tier];
    line = std::max(0.0, line - tokens);
    if (started) {
        this->started = this->started * decay(now - this->decayedAt, horizon) + tokens;
        this->decayedAt = now;
    }
}

double PromptBacklog::startedPerSecond(TimePoint now) const
{
    return this->started * decay(now - this->decayedAt, horizon) / secondsOf(horizon);
}

Duration PromptBacklog::expectedWait(int tier, TimePoint now) const
{
    double before = 0.0;
    for (const auto &[known, tokens] : this->waiting) {
        before += known <= tier ? tokens : 0.0;
    }
    if (before <= 0.0 || now - this->busySince < shortestMeasure) {
        return Duration::zero();
    }
    const double seconds = before / std::max(this->startedPerSecond(now), slowestTokensPerSecond);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool PromptBacklog::isTooLong(Duration wait, Duration deadline)
{
    return secondsOf(wait) > secondsOf(deadline) * longestWaitPart;
}

} // namespace flamingosaddle
