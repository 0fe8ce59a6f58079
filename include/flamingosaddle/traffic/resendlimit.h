#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace flamingosaddle
{

struct ResendLimitOptions {
    std::chrono::seconds window{0}; ///< sliding; 0 for no limit
    double ratio = 0.2; ///< requests sent once more, as a part of those of the window
    std::uint32_t extra = 0; ///< beyond the ratio, for all instances together

    friend bool operator==(const ResendLimitOptions &, const ResendLimitOptions &) = default;
};

/**
 * Bounds what second sends add to the load of one service while its servers fail: in every window at most a part of the
 * requests that came here, and this instance's even part of an allowance that all instances share. The window slides, so
 * that a burst at the border of two windows is bounded as well.
 */
class ResendLimit
{
public:
    /** Of instances that share the allowance, while nobody has told how many there are. */
    static constexpr std::uint32_t assumedInstances = 8;
    /** Of the limit that is used: the platform dates an arrival later than this instance dates its send. */
    static constexpr double usedPart = 0.8;

    explicit ResendLimit(ResendLimitOptions options);

    // Commands.
    void noteRequest(TimePoint now);
    /** Takes one second send, or answers false when the window has no more. @param instances 0 while unknown */
    bool take(std::uint32_t instances, TimePoint now);

private:
    void forget(TimePoint now);

    ResendLimitOptions options;
    std::deque<TimePoint> requests;
    std::deque<TimePoint> resends;
};

} // namespace flamingosaddle
