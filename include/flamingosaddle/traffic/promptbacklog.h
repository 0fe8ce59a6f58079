#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <map>

namespace flamingosaddle
{

/**
 * Tracks the prompts waiting for a server and the rate at which they start. In a burst beyond the capacity of the servers, it
 * lets the dispatcher refuse a request immediately if it would wait for half of its time or longer. The caller can then retry in
 * time instead of being held until it disconnects.
 */
class PromptBacklog
{
public:
    static constexpr Duration startRateTimeConstant = std::chrono::seconds(3); ///< time constant of the start rate
    /** Maximum expected wait, as a fraction of the time from arrival to the deadline. */
    static constexpr double maxWaitFraction = 0.5;

    // Commands.
    void recordWaiting(int tier, double tokens, TimePoint now);
    /** Records that a request stopped waiting. @p started tells whether it was assigned to a server. */
    void recordEnd(int tier, double tokens, bool started, TimePoint now);

    // Queries.
    /** Returns the expected wait of a new request of a tier behind those already waiting, or zero while unknown. */
    Duration expectedWait(int tier, TimePoint now) const;
    static bool isTooLong(Duration wait, Duration deadline);

private:
    double startedTokensPerSecond(TimePoint now) const;

    std::map<int, double> waitingTokens; // by tier
    double startedTokens = 0.0; // exponentially decayed
    TimePoint decayedAt;
    TimePoint busySince; // when the queue last became non-empty
};

} // namespace flamingosaddle
