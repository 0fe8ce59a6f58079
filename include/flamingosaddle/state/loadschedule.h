#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstdint>

namespace flamingosaddle
{

/**
 * The rate at which the weight store gives out bytes.
 */
struct LoadRate {
    std::uint64_t bytesPerSecond = std::uint64_t{1} << 30; ///< above 0
    std::uint64_t burstBytes = std::uint64_t{4} << 30; ///< on top of the rate, after a pause

    friend bool operator==(const LoadRate &, const LoadRate &) = default;
};

/**
 * Staggers model loads under the weight store's rate limit: a token bucket that gives each load a time to start.
 *
 * In any span of time the loads that start in it, without the last one, ask for at most the rate times the span plus
 * the burst.
 */
class LoadSchedule
{
public:
    /**
     * A schedule whose bucket is empty at @p now: a new lease holder does not know what its predecessor started.
     */
    LoadSchedule(LoadRate rate, TimePoint now);

    // Commands.

    /** When a load of @p bytes may start, at or after @p now. The loads keep the order of the calls. */
    TimePoint reserve(std::uint64_t bytes, TimePoint now);

    // Queries.

    /** When a load that is asked for at @p now would start. */
    TimePoint nextStart(TimePoint now) const;

private:
    Duration timeFor(std::uint64_t bytes) const;

    LoadRate rate;
    TimePoint fullAt; // when the bucket is full again
};

} // namespace flamingosaddle
