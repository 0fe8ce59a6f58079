#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <map>

namespace flamingosaddle
{

/**
 * Prompts that wait here for a server, and how fast they get one. It answers a burst beyond what the servers can read: a
 * request that would wait for half of its time or longer is told at once, so that its caller can come back while there is
 * time, instead of being held until it leaves.
 */
class PromptBacklog
{
public:
    static constexpr Duration horizon = std::chrono::seconds(3); ///< over which starts are measured
    /** Of the time to its deadline that a request may be expected to wait. */
    static constexpr double longestWaitPart = 0.5;

    // Commands.
    void noteWaiting(int tier, double tokens, TimePoint now);
    /** The request waits no longer; @p started tells whether a server was found for it. */
    void noteEnd(int tier, double tokens, bool started, TimePoint now);

    // Queries.
    /** How long a request of a tier would wait with what is before it; zero while that is not known. */
    Duration expectedWait(int tier, TimePoint now) const;
    static bool isTooLong(Duration wait, Duration deadline);

private:
    double startedPerSecond(TimePoint now) const;

    std::map<int, double> waiting; // tokens by tier
    double started = 0.0; // tokens, decayed
    TimePoint decayedAt;
    TimePoint busySince; // when the line last became non-empty
};

} // namespace flamingosaddle
