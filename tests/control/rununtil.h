#pragma once

#include <flamingosaddle/base/clock.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

namespace flamingosaddle
{

/**
 * Runs @p context until @p condition holds; answers false when it does not within a bound that only a hanging program
 * reaches.
 */
inline bool runUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
{
    constexpr std::chrono::seconds bound(20);
    constexpr std::chrono::milliseconds step(5);
    const auto deadline = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        context.restart();
        context.run_one_for(step);
    }
    return true;
}

/**
 * Lets @p duration pass on the paused clock, in steps that are short against every interval of the control thread.
 */
inline void passTime(boost::asio::io_context &context, Duration duration)
{
    constexpr std::chrono::milliseconds step(100);
    for (Duration passed{}; passed < duration; passed += step) {
        RuntimeClock::advance(step);
        context.restart();
        context.run_for(std::chrono::milliseconds(3));
    }
}

/**
 * Lets up to five minutes pass on the paused clock until @p condition holds; answers whether it does.
 */
inline bool passTimeUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
{
    for (int i = 0; i < 3000 && !condition(); ++i) {
        passTime(context, std::chrono::milliseconds(100));
    }
    return condition();
}

} // namespace flamingosaddle
