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
 * How long one more request of each tier would wait at an instance for a slot, as the instances tell each other.
 */
struct QueuePressure {
    InstanceId instance;
    ModelName model; ///< empty for a plain service
    ServiceName service; ///< empty for a model
    std::vector<TierWait> waits; ///< of the tiers seen there
    TimePoint measuredAt;

    friend bool operator==(const QueuePressure &, const QueuePressure &) = default;
};

/**
 * A request that may be handed to a peer instead of being queued here.
 */
struct ForwardQuestion {
    ModelName model;
    ServiceName service;
    int tier = 0;
    bool forwarded = false; ///< came from another instance
    double ownWaitSeconds = 0.0; ///< forecast here, see Dispatcher::forecast()
    double slackSeconds = 0.0; ///< that it may wait for a slot and still meet its target

    friend bool operator==(const ForwardQuestion &, const ForwardQuestion &) = default;
};

/**
 * Decides on the one hop that a request may take to a peer before it is refused, or would be late, here.
 *
 * A request is handed on when its forecast wait here takes more than maxSlackPart of its slack, and a peer's report,
 * no older than maxAge, gives a wait of at most half as long that fits into the slack. Of such peers two are drawn at
 * random and the one with the shorter wait is taken, so that instances with the same old reports do not all choose the
 * same. A request that came from another instance is never handed on.
 */
class Forwarder
{
public:
    static constexpr double maxSlackPart = 0.4; ///< a forecast is a mean: many wait longer
    static constexpr Duration maxAge = std::chrono::seconds(5);

    explicit Forwarder(std::uint64_t seed)
        : random(seed)
    {
    }

    // Commands.

    /** The position in @p peers of the instance to hand the request to, or nothing. */
    std::optional<std::size_t> choose(const ForwardQuestion &question, const std::vector<QueuePressure> &peers, TimePoint now);

private:
    std::mt19937_64 random;
    std::vector<std::pair<double, std::size_t>> candidates; // waits and positions
};

} // namespace flamingosaddle
