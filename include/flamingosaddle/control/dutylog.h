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
 * Elects one instance through a keyed log and keeps what it has decided there. Only the leader's decisions are appended, each
 * at the end of the log as it knows it: a decision that is in the log was made by the instance that led. Lives on the control
 * thread.
 */
class DutyLog
{
public:
    struct Options {
        Incarnation self;
        LeadershipTiming timing;
        Duration tick = std::chrono::milliseconds(200); ///< between two looks at what is due
        Duration readInterval = std::chrono::milliseconds(1500); ///< of an instance that does not lead
        /** Of an instance that hears from a peer that it leads: the word of a peer only spares calls, the log decides. */
        Duration readIntervalWithLeader = std::chrono::seconds(10);
        Duration leaderWordLife = std::chrono::milliseconds(1000); ///< four heartbeats, after which the log is read again
        Duration claimSpread = std::chrono::milliseconds(300); ///< claims of several instances are spread over this time
        /** Whether this instance may claim the lead. Few contest it, since each of them reads the log. */
        std::function<bool()> mayContest = [] {
            return true;
        };
        std::uint64_t seed = 1;
    };

    DutyLog(const DutyHooks &hooks, Options options);

    // Commands.

    /** Runs until stop(); the object has to outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();
    /** Gives up the lead, for a shutdown. */
    boost::asio::awaitable<void> release();
    /** Keeps a decision under @p key. It is dropped when the lead is lost before it is in the log. */
    void decide(std::string key, std::string value);
    /** A peer says that it leads. */
    void noteLeader();
    /** A call with this instance's fence was refused, since a higher one was seen. */
    void lose();

    // Queries.
    bool isLeading() const;
    DutyStamp stamp() const;
    /** How much longer the lead is held under the present stamp, for a call that is about to be sent. */
    DutyHooks::Permission permission() const;
    /** The newest record of who leads, whoever wrote it. */
    const std::optional<LeadershipRecord> &newestLead() const;
    /** Decisions that are in the log, by key. */
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
    std::optional<std::uint64_t> end; // of the log, as far as it was read or appended to
    bool endKnown = false; // whether nothing can have been appended since but by this instance
    std::map<std::string, std::string> newest;
    std::deque<std::pair<std::string, std::string>> pending;
    TimePoint lastRead;
    bool readAtOnce = true; // not only at the next interval
    std::optional<TimePoint> heardLeaderAt;
    std::optional<TimePoint> claimAt;
    bool wasLeading = false;
    bool stopped = false;
};

} // namespace flamingosaddle
