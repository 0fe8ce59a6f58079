#pragma once

#include <flamingosaddle/base/backoff.h>
#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/duties.h>
#include <flamingosaddle/state/usageaggregator.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace flamingosaddle
{

/**
 * Counts the requests that backend servers began for this instance and the tokens of requests that ended, by client account and
 * usage window. Appends the counts to the log, from which the leader reports them. Must be used on the control thread.
 */
class UsageMeter
{
public:
    struct Options {
        Incarnation self;
        std::chrono::milliseconds windowLength{60000};
        /**
         * Interval of the appends, which bounds the counts that a crashed instance loses. It grows with the number of
         * instances, since each instance then holds a smaller part of the total.
         */
        Duration flushInterval = std::chrono::milliseconds(800);
        /** Time after the end of a window for requests whose start is recorded late. */
        std::chrono::milliseconds gracePeriod{400};
        std::function<std::chrono::milliseconds()> unixTime; ///< returns the time since the Unix epoch
        /** Sends a record to a relay, which appends it together with others. Returns whether it was sent. */
        std::function<bool(std::uint64_t sequence, const std::string &record)> sendToRelay = [](auto &&...) {
            return false;
        };
        /** Time to wait for a relay's acknowledgement, after which this instance appends the record itself. */
        Duration relayTimeout = std::chrono::milliseconds(2000);
        Duration peerBatchInterval = std::chrono::milliseconds(800); ///< interval of the appends of other instances' records
        std::uint64_t seed = 1;
    };

    UsageMeter(const DutyHooks &hooks, Options options);

    // Commands.

    /** Records that a backend server began a request @p ago before now. */
    void recordRequestStart(const ClientAccountId &clientAccount, Duration ago);
    /** Records the tokens of a request that has ended. */
    void recordTokens(const ClientAccountId &clientAccount, const TokenCounts &tokens);
    /** Runs until stop(). The object must outlive the coroutine. */
    boost::asio::awaitable<void> run();
    /** Appends all counts before a shutdown. Retries until @p deadline. */
    boost::asio::awaitable<void> flush(TimePoint deadline);
    void stop();
    /**
     * Sets the number of instances that count. With more instances, each one flushes less often: a crash loses a smaller part of
     * the total, and the number of calls to the log stays bounded.
     */
    void setInstanceCount(std::size_t count);
    /** Called when a relay has appended the record with this sequence number. */
    void onRelayAcknowledged(std::uint64_t sequence);
    /** Enqueues another instance's record for the next append. Calls @p acknowledge once it is in the log. */
    void enqueuePeerRecord(std::string record, std::function<void()> acknowledge);

    // Queries.
    std::size_t pendingRecordCount() const; ///< records that are not in the log yet, including the one being counted

private:
    bool isFlushDue(TimePoint now) const;
    Duration flushInterval() const;
    void buildRecord(bool leaving);
    struct PeerRecord {
        std::string record;
        std::function<void()> acknowledge;
    };

    boost::asio::awaitable<bool> flushNext();
    boost::asio::awaitable<bool> sendNextToRelay();
    boost::asio::awaitable<bool> appendBatch();
    bool isPeerBatchDue(TimePoint now) const;
    std::uint64_t windowOf(std::chrono::milliseconds unixTime) const;
    void addToWindow(std::chrono::milliseconds unixTime, const AccountCount &count);

    const DutyHooks &hooks;
    Options options;
    Backoff backoff;
    std::map<std::uint64_t, AccountTotals> countsByWindow; // by number of the window
    std::deque<UsageRecord> pendingRecords; // not in the log yet; the first may be in flight
    std::deque<PeerRecord> peerRecords; // records of other instances
    std::uint64_t sequence = 0;
    std::uint64_t acknowledgedSequence = 0; // newest record that a relay has acknowledged
    TimePoint lastAppendAt;
    std::uint64_t announcedCompleteBefore = 0;
    TimePoint lastFlushAt;
    std::size_t instanceCount = 1;
    bool stopped = false;
};

} // namespace flamingosaddle
