#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/logreplica.h>
#include <flamingosaddle/platform/platform.h>
#include <flamingosaddle/state/leaseholder.h>
#include <flamingosaddle/state/leasestate.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>

namespace flamingosaddle
{

/**
 * Takes and keeps the leases of the roles that this instance may hold, through the `leases` stream. Lives on the control
 * thread.
 */
class LeaseKeeper
{
public:
    struct Options {
        Incarnation self;
        LeaseTiming timing;
        Duration tickInterval = std::chrono::milliseconds(100); ///< between two looks at what is due
        Duration claimSpread = std::chrono::seconds(1); ///< claims of several instances are spread over this time
        std::uint64_t seed = 1;
    };

    LeaseKeeper(const Platform &platform, Options options);

    // Commands.

    /** The roles that this instance is a candidate for. One that is no longer named is given up. */
    void setRoles(const std::set<Role> &roles);

    /** Reads the stream until stop(). The object has to outlive the coroutine. */
    boost::asio::awaitable<void> runTail();
    /** Claims, renews and gives up until stop(). The object has to outlive the coroutine. */
    boost::asio::awaitable<void> runKeeper();
    void stop();

    /** Gives up every role, for a shutdown. Every order under the leases has to have ended. */
    boost::asio::awaitable<void> releaseAll();

    // Queries.
    bool isHeld(const Role &role, TimePoint now) const;
    Duration remaining(const Role &role, TimePoint now) const;
    std::uint64_t epoch(const Role &role) const; ///< fencing number; 0 while the role is not held
    const LeaseTable &table() const;

private:
    struct Seat {
        LeaseHolder holder;
        std::optional<TimePoint> claimAt; ///< when this instance claims the free role
    };

    Result<void> restore(std::string_view text);
    void takeRecord(const LogRecord &record);
    boost::asio::awaitable<void> tend(const Role &role);
    std::optional<LeaseRecord> dueRecord(Seat &seat, const Role &role, TimePoint now);
    boost::asio::awaitable<void> append(const LeaseRecord &record);
    Duration claimDelay();

    const Platform &platform;
    Options options;
    LogReplica replica;
    LeaseTable leaseTable;
    std::map<Role, Seat> seats;
    std::minstd_rand random;
    std::uint64_t sequence = 0;
    bool stopped = false;
};

} // namespace flamingosaddle
