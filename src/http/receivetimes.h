#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace flamingosaddle
{

/**
 * Tells when each byte of a connection was received, to the resolution.
 */
class ReceiveTimes
{
public:
    /** Reads within this time count as one, at the time of the first. Bounds what a slow sender makes this object keep. */
    static constexpr Duration resolution = std::chrono::milliseconds(10);

    void recordRead(std::size_t bytes, TimePoint now);
    /** Returns when the byte before @p position was received, and forgets the bytes before it. Positions must not decrease. */
    TimePoint takeUntil(std::uint64_t position);
    /** Returns the number of bytes received so far. */
    std::uint64_t received() const;

private:
    struct Read {
        std::uint64_t end = 0; // position after its last byte
        TimePoint time;
    };

    std::deque<Read> reads;
    std::uint64_t receivedBytes = 0;
    TimePoint lastTaken;
};

} // namespace flamingosaddle
