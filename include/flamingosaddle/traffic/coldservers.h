#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace flamingosaddle
{

struct ColdServerOptions {
    double overage = 1.0; ///< ratio of the requests that a cold server gets in one second to those that it states to bear
    double tolerance = 0.0; ///< requests in one second beyond that
    /** Start of this instance; empty if nothing ran in its place before. */
    std::optional<TimePoint> startedAt{};

    friend bool operator==(const ColdServerOptions &, const ColdServerOptions &) = default;
};

/**
 * Why a backend server is treated as cold.
 */
enum class ColdReason {
    Stated, ///< its entry says so
    Failed, ///< it failed, so that it may have started again
    Missing, ///< its entry has disappeared
    Stale, ///< the servers' entries are old
    Returned, ///< its data centre was evacuated and is taken back
};

const char *toString(ColdReason reason);

/**
 * A backend server turned cold or warm.
 */
struct ColdServerChange {
    BackendServerId server;
    std::optional<ColdReason> reason; ///< empty if the server is warm now
    std::optional<Duration> remaining{}; ///< as stated; empty if the server states nothing
    std::uint32_t share = 0; ///< requests that this instance may send in ColdServers::window

    friend bool operator==(const ColdServerChange &, const ColdServerChange &) = default;
};

/**
 * A backend server that is treated as cold, for operators.
 */
using ColdServerStatus = ColdServerChange;

/**
 * Divides what cold backend servers bear among the instances.
 *
 * A cold server bears so many requests in any second from all instances together. Each instance has a share of whole requests in
 * a window that is a little longer. If there are more instances than requests, rendezvous hashing selects those that use the
 * server, for each server anew. All instances derive the same shares from the same membership without communication. They use
 * part of the limit, since their views of the membership and of the server's state may differ for a while.
 *
 * An instance that has just started has no share: it does not know the others, nor these it. One that knows no other assumes some
 * until it has been alone for long.
 */
class ColdServers
{
public:
    /** Sliding window of the shares. Longer than the second of the limit, since requests travel at different speeds. */
    static constexpr Duration window = std::chrono::milliseconds(1200);
    /** Part of the limit that the instances use if their views agree; the rest is for those whose views differ. */
    static constexpr double usedFraction = 0.75;
    static constexpr std::uint32_t assumedInstances = 8; ///< by an instance that knows no other
    static constexpr Duration joinTime = std::chrono::seconds(4); ///< after its start, in which an instance has no share
    static constexpr Duration aloneTime = std::chrono::seconds(30); ///< after which an instance that knows no other is alone
    /** Time within which the entry of a server that turns cold says so. */
    static constexpr Duration statementTime = std::chrono::milliseconds(2500);
    /**
     * Time within which the entry of a server that failed says that it started again, or disappears: entries expire after three
     * times the interval of 1.2 s at which they are renewed.
     */
    static constexpr Duration restartStatementTime = std::chrono::milliseconds(5500);
    /** Age of the entries from which on they do not say which servers are warm. */
    static constexpr Duration staleTime = std::chrono::seconds(5);

    explicit ColdServers(ColdServerOptions options);

    // Commands.

    /** Sets the instances that share the limits. */
    void setInstances(const InstanceId &self, const std::vector<InstanceId> &peers);

    // Queries.

    /** Returns how many requests all instances together send to a cold server in the window. */
    std::uint32_t allowance(double requestsPerSecond) const;

    /** Returns this instance's share of the allowance; 0 leaves the server to other instances. */
    std::uint32_t share(const BackendServerId &server, double requestsPerSecond, TimePoint now) const;

    /** Returns when the shares change without a change of the instances. */
    std::optional<TimePoint> nextChange(TimePoint now) const;

private:
    ColdServerOptions options;
    InstanceId self;
    std::vector<InstanceId> peers;
};

/**
 * The recent starts of this instance on one backend server, up to a fixed number. Allocates only when that number grows.
 */
class RecentStarts
{
public:
    // Commands.
    /** Keeps at least the last @p starts starts from now on. */
    void keep(std::uint32_t starts);
    void record(TimePoint now);
    /** Forgets the starts that have left ColdServers::window. Returns whether there were any. */
    bool expire(TimePoint now);

    // Queries.
    /** Returns how many of @p share starts are left. */
    std::uint32_t left(std::uint32_t share) const;
    /** Returns when the next of @p share starts is possible; nothing if one is possible now or the share is 0. */
    std::optional<TimePoint> nextStart(std::uint32_t share) const;

private:
    std::vector<TimePoint> times; // oldest first
    std::size_t capacity = 0;
};

} // namespace flamingosaddle
