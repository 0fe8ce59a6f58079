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
        Duration tickInterval = std::chrono::milliseconds(200); ///< interval of the checks for due work
        Duration readInterval = std::chrono::milliseconds(1500); ///< interval of the reads of an instance that is not the leader
        /** The same while heartbeats of a leader arrive. They only save calls; the log alone decides who the leader is. */
        Duration readIntervalWithLeader = std::chrono::seconds(10);
        /** Four heartbeat intervals, after which the log is read again. */
        Duration leaderHeartbeatTimeout = std::chrono::milliseconds(1000);
        Duration claimJitter = std::chrono::milliseconds(300); ///< upper bound of the random delay before a claim
        /** Returns whether this instance may claim the leader lease. Only a few may, since each of them reads the log. */
        std::function<bool()> isEligible = [] {
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
    boost::asio::awaitable<void> releaseLease();
    /** Enqueues a decision under @p key. It is dropped if the leader lease is lost before it is in the log. */
    void enqueueDecision(std::string key, std::string value);
    /** Records a heartbeat of a peer that is the leader. */
    void recordLeaderHeartbeat();
    /** Records that a peer no longer says that it is the leader, so that the log is read at once. */
    void recordLeaderLoss();
    /** Gives up the leader lease because a call was refused: a higher fencing number was seen. */
    void stepDown();

    // Queries.
    bool isLeading() const;
    /**
     * Returns whether this instance leads and renews its lease in time. One that cannot, because it has lost the store, tells
     * its peers in time that they have to look for another leader.
     */
    bool isLeadingSafely() const;
    FencingToken fencingToken() const;
    /** Returns a function for the remaining time of the current lease, zero when it has ended or its fencing number changed. */
    DutyHooks::Permission permission() const;
    /** Returns the newest record of the leadership, from any instance. */
    const std::optional<LeadershipRecord> &newestLeadership() const;
    /** Returns the decisions that are in the log, by key. */
    const std::map<std::string, std::string> &decisions() const;
    bool hasPendingDecision(const std::string &key) const;

    /** Returns the epoch of the store as of the last read, see storeoffset.h. */
    std::uint64_t epoch() const;
    /** Returns decisions that were in the log before the store was restored and that it may have lost, by key. */
    const std::map<std::string, std::string> &earlierDecisions() const;
    /**
     * Returns whether earlierDecisions() has all decisions of earlier epochs: this instance held the lease when it saw that the
     * store was restored, and no other instance has led since.
     */
    bool knowsEarlierDecisions() const;

private:
    boost::asio::awaitable<void> runStep();
    boost::asio::awaitable<bool> readOnce();
    boost::asio::awaitable<void> append(std::string key, std::string value);
    void beginEpoch(std::uint64_t epoch);
    boost::asio::awaitable<void> runAsLeader();
    boost::asio::awaitable<void> claimLeaseIfFree();
    void applyEntry(const KeyedEntry &entry, TimePoint now);
    bool hasRecentLeaderHeartbeat(TimePoint now) const;
    bool isReadDue(TimePoint now) const;
    bool isDecided(const std::string &key, const std::string &value) const;
    void logLeadershipChange();

    const DutyHooks &hooks;
    Options options;
    Leadership leadership;
    std::minstd_rand random;
    std::optional<std::uint64_t> logEnd; // as far as the log was read or appended to
    bool isLogEndCurrent = false; // false when another instance may have appended a record after `logEnd`
    std::map<std::string, std::string> committedDecisions;
    std::optional<std::uint64_t> storeEpoch; // empty before the first read
    std::map<std::string, std::string> decisionsBefore; // of earlier epochs
    bool ledThroughRestore = false;
    std::deque<std::pair<std::string, std::string>> pendingDecisions;
    TimePoint lastReadAt;
    bool isReadRequested = true; // requests a read before the next interval
    std::optional<TimePoint> lastLeaderHeartbeatAt;
    std::optional<TimePoint> claimDueAt;
    bool wasLeading = false;
    bool stopped = false;
};

} // namespace flamingosaddle
