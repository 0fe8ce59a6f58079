#pragma once

#include <flamingosaddle/base/clock.h>

#include <ctime>

namespace flamingosaddle
{

/**
 * Shuts a socket down when a time is over, whatever the thread is doing, also when the whole process was stopped in between.
 *
 * A check such as "is the lease still held?" is worth nothing to a process that is stopped between the check and the write
 * that follows. The guard is armed before the check: a timer of the kernel signals the thread, and a signal that became due
 * during the stop is handled before the thread runs on, so that its write fails. Created, used and destroyed on one thread,
 * which is the one that writes. The socket has to stay open as long as the guard.
 */
class DeadlineGuard
{
public:
    /** @param remaining real time from now on; zero or less shuts the socket down at once */
    DeadlineGuard(int socket, Duration remaining);
    ~DeadlineGuard();
    DeadlineGuard(const DeadlineGuard &) = delete;
    DeadlineGuard &operator=(const DeadlineGuard &) = delete;

    /** Whether the guard works; where guards are supported, nothing may be sent without one. */
    bool isArmed() const;

    /** Whether the system has the timers that guards need. Some keep processes from making any. */
    static bool isSupported();

private:
    timer_t timer{};
    bool armed = false;
};

} // namespace flamingosaddle
