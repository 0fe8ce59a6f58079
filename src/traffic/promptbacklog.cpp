#include <flamingosaddle/traffic/promptbacklog.h>

#include <flamingosaddle/base/decay.h>

#include <algorithm>

namespace flamingosaddle
{

namespace
{

// The start rate is not meaningful until a new backlog has lasted this long.
constexpr Duration minMeasuredTime = std::chrono::milliseconds(500);
constexpr double minTokensPerSecond = 100.0; // bounds the expected wait if servers have stalled

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void PromptBacklog::noteWaiting(int tier, double tokens, TimePoint now)
{
    const bool wasEmpty = std::all_of(this->waiting.begin(), this->waiting.end(), [](const auto &entry) {
        return entry.second <= 0.0;
    });
    if (wasEmpty) {
        this->busySince = now;
    }
    this->waiting[tier] += tokens;
}

void PromptBacklog::noteEnd(int tier, double tokens, bool started, TimePoint now)
{
    double &queued = this->waiting[tier];
    queued = std::max(0.0, queued - tokens);
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
    double tokensAhead = 0.0;
    for (const auto &[queuedTier, tokens] : this->waiting) {
        tokensAhead += queuedTier <= tier ? tokens : 0.0;
    }
    if (tokensAhead <= 0.0 || now - this->busySince < minMeasuredTime) {
        return Duration::zero();
    }
    const double seconds = tokensAhead / std::max(this->startedPerSecond(now), minTokensPerSecond);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool PromptBacklog::isTooLong(Duration wait, Duration deadline)
{
    return secondsOf(wait) > secondsOf(deadline) * longestWaitPart;
}

} // namespace flamingosaddle
