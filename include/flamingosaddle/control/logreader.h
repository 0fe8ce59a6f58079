#pragma once

#include <flamingosaddle/base/backoff.h>
#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/platform/platform.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>

namespace flamingosaddle
{

struct LogReaderHooks {
    /** Returns the offset of the next read. Awaited before each read; a failure is retried after a delay. */
    std::function<boost::asio::awaitable<Result<std::uint64_t>>()> nextReadOffset;
    /**
     * Called with each batch, which may be empty. @p sentAt is when the read was sent: a record that was appended before it and
     * is in neither this nor an earlier batch has an offset of at least the batch's nextOffset.
     */
    std::function<void(const LogBatch &batch, TimePoint sentAt)> onBatch;
    /** Called when the log no longer holds the offset of the read. */
    std::function<void()> onTrimmed;
};

/**
 * Reads a stream of the log continuously, with exponential backoff while the log does not respond. Must be used on the control
 * thread.
 */
class LogReader
{
public:
    LogReader(const Platform &platform, LogStream stream, LogReaderHooks hooks, std::uint64_t seed);

    // Commands.

    /** Reads until stop(). The object must outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();

    // Queries.
    bool isLogReachable() const; ///< whether the last read succeeded

private:
    boost::asio::awaitable<bool> readOnce();

    const Platform &platform;
    LogStream stream;
    LogReaderHooks hooks;
    Backoff backoff;
    bool stopped = false;
    bool isReachable = false;
};

} // namespace flamingosaddle
