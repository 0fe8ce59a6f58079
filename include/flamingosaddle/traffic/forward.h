#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace flamingosaddle
{

/**
 * Forecast wait for a slot of one more request of each tier at an instance, as exchanged between instances.
 */
struct QueueWaitReport {
    InstanceId instance;
    ModelName model; ///< empty for a plain service
    ServiceName service; ///< empty for a model
    std::vector<TierWait> waits; ///< one entry for each tier seen by the instance
    TimePoint measuredAt;

    friend bool operator==(const QueueWaitReport &, const QueueWaitReport &) = default;
};

/**
 * A request that may be forwarded to a peer instead of being queued here.
 */
struct ForwardRequest {
    ModelName model;
    ServiceName service;
    int tier = 0;
    bool forwarded = false; ///< whether it came from another instance
    double localWaitSeconds = 0.0; ///< forecast wait at this instance, see Dispatcher::forecast()
    double slackSeconds = 0.0; ///< time that it may wait for a slot and still meet its target

    friend bool operator==(const ForwardRequest &, const ForwardRequest &) = default;
};

/**
 * Decides whether a request that would be refused or late at this instance is forwarded to a peer.
 *
 * A request is forwarded if its forecast local wait exceeds maxSlackFraction of its slack and a peer's report, no older than
 * maxReportAge, promises a wait that is at most half as long and fits into the slack. Of the eligible peers, two are drawn at
 * random and the one with the shorter wait is chosen, so that instances with the same stale reports do not all choose the same
 * peer. A request is forwarded at most once.
 */
class Forwarder
{
public:
    static constexpr double maxSlackFraction = 0.4; ///< below 1 because a forecast is a mean and many requests wait longer
    static constexpr Duration maxReportAge = std::chrono::seconds(5);

    explicit Forwarder(std::uint64_t seed)
        : random(seed)
    {
    }

    // Commands.

    /** Returns the position in @p peers of the instance to forward to, or nothing. */
    std::optional<std::size_t> choosePeer(
        const ForwardRequest &request, const std::vector<QueueWaitReport> &peers, TimePoint now);

private:
    std::mt19937_64 random;
    std::vector<std::pair<double, std::size_t>> candidates; // waits and positions
};

} // namespace flamingosaddle
