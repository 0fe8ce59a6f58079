#pragma once

#include <flamingosaddle/base/clock.h>

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace flamingosaddle
{

/**
 * Asio wait traits for timers on RuntimeClock. While the clock is paused, the timer polls it every millisecond, so that a
 * test that advances the clock does not wait for the timer's real duration.
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
