#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/logtail.h>
#include <flamingosaddle/platform/platform.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string_view>

namespace flamingosaddle
{

struct LogReplicaHooks {
    /** The offset of the next record that the state takes. */
    std::function<std::uint64_t()> nextOffset;
    /** Takes a snapshot of the state when it is ahead; fails when the text is none. */
    std::function<Result<void>(std::string_view text)> restore;
    /** Applies one record; called in log order, each offset once. */
    std::function<void(const LogRecord &record)> apply;
    /** The stream was read up to @p head at the time @p sentAt. May be empty. */
    std::function<void(std::uint64_t head, TimePoint sentAt)> atHead;
};

/**
 * Keeps a state machine in step with a stream of the log. Begins with the newest snapshot and goes on with the records after
 * it. When the log has lost records that no snapshot covers, nothing is applied, since the state would differ from that of
 * other readers. Lives on the control thread.
 */
class LogReplica
{
public:
    LogReplica(const Platform &platform, LogStream stream, LogReplicaHooks hooks, std::uint64_t seed);

    // Commands.

    /** Reads until stop(). The object has to outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();

    // Queries.
    bool isLogAnswering() const; ///< whether the last read succeeded
    bool hasGap() const; ///< whether the log has lost records that no snapshot covers

private:
    boost::asio::awaitable<Result<std::uint64_t>> position();
    boost::asio::awaitable<Result<void>> loadSnapshot();
    void takeBatch(const LogBatch &batch, TimePoint sentAt);
    Error noteGap();

    const Platform &platform;
    LogStream stream;
    LogReplicaHooks hooks;
    LogTail tail;
    bool positioned = false;
    bool gap = false;
};

} // namespace flamingosaddle
