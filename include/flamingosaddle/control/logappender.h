#pragma once

#include <flamingosaddle/base/backoff.h>
#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/platform/platform.h>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace flamingosaddle
{

struct LogAppenderOptions {
    Duration minInterval
        = std::chrono::milliseconds(50); ///< shortest time between two appends, which limits the stream's append rate
    std::size_t maxBufferedRecords = 100000; ///< limit while the log is unreachable; the oldest records are dropped above it

    friend bool operator==(const LogAppenderOptions &, const LogAppenderOptions &) = default;
};

/**
 * Appends records to a stream in the order in which they were enqueued. A record whose append got no response is appended again
 * with the same text, so each record must carry an id by which readers drop duplicates. Must be used on the control thread.
 */
class LogAppender
{
public:
    LogAppender(const Platform &platform, LogStream stream, LogAppenderOptions options, std::uint64_t seed);

    // Commands.

    void enqueue(std::string body);

    /** Appends until stop(). The object must outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();

    // Queries.
    std::size_t bufferedCount() const;
    std::uint64_t droppedCount() const; ///< records that were dropped because the buffer was full
    std::uint64_t appendCount() const; ///< calls to the log, including retries

private:
    const Platform &platform;
    LogStream stream;
    LogAppenderOptions options;
    Backoff backoff;
    std::deque<std::string> buffer;
    std::uint64_t dropped = 0;
    std::uint64_t appends = 0;
    bool stopped = false;
};

} // namespace flamingosaddle
