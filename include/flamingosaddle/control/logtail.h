#pragma once

#include <flamingosaddle/base/backoff.h>
#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/platform/platform.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>

namespace flamingosaddle
{

struct LogTailHooks {
    /** Where the next read begins. Awaited before each read; a failure is retried after a delay. */
    std::function<boost::asio::awaitable<Result<std::uint64_t>>()> position;
    /**
     * Takes a batch, which may be empty. @p sentAt is when the read was sent: whatever was appended before it and is not
     * in this or an earlier batch lies at or after the batch's nextOffset.
     */
    std::function<void(const LogBatch &batch, TimePoint sentAt)> onBatch;
    /** The log no longer holds the position. */
    std::function<void()> onTrimmed;
};

/**
 * Reads a stream of the log for as long as it runs, with delays that grow while the log does not answer. Lives on the
 * control thread.
 */
class LogTail
{
public:
    LogTail(const Platform &platform, LogStream stream, LogTailHooks hooks, std::uint64_t seed);

    // Commands.

    /** Reads until stop(). The object has to outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();

    // Queries.
    bool isLogAnswering() const; ///< whether the last read succeeded

private:
    boost::asio::awaitable<bool> readOnce();

    const Platform &platform;
    LogStream stream;
    LogTailHooks hooks;
    Backoff backoff;
    bool stopped = false;
    bool answering = false;
};

} // namespace flamingosaddle
