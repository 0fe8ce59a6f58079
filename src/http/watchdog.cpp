#include "watchdog.h"

#include <flamingosaddle/base/timer.h>

#include <utility>

namespace flamingosaddle
{

struct Watchdog::State {
    State(const boost::asio::any_io_executor &executor, std::function<void()> onExpiry)
        : timer(executor)
        , onExpiry(std::move(onExpiry))
    {
    }

    Timer timer;
    std::function<void()> onExpiry;
    TimePoint deadline = TimePoint::max();
    TimePoint scheduled = TimePoint::max(); // when the timer looks next; max when it does not run
    bool expired = false;
};

Watchdog::Watchdog(const boost::asio::any_io_executor &executor, std::function<void()> onExpiry)
    : state(std::make_shared<State>(executor, std::move(onExpiry)))
{
}

Watchdog::~Watchdog()
{
    this->state->onExpiry = nullptr;
    this->disarm();
    this->state->timer.cancel();
}

void Watchdog::arm(Duration timeout)
{
    this->state->expired = false;
    this->state->deadline = RuntimeClock::now() + timeout;
    // A timer that looks earlier than the deadline waits on by itself.
    if (this->state->scheduled > this->state->deadline) {
        wait(this->state, this->state->deadline);
    }
}

void Watchdog::disarm()
{
    this->state->deadline = TimePoint::max();
}

bool Watchdog::hasExpired() const
{
    return this->state->expired;
}

void Watchdog::wait(const std::shared_ptr<State> &state, TimePoint until)
{
    state->scheduled = until;
    state->timer.expires_at(until);
    state->timer.async_wait([state](const boost::system::error_code &error) {
        if (!error) {
            check(state);
        }
    });
}

void Watchdog::check(const std::shared_ptr<State> &state)
{
    state->scheduled = TimePoint::max();
    if (state->deadline == TimePoint::max()) {
        return;
    }
    if (RuntimeClock::now() < state->deadline) {
        wait(state, state->deadline);
        return;
    }
    state->deadline = TimePoint::max();
    state->expired = true;
    if (state->onExpiry) {
        state->onExpiry();
    }
}

} // namespace flamingosaddle
