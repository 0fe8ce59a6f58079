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

void PromptBacklog::recordWaiting(int tier, double tokens, TimePoint now)
{
    const bool wasEmpty = std::all_of(this->waitingTokens.begin(), this->waitingTokens.end(), [](const auto &entry) {
        return entry.second <= 0.0;
    });
    if (wasEmpty) {
        this->busySince = now;
    }
    this->waitingTokens[tier] += tokens;
}

void PromptBacklog::recordEnd(int tier, double tokens, bool started, TimePoint now)
{
    double &queued = this->waitingTokens[tier];
    queued = std::max(0.0, queued - tokens);
    if (started) {
        this->startedTokens = this->startedTokens * decay(now - this->decayedAt, startRateTimeConstant) + tokens;
        this->decayedAt = now;
    }
}

double PromptBacklog::startedTokensPerSecond(TimePoint now) const
{
    return this->startedTokens * decay(now - this->decayedAt, startRateTimeConstant) / secondsOf(startRateTimeConstant);
}

Duration PromptBacklog::expectedWait(int tier, TimePoint now) const
{
    double tokensAhead = 0.0;
    for (const auto &[queuedTier, tokens] : this->waitingTokens) {
        tokensAhead += queuedTier <= tier ? tokens : 0.0;
    }
    if (tokensAhead <= 0.0 || now - this->busySince < minMeasuredTime) {
        return Duration::zero();
    }
    const double seconds = tokensAhead / std::max(this->startedTokensPerSecond(now), minTokensPerSecond);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool PromptBacklog::isTooLong(Duration wait, Duration deadline)
{
    return secondsOf(wait) > secondsOf(deadline) * maxWaitFraction;
}

} // namespace flamingosaddle
