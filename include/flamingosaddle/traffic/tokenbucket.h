#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstdint>
#include <optional>

namespace flamingosaddle
{

/**
 * Limits events to a rate. Tokens accrue at the rate up to a capacity, and each event takes one.
 */
class TokenBucket
{
public:
    TokenBucket(double tokensPerSecond, double capacity, double initialTokens, TimePoint now);

    // Commands.

    /** Changes rate and capacity. Tokens that have accrued are kept up to the new capacity. */
    void setRate(double tokensPerSecond, double capacity, TimePoint now);

    /** Adds the tokens that have accrued until @p now. */
    void refill(TimePoint now);

    /** Takes one token. Must only be called if wholeTokens() is not 0. */
    void take();

    // Queries.

    /** Returns the number of events that may take place immediately. */
    std::uint32_t wholeTokens() const;

    double tokensPerSecond() const
    {
        return this->rate;
    }

    /** Returns when a token will be available; nothing if one is available or the rate is 0. */
    std::optional<TimePoint> nextTokenAt() const;

private:
    double rate; // tokens per second
    double capacity;
    double tokens;
    TimePoint refilledAt;
};

} // namespace flamingosaddle
