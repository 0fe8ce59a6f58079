#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstddef>

namespace flamingosaddle
{

/**
 * Times and limits of the exchange between instances.
 */
struct PeerTiming {
    Duration heartbeatInterval = std::chrono::milliseconds(500);
    int silentHeartbeats = 4; ///< intervals without a frame after which a connection is closed
    Duration connectTimeout = std::chrono::seconds(1);
    Duration firstRetryDelay = std::chrono::milliseconds(100);
    Duration longestRetryDelay = std::chrono::seconds(5);
    std::size_t maxQueuedBytes = std::size_t{16} << 20; ///< waiting on one connection

    Duration silenceLimit() const
    {
        return this->heartbeatInterval * this->silentHeartbeats;
    }

    friend bool operator==(const PeerTiming &, const PeerTiming &) = default;
};

} // namespace flamingosaddle
