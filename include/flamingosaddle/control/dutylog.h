#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/duties.h>
#include <flamingosaddle/state/leadership.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace flamingosaddle
{

/**
 * Elects a leader through a compacted log and stores the leader's decisions in it. Each append is conditional on the log end
 * that the appender knows. A decision in the log was therefore made by the instance that was the leader. Must be used on the
 * control thread.
 */
class DutyLog
{
public:
    struct Options {
        Incarnation self;
        LeadershipTiming timing;
        Duration tick = std::chrono::milliseconds(200); ///< interval of the checks for due work
        Duration readInterval = std::chrono::milliseconds(1500); ///< interval of the reads of an instance that is not the leader
        /** The same while heartbeats of a leader arrive. They only save calls; the log alone decides who the leader is. */
        Duration readIntervalWithLeader = std::chrono::seconds(10);
        Duration leaderWordLife = std::chrono::milliseconds(1000); ///< four heartbeat intervals; after it the log is read again
        Duration claimSpread = std::chrono::milliseconds(300); ///< upper bound of the random delay before a claim
        /** Returns whether this instance may claim the leader lease. Only a few instances may, since each of them reads the log.
         */
        std::function<bool()> mayContest = [] {
            return true;
        };
        std::uint64_t seed = 1;
    };

    DutyLog(const DutyHooks &hooks, Options options);

    // Commands.

    /** Runs until stop(). The object must outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();
    /** Releases the leader lease before a shutdown. */
    boost::asio::awaitable<void> release();
    /** Enqueues a decision under @p key. It is dropped if the leader lease is lost before it is in the log. */
    void decide(std::string key, std::string value);
    /** Records a heartbeat of a peer that is the leader. */
    void noteLeader();
    /** Gives up the leader lease because a call was refused: a higher fencing number was seen. */
    void lose();

    // Queries.
    bool isLeading() const;
    DutyStamp stamp() const;
    /** Returns a function for the remaining time of the current lease, zero when it has ended or its fencing number changed. */
    DutyHooks::Permission permission() const;
    /** Returns the newest record of the leadership, from any instance. */
    const std::optional<LeadershipRecord> &newestLead() const;
    /** Returns the decisions that are in the log, by key. */
    const std::map<std::string, std::string> &decisions() const;
    bool hasPending(const std::string &key) const;

private:
    boost::asio::awaitable<void> step();
    boost::asio::awaitable<bool> readOnce();
    boost::asio::awaitable<void> append(std::string key, std::string value);
    boost::asio::awaitable<void> lead();
    boost::asio::awaitable<void> claimIfFree();
    void take(const KeyedEntry &entry, TimePoint now);
    bool hearsLeader(TimePoint now) const;
    bool isReadDue(TimePoint now) const;
    bool isDecided(const std::string &key, const std::string &value) const;
    void noteChange();

    const DutyHooks &hooks;
    Options options;
    Leadership leadership;
    std::minstd_rand random;
    std::optional<std::uint64_t> end; // as far as the log was read or appended to
    bool endKnown = false; // false when another instance may have appended a record after `logEnd`
    std::map<std::string, std::string> newest;
    std::deque<std::pair<std::string, std::string>> pending;
    TimePoint lastRead;
    bool readAtOnce = true; // requests a read before the next interval
    std::optional<TimePoint> heardLeaderAt;
    std::optional<TimePoint> claimAt;
    bool wasLeading = false;
    bool stopped = false;
};

} // namespace flamingosaddle
