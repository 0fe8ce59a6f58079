#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/logreader.h>
#include <flamingosaddle/platform/platform.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string_view>

namespace flamingosaddle
{

/**
 * The state machine that a LogReplica keeps up to date.
 */
struct LogReplicaHooks {
    /** Returns the offset of the next record to apply. */
    std::function<std::uint64_t()> nextOffset;
    /** Restores a snapshot if it is ahead of the state. Fails when the text is no valid snapshot. */
    std::function<Result<void>(std::string_view text)> restoreSnapshot;
    /** Returns to the state before the first record, because the present one is not that of this log. */
    std::function<void()> discardState;
    /** Applies one record. Called in log order, once for each offset. */
    std::function<void(const LogRecord &record)> applyRecord;
    /** Called when a read that was sent at @p sentAt reached the end of the stream at offset @p logEnd. May be empty. */
    std::function<void(std::uint64_t logEnd, TimePoint sentAt)> onLogEnd;
};

/**
 * Keeps a state machine up to date with a stream of the log. Starts from the newest snapshot and applies the records after it.
 * When the log has trimmed records that no snapshot covers, nothing is applied, since the state would differ from that of
 * other readers. A state that is ahead of the log comes from another log and is discarded. Must be used on the control thread.
 */
class LogReplica
{
public:
    LogReplica(const Platform &platform, LogStream stream, LogReplicaHooks hooks, std::uint64_t seed);

    // Commands.

    /** Reads until stop(). The object must outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();

    // Queries.
    bool isLogReachable() const; ///< whether the last read succeeded
    bool hasGap() const; ///< whether the log has trimmed records that no snapshot covers

private:
    boost::asio::awaitable<Result<std::uint64_t>> nextReadOffset();
    boost::asio::awaitable<Result<void>> loadSnapshot();
    /** Replaces a state that is ahead of the log, which ends at @p logEnd, by the newest snapshot of the log, if it has one. */
    boost::asio::awaitable<Result<void>> discardState(std::uint64_t logEnd);
    void applyBatch(const LogBatch &batch, TimePoint sentAt);
    Error reportGap();

    const Platform &platform;
    LogStream stream;
    LogReplicaHooks hooks;
    LogReader reader;
    // First record to read after the store was restored, until the state's next offset is beyond it.
    std::uint64_t readFrom = 0;
    bool isPositioned = false;
    bool isGapFound = false;
};

} // namespace flamingosaddle
