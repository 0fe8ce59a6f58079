#pragma once

#include <flamingosaddle/base/clock.h>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace flamingosaddle
{

/**
 * Calls a function when a deadline passes. Moving the deadline further away costs no timer operation, so that it can be
 * armed anew for each piece of a stream. Used from one executor.
 */
class Watchdog
{
public:
    Watchdog(const boost::asio::any_io_executor &executor, std::function<void()> onExpiry);
    ~Watchdog();
    Watchdog(const Watchdog &) = delete;
    Watchdog &operator=(const Watchdog &) = delete;

    // Commands.
    /** Sets the deadline to @p timeout from now and forgets an earlier expiry. */
    void arm(Duration timeout);
    void disarm();

    // Queries.
    /** Whether the deadline passed since it was last armed. */
    bool hasExpired() const;

private:
    struct State;
    static void wait(const std::shared_ptr<State> &state, TimePoint until);
    static void check(const std::shared_ptr<State> &state);

    std::shared_ptr<State> state;
};

} // namespace flamingosaddle
