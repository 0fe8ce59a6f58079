#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <optional>

namespace flamingosaddle
{

/**
 * The time of day without the steps that a machine's clock may take: a step forward or back is passed over until it has
 * lasted long enough to be a correction. Pure: both clocks are arguments.
 */
class WallTime
{
public:
    static constexpr std::chrono::milliseconds largestDrift{250}; ///< between two calls; more is a step
    static constexpr Duration correctionTime = std::chrono::minutes(1); ///< after which a step is believed

    /** @param system the machine's time of day, milliseconds since the beginning of 1970 */
    std::chrono::milliseconds unixTime(std::chrono::milliseconds system, TimePoint now);

private:
    std::optional<std::chrono::milliseconds> offset; // of the time of day against the runtime's clock
    std::optional<TimePoint> steppedAt;
};

} // namespace flamingosaddle
