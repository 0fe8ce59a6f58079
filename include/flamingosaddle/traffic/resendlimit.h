#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace flamingosaddle
{

struct ResendLimitOptions {
    std::chrono::milliseconds window{0}; ///< sliding window; 0 for no limit
    double ratio = 0.2; ///< resends as a fraction of the requests in the window
    std::uint32_t extra = 0; ///< allowance beyond the ratio, shared by all instances
    /** Start of this instance; empty if nothing ran in its place before. */
    std::optional<TimePoint> startedAt{};

    friend bool operator==(const ResendLimitOptions &, const ResendLimitOptions &) = default;
};

/**
 * The number of instances that divide a common allowance. An instance that leaves has used its share of the window before, so
 * that the others may take it over only a window later.
 */
class SharingCount
{
public:
    explicit SharingCount(std::chrono::milliseconds window);

    // Commands.
    void set(std::uint32_t count, TimePoint now);
    /** Returns the largest count of the window, 0 while unknown. Forgets older ones. */
    std::uint32_t largest(TimePoint now);

private:
    struct Count {
        std::uint32_t count = 0;
        TimePoint since;
    };

    std::chrono::milliseconds window;
    std::deque<Count> counts; // oldest first; each holds until the next one
};

/**
 * Bounds the load that resends add to one service while its servers fail. In every window, resends are limited to a fraction of
 * the requests received plus this instance's even share of an allowance common to all instances. The window slides, so bursts at
 * the boundary of two windows are bounded as well.
 *
 * An instance that has started within the window does not know what the process before it has sent, so that it has no share yet.
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
    /**
     * Takes one resend from the limit. Returns false if the window has none left.
     *
     * @param instances that share the allowance, see SharingCount; 0 while unknown
     */
    bool tryTake(std::uint32_t instances, TimePoint now);

private:
    void expire(TimePoint now);
    double share(std::uint32_t instances, TimePoint now) const;

    ResendLimitOptions options;
    std::deque<TimePoint> requests;
    std::deque<TimePoint> resends;
};

} // namespace flamingosaddle
