#pragma once

#include <flamingosaddle/base/backoff.h>
#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/duties.h>
#include <flamingosaddle/state/usagebook.h>

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
 * Counts the requests that backend servers began for this instance, and the tokens of those that ended, by client account and
 * window, and appends the counts for whoever reports them. Lives on the control thread.
 */
class UsageMeter
{
public:
    struct Options {
        Incarnation self;
        std::chrono::milliseconds windowLength{60000};
        /** What an instance that dies loses at most; longer where there are many, since it is a smaller part of the whole. */
        Duration flushInterval = std::chrono::milliseconds(800);
        /** After a window's end, for requests whose beginning is known a little later. */
        std::chrono::milliseconds settleTime{400};
        std::function<std::chrono::milliseconds()> unixTime;
        /** Hands a record to an instance that appends it together with others; answers whether it was sent. */
        std::function<bool(std::uint64_t sequence, const std::string &record)> handToRelay = [](auto &&...) {
            return false;
        };
        /** After which a relay that was handed a record counts as silent, and this instance appends the record. */
        Duration relayAnswerLimit = std::chrono::milliseconds(2000);
        Duration gatherInterval = std::chrono::milliseconds(800); ///< between two appends of other instances' records
        std::uint64_t seed = 1;
    };

    UsageMeter(const DutyHooks &hooks, Options options);

    // Commands.

    /** A backend server began a request @p ago before now. */
    void count(const ClientAccountId &clientAccount, Duration ago);
    /** A request has ended and used so many tokens. */
    void countTokens(const ClientAccountId &clientAccount, const TokenCounts &tokens);
    /** Runs until stop(); the object has to outlive the coroutine. */
    boost::asio::awaitable<void> run();
    /** Appends all that was counted, for a shutdown; tries until @p deadline. */
    boost::asio::awaitable<void> finish(TimePoint deadline);
    void stop();
    /** How many instances count: the more, the less is lost with one of them, and the more calls they make together. */
    void setInstances(std::size_t count);
    /** A relay has appended the record of this number. */
    void noteTaken(std::uint64_t sequence);
    /** Appends another instance's record with the next of its own; calls @p taken once it is in the log. */
    void gather(std::string record, std::function<void()> taken);

    // Queries.
    std::size_t waitingRecords() const; ///< that the log has not taken yet, what is counted at present included

private:
    bool isFlushDue(TimePoint now) const;
    Duration flushInterval() const;
    void cutRecord(bool leaving);
    struct Gathered {
        std::string record;
        std::function<void()> taken;
    };

    boost::asio::awaitable<bool> passOn();
    boost::asio::awaitable<bool> isTakenByRelay();
    boost::asio::awaitable<bool> append();
    bool hasGathered(TimePoint now) const;
    std::uint64_t windowOf(std::chrono::milliseconds unixTime) const;
    void add(std::chrono::milliseconds unixTime, const AccountCount &count);

    const DutyHooks &hooks;
    Options options;
    Backoff backoff;
    std::map<std::uint64_t, AccountTotals> counted; // by window
    std::deque<MeterRecord> records; // not in the log yet; the first may be under way
    std::deque<Gathered> gathered; // of other instances
    std::uint64_t sequence = 0;
    std::uint64_t takenSequence = 0; // by a relay
    TimePoint lastAppend;
    std::uint64_t toldCompleteBefore = 0;
    TimePoint lastFlush;
    std::size_t instances = 1;
    bool stopped = false;
};

} // namespace flamingosaddle
