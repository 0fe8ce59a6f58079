#include <flamingosaddle/base/clock.h>

#include <atomic>
#include <cstdint>
#include <ctime>

namespace flamingosaddle
{

namespace
{

constexpr std::int64_t notPaused = -1;

// Offset that tests have added to the system's clock.
std::atomic<std::int64_t> offsetNanoseconds{0};
// Time at which the clock is paused, or notPaused.
std::atomic<std::int64_t> pausedNanoseconds{notPaused};

// Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME keeps running while the machine is suspended: leases and deadlines expire then, too.
std::int64_t steadyNanoseconds()
{
    constexpr std::int64_t nanosecondsPerSecond = 1000000000;
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec * nanosecondsPerSecond + now.tv_nsec;
}

} // namespace

RuntimeClock::time_point RuntimeClock::now() noexcept
{
    const std::int64_t paused = pausedNanoseconds.load(std::memory_order_acquire);
    if (paused != notPaused) {
        return time_point(duration(paused));
    }
    return time_point(duration(steadyNanoseconds() + offsetNanoseconds.load(std::memory_order_acquire)));
}

void RuntimeClock::pause()
{
    pausedNanoseconds.store(now().time_since_epoch().count(), std::memory_order_release);
}

void RuntimeClock::resume()
{
    const std::int64_t paused = pausedNanoseconds.load(std::memory_order_acquire);
    if (paused == notPaused) {
        return;
    }
    offsetNanoseconds.store(paused - steadyNanoseconds(), std::memory_order_release);
    pausedNanoseconds.store(notPaused, std::memory_order_release);
}

void RuntimeClock::advance(duration step)
{
    if (isPaused()) {
        pausedNanoseconds.fetch_add(step.count(), std::memory_order_acq_rel);
    } else {
        offsetNanoseconds.fetch_add(step.count(), std::memory_order_acq_rel);
    }
}

bool RuntimeClock::isPaused() noexcept
{
    return pausedNanoseconds.load(std::memory_order_acquire) != notPaused;
}

PausedClock::PausedClock()
{
    RuntimeClock::pause();
}

PausedClock::~PausedClock()
{
    RuntimeClock::resume();
}

} // namespace flamingosaddle
