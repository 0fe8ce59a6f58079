#pragma once

#include <flamingosaddle/base/clock.h>

#include <boost/asio/awaitable.hpp>

namespace flamingosaddle
{

/**
 * Suspends the coroutine for @p duration, measured by RuntimeClock.
 */
boost::asio::awaitable<void> delay(Duration duration);

} // namespace flamingosaddle
