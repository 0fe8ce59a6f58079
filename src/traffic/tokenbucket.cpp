#include <flamingosaddle/traffic/tokenbucket.h>

#include <algorithm>
#include <chrono>

namespace flamingosaddle
{

namespace
{

constexpr double roundingTolerance = 1e-6; // in tokens

} // namespace

TokenBucket::TokenBucket(double tokensPerSecond, double capacity, double initialTokens, TimePoint now)
    : rate(tokensPerSecond)
    , capacity(capacity)
    , tokens(std::min(initialTokens, capacity))
    , refilledAt(now)
{
}

void TokenBucket::setRate(double tokensPerSecond, double newCapacity, TimePoint now)
{
    this->refill(now);
    this->rate = tokensPerSecond;
    this->capacity = newCapacity;
    this->tokens = std::min(this->tokens, newCapacity);
}

void TokenBucket::refill(TimePoint now)
{
    if (now <= this->refilledAt) {
        return;
    }
    const double elapsedSeconds = std::chrono::duration<double>(now - this->refilledAt).count();
    this->tokens = std::min(this->capacity, this->tokens + elapsedSeconds * this->rate);
    this->refilledAt = now;
}

void TokenBucket::take()
{
    this->tokens = std::max(0.0, this->tokens - 1.0);
}

std::uint32_t TokenBucket::wholeTokens() const
{
    return static_cast<std::uint32_t>(this->tokens + roundingTolerance);
}

std::optional<TimePoint> TokenBucket::nextTokenAt() const
{
    if (this->wholeTokens() > 0 || this->rate <= 0.0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> wait((1.0 - this->tokens) / this->rate);
    return this->refilledAt + std::chrono::ceil<std::chrono::milliseconds>(wait);
}

} // namespace flamingosaddle
