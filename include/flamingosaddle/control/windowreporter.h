#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/duties.h>
#include <flamingosaddle/control/dutylog.h>
#include <flamingosaddle/state/usagebook.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace flamingosaddle
{

/**
 * Reports the usage of ended windows while this instance leads. The figures of a window are fixed in the duty log first;
 * whoever leads then reports exactly these, any number of times. Lives on the control thread.
 */
class WindowReporter
{
public:
    struct Options {
        std::chrono::milliseconds windowLength{60000};
        std::chrono::milliseconds settleTime{2000}; ///< after a window's end, for the counts of instances to arrive
        std::chrono::milliseconds patience{8000}; ///< after a window's end, for an instance that tells nothing
        std::chrono::milliseconds longestDelay{60000}; ///< after which a window is not reported any more
        Duration tick = std::chrono::milliseconds(500);
        std::function<std::chrono::milliseconds()> unixTime;
    };

    WindowReporter(const DutyHooks &hooks, DutyLog &duties, Options options);

    // Commands.

    /** Runs until stop(); the object has to outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();

    // Queries.
    using FixedWindows = std::map<std::uint64_t, FixedWindow>; ///< by number
    /** The windows whose figures the duty log keeps. */
    FixedWindows fixedWindows() const;
    /** The first of these windows that is not known to be reported, or one more than the last of them. */
    std::uint64_t reportedBefore(const FixedWindows &fixed) const;

private:
    static constexpr std::size_t slots = 12; // windows whose figures the duty log keeps

    boost::asio::awaitable<void> readCounts();
    boost::asio::awaitable<void> reportFixed(FixedWindows fixed);
    void fixEnded(const FixedWindows &fixed);
    /** Whether a window has ended whose figures are not fixed: only then the counts are read. */
    bool hasUnfixedWindow(const FixedWindows &fixed) const;
    bool isDue(std::uint64_t window) const;

    const DutyHooks &hooks;
    DutyLog &duties;
    Options options;
    UsageBook book;
    std::uint64_t next = 0; // of the counts
    std::set<std::uint64_t> reported; // by this instance
    bool stopped = false;
};

} // namespace flamingosaddle
