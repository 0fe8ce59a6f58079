#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/duties.h>
#include <flamingosaddle/control/dutylog.h>
#include <flamingosaddle/state/usageaggregator.h>

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
 * Reports the usage of ended windows while this instance is the leader. The counts of a window are first fixed in the duty log.
 * Each leader then reports exactly these counts, possibly more than once. When the store was restored from an older copy, the
 * first leader writes the counts again that it knows to be fixed, and leaves out windows whose counts may have been fixed in what
 * the store has lost. Must be used on the control thread.
 */
class UsageReporter
{
public:
    struct Options {
        std::chrono::milliseconds windowLength{60000};
        std::chrono::milliseconds gracePeriod{2000}; ///< time after the end of a window for counts to arrive
        std::chrono::milliseconds silentInstanceTimeout{
            8000}; ///< time after the end of a window to wait for an instance without counts
        std::chrono::milliseconds maxReportDelay{60000}; ///< age after which a window is no longer reported
        Duration tickInterval = std::chrono::milliseconds(500);
        std::function<std::chrono::milliseconds()> unixTime; ///< returns the time since the Unix epoch
    };

    UsageReporter(const DutyHooks &hooks, DutyLog &duties, Options options);

    // Commands.

    /** Runs until stop(). The object must outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();

    // Queries.
    using FixedWindows = std::map<std::uint64_t, FinalizedWindow>; ///< by number of the window
    /** Returns the windows whose counts the duty log holds, or held before the store was restored. */
    FixedWindows fixedWindows() const;
    /** Returns the first of these windows that is not known to be reported, or the last one plus 1. */
    std::uint64_t reportedBefore(const FixedWindows &fixed) const;

private:
    static constexpr std::size_t windowSlots = 12; // windows whose counts the duty log holds

    boost::asio::awaitable<void> readCounts();
    boost::asio::awaitable<void> reportFixedWindows(FixedWindows fixed);
    /** Returns the record of the store's current epoch, or nothing until the first leader has appended it. */
    std::optional<UsageEpoch> currentEpoch() const;
    /** Enqueues the record of the current epoch and the decisions that the restored store has lost. */
    void enqueueEpoch();
    void fixEndedWindow(const FixedWindows &fixed, const UsageEpoch &epoch);
    /** Returns whether a window has ended whose counts are not fixed. The counts are read only in this case. */
    bool hasUnfixedWindow(const FixedWindows &fixed) const;
    bool isReadyToFix(std::uint64_t window) const;

    const DutyHooks &hooks;
    DutyLog &dutyLog;
    Options options;
    UsageAggregator usageAggregator;
    std::uint64_t nextCountsOffset = 0; // in the log of usage counts
    std::set<std::uint64_t> reportedWindows; // windows reported by this instance
    bool stopped = false;
};

} // namespace flamingosaddle
