#include <flamingosaddle/http/deadlineguard.h>

#include <flamingosaddle/base/log.h>

#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>

namespace flamingosaddle
{

namespace
{

// A real-time signal that nothing else in the project uses.
int guardSignal()
{
    return SIGRTMIN + 1;
}

void shutDownSocket(int, siginfo_t *info, void *)
{
    const int savedErrno = errno;
    ::shutdown(info->si_value.sival_int, SHUT_RDWR);
    errno = savedErrno;
}

bool installHandler()
{
    struct sigaction action {
    };
    action.sa_sigaction = shutDownSocket;
    action.sa_flags = SA_SIGINFO | SA_RESTART;
    sigemptyset(&action.sa_mask);
    return sigaction(guardSignal(), &action, nullptr) == 0;
}

timespec toTimespec(Duration duration)
{
    // Zero would disarm the timer.
    const auto count = std::max<Duration::rep>(duration.count(), 1);
    constexpr Duration::rep nanosecondsPerSecond = 1000000000;
    return {count / nanosecondsPerSecond, count % nanosecondsPerSecond};
}

bool canCreateTimers()
{
    sigevent event{};
    event.sigev_notify = SIGEV_NONE;
    timer_t timer{};
    if (timer_create(CLOCK_BOOTTIME, &event, &timer) != 0) {
        logEvent(LogLevel::Warning, "http",
            "the system has no timers for processes: a call that is sent late because "
            "the process was stopped is told by its fencing number only");
        return false;
    }
    timer_delete(timer);
    return true;
}

} // namespace

DeadlineGuard::DeadlineGuard(int socket, Duration remaining)
{
    static const bool handlerInstalled = installHandler();
    if (!handlerInstalled) {
        return;
    }
    sigevent event{};
    event.sigev_notify = SIGEV_THREAD_ID;
    event.sigev_signo = guardSignal();
    event.sigev_value.sival_int = socket;
    event._sigev_un._tid = static_cast<pid_t>(::syscall(SYS_gettid));
    // This clock counts on while the machine sleeps.
    if (timer_create(CLOCK_BOOTTIME, &event, &this->timer) != 0) {
        return;
    }
    itimerspec due{};
    due.it_value = toTimespec(remaining);
    this->armed = timer_settime(this->timer, 0, &due, nullptr) == 0;
    if (!this->armed) {
        timer_delete(this->timer);
    }
}

DeadlineGuard::~DeadlineGuard()
{
    if (this->armed) {
        // A signal that is already pending is handled before this call returns, while the socket is still open.
        timer_delete(this->timer);
    }
}

bool DeadlineGuard::isArmed() const
{
    return this->armed;
}

bool DeadlineGuard::isSupported()
{
    static const bool supported = canCreateTimers();
    return supported;
}

} // namespace flamingosaddle
