#pragma once

#include <flamingosaddle/base/clock.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

namespace flamingosaddle
{

/**
 * Runs @p context until @p condition holds. Returns false after 20 s, which only a hanging program reaches.
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
 * Advances the paused clock by @p duration, in steps that are shorter than the intervals of the control thread.
 */
inline void advanceTime(boost::asio::io_context &context, Duration duration)
{
    constexpr std::chrono::milliseconds step(100);
    for (Duration passed{}; passed < duration; passed += step) {
        RuntimeClock::advance(step);
        context.restart();
        context.run_for(std::chrono::milliseconds(3));
    }
}

/**
 * Advances the paused clock by up to five minutes until @p condition holds. Returns whether it holds.
 */
inline bool advanceTimeUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
{
    for (int i = 0; i < 3000 && !condition(); ++i) {
        advanceTime(context, std::chrono::milliseconds(100));
    }
    return condition();
}

} // namespace flamingosaddle
