#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/leasekeeper.h>
#include <flamingosaddle/control/logappender.h>
#include <flamingosaddle/control/logreplica.h>
#include <flamingosaddle/platform/platform.h>
#include <flamingosaddle/state/usageledger.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingosaddle
{

/**
 * Counts what this instance served, appends the counts to the `usage` stream, and reports closed windows while it holds the
 * lease of the role. Lives on the control thread.
 */
class UsageDesk
{
public:
    struct Options {
        Incarnation self;
        Role role = Role("usage");
        std::chrono::seconds windowLength{60};
        Duration flushInterval = std::chrono::seconds(1); ///< what an instance that dies loses at most
        Duration reportInterval = std::chrono::seconds(1); ///< between two looks at what is to be closed and reported
        std::chrono::seconds closeDelay{5}; ///< after a window's end, for the counts of all instances to arrive
        std::function<std::chrono::seconds()> wallTime; ///< since the epoch
        std::uint64_t seed = 1;
    };

    UsageDesk(const Platform &platform, const LeaseKeeper &leases, Options options);

    // Commands.

    /** Adds to the counts of the present window. */
    void count(const ClientAccountId &clientAccount, const UsageTotals &totals);

    /** Moves the counts into the appender's queue. */
    void flush();

    /** Each runs until stop(); the object has to outlive the coroutines. */
    boost::asio::awaitable<void> runTail();
    boost::asio::awaitable<void> runAppender();
    boost::asio::awaitable<void> runFlush();
    boost::asio::awaitable<void> runReporter();
    void stop();

    // Queries.
    const UsageLedger &ledger() const;
    std::size_t unflushedCount() const; ///< windows and client accounts with counts that are in no record yet
    std::size_t unappendedCount() const; ///< records that the log has not taken yet
    std::uint64_t reportCount() const; ///< reports sent, repetitions included

private:
    using ReportKey = std::pair<ClientAccountId, std::uint64_t>;

    Result<void> restore(std::string_view text);
    void takeRecord(const LogRecord &record);
    void closeEndedWindows();
    boost::asio::awaitable<void> reportPending();
    boost::asio::awaitable<bool> report(const UsageFigure &figure);
    void push(UsageRecord record);
    RecordId nextId();

    const Platform &platform;
    const LeaseKeeper &leases;
    Options options;
    LogReplica replica;
    LogAppender appender;
    UsageLedger usageLedger;
    std::map<ReportKey, UsageTotals> unflushed;
    std::set<ReportKey> confirming; // reported by this process; the Confirm is on its way
    std::uint64_t requestedClose = 0; // one more than the window of the last Close that was pushed
    std::uint64_t sequence = 0;
    std::uint64_t reports = 0;
    bool stopped = false;
};

} // namespace flamingosaddle
