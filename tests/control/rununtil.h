#pragma once

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

} // namespace flamingosaddle
