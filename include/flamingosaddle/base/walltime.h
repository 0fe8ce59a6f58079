#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <optional>

namespace flamingosaddle
{

/**
 * Filters steps out of the system's wall clock. A step forward or back is ignored until it has lasted long enough to be
 * taken for a correction. Reads no clock itself: both times are arguments.
 */
class WallTime
{
public:
    static constexpr std::chrono::milliseconds maxDrift{250}; ///< between two calls; a larger difference is a step
    static constexpr Duration stepConfirmationTime = std::chrono::minutes(1); ///< after which a step is accepted

    /**
     * Returns the filtered Unix time.
     *
     * @param system Unix time of the system clock
     */
    std::chrono::milliseconds unixTime(std::chrono::milliseconds system, TimePoint now);

private:
    std::optional<std::chrono::milliseconds> offset; // of the wall clock relative to RuntimeClock
    std::optional<TimePoint> stepDetectedAt;
};

} // namespace flamingosaddle
