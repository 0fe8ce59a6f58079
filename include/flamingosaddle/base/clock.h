#pragma once

#include <chrono>
#include <ratio>

namespace flamingosaddle
{

/**
 * The clock that everything in the project reads: the machine's steady clock, which goes on while the machine is suspended
 * and which a test can pause and advance.
 *
 * Decision modules take the time as an argument; only the modules that own sockets or threads read this clock. All
 * functions are safe to call from any thread.
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
     * Stops the clock at its present value, for tests.
     */
    static void pause();

    /**
     * Lets a paused clock go on from its present value.
     */
    static void resume();

    /**
     * Moves the clock forward by @p step, paused or not.
     */
    static void advance(duration step);

    static bool isPaused() noexcept;
};

using TimePoint = RuntimeClock::time_point;
using Duration = RuntimeClock::duration;

/**
 * Pauses the runtime's clock for the lifetime of the object.
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
