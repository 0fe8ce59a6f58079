#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstddef>

namespace flamingosaddle
{

/**
 * Timeouts and limits of the connections between instances.
 */
struct PeerTiming {
    Duration heartbeatInterval = std::chrono::milliseconds(500);
    int maxMissedHeartbeats = 4; ///< heartbeat intervals without a frame after which a connection is closed
    Duration connectTimeout = std::chrono::seconds(1);
    Duration initialRetryDelay = std::chrono::milliseconds(100);
    Duration maxRetryDelay = std::chrono::seconds(5);
    std::size_t maxQueuedBytes = std::size_t{16} << 20; ///< size limit of the send queue of one connection

    /** Number of heartbeats per acknowledgement. A relay, whose acknowledgements report its progress, acknowledges each one. */
    int heartbeatsPerAcknowledgement = 4;

    /** Returns the time without a frame after which the receiving end closes a connection. */
    Duration receiveTimeout() const
    {
        return this->heartbeatInterval * this->maxMissedHeartbeats;
    }

    /**
     * Returns the minimum time between two acknowledgements of heartbeats. It is half an interval shorter than
     * heartbeatsPerAcknowledgement intervals, so that timer jitter does not delay an acknowledgement by a whole interval.
     */
    Duration acknowledgementInterval() const
    {
        return this->heartbeatInterval * this->heartbeatsPerAcknowledgement - this->heartbeatInterval / 2;
    }

    /** Returns the time without an acknowledgement after which the sending end closes a connection. */
    Duration acknowledgementTimeout() const
    {
        return this->receiveTimeout() + this->heartbeatInterval * this->heartbeatsPerAcknowledgement;
    }

    friend bool operator==(const PeerTiming &, const PeerTiming &) = default;
};

} // namespace flamingosaddle
