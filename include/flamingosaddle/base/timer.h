#pragma once

#include <flamingosaddle/base/clock.h>

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace flamingosaddle
{

/**
 * Tells Asio how long to sleep for a timer on the RuntimeClock. While the clock is paused it looks again every
 * millisecond, so that an advance is seen at once and no test sleeps for the timer's real length.
 */
struct RuntimeWaitTraits {
    static constexpr Duration pausedPollInterval = std::chrono::milliseconds(1);

    static Duration to_wait_duration(const Duration &remaining)
    {
        return RuntimeClock::isPaused() ? std::min(remaining, pausedPollInterval) : remaining;
    }

    static Duration to_wait_duration(const TimePoint &deadline)
    {
        return to_wait_duration(deadline - RuntimeClock::now());
    }
};

using Timer = boost::asio::basic_waitable_timer<RuntimeClock, RuntimeWaitTraits>;

} // namespace flamingosaddle
