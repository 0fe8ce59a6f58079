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

    /** Heartbeats that one acknowledgement stands for, unless it tells the progress of a relay. */
    int acknowledgedHeartbeats = 4;

    Duration silenceLimit() const
    {
        return this->heartbeatInterval * this->silentHeartbeats;
    }

    /** Between two acknowledgements of heartbeats, a little less than the heartbeats take: none is to come late by a tick. */
    Duration acknowledgementInterval() const
    {
        return this->heartbeatInterval * this->acknowledgedHeartbeats - this->heartbeatInterval / 2;
    }

    /** Without an acknowledgement a connection is closed. */
    Duration acknowledgementLimit() const
    {
        return this->silenceLimit() + this->heartbeatInterval * this->acknowledgedHeartbeats;
    }

    friend bool operator==(const PeerTiming &, const PeerTiming &) = default;
};

} // namespace flamingosaddle
