#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace flamingosaddle
{

struct ResendLimitOptions {
    std::chrono::milliseconds window{0}; ///< sliding window; 0 for no limit
    double ratio = 0.2; ///< resends as a fraction of the requests in the window
    std::uint32_t extra = 0; ///< allowance beyond the ratio, shared by all instances

    friend bool operator==(const ResendLimitOptions &, const ResendLimitOptions &) = default;
};

/**
 * Bounds the load that resends add to one service while its servers fail. In every window, resends are limited to a fraction of
 * the requests received plus this instance's even share of an allowance common to all instances. The window slides, so bursts at
 * the boundary of two windows are bounded as well.
 */
class ResendLimit
{
public:
    /** Number of instances that share the allowance, used until the number is known. */
    static constexpr std::uint32_t defaultInstances = 8;
    /**
     * Fraction of the limit that is used. The margin covers that the platform timestamps an arrival later than this instance
     * timestamps its send.
     */
    static constexpr double usedFraction = 0.8;

    explicit ResendLimit(ResendLimitOptions options);

    // Commands.
    void recordRequest(TimePoint now);
    /** Takes one resend from the limit. Returns false if the window has none left. @param instances 0 while unknown */
    bool tryTake(std::uint32_t instances, TimePoint now);

private:
    void expire(TimePoint now);

    ResendLimitOptions options;
    std::deque<TimePoint> requests;
    std::deque<TimePoint> resends;
};

} // namespace flamingosaddle
