#pragma once

#include <chrono>
#include <ratio>

namespace flamingosaddle
{

/**
 * The project's monotonic clock. It keeps running while the machine is suspended, and tests can pause and advance it.
 *
 * Modules that only compute decisions take the time as an argument; only modules that own sockets or threads read this
 * clock. All functions are thread-safe.
 */
class RuntimeClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeClock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;

    /**
     * Stops the clock at its current value, for tests.
     */
    static void pause();

    /**
     * Resumes a paused clock from its current value.
     */
    static void resume();

    /**
     * Moves the clock forward by @p step, whether or not it is paused.
     */
    static void advance(duration step);

    static bool isPaused() noexcept;
};

using TimePoint = RuntimeClock::time_point;
using Duration = RuntimeClock::duration;

/**
 * Pauses RuntimeClock for the lifetime of the object.
 */
class PausedClock
{
public:
    PausedClock();
    ~PausedClock();
    PausedClock(const PausedClock &) = delete;
    PausedClock &operator=(const PausedClock &) = delete;
};

} // namespace flamingosaddle
