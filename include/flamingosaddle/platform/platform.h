#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/incarnation.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * A stream of the project's change log.
 */
enum class LogStream {
    Config,
    Claims,
};

/**
 * Returns the stream's name in the log, for instance "config".
 */
const char *toString(LogStream stream);

struct LogRecord {
    std::uint64_t offset = 0;
    std::string body;

    friend bool operator==(const LogRecord &, const LogRecord &) = default;
};

/**
 * The result of one read of a stream.
 */
struct LogBatch {
    std::uint64_t firstOffset = 0; ///< offset of the oldest record that the log still holds
    std::uint64_t nextOffset = 0; ///< offset at which the next read continues
    std::uint64_t endOffset = 0; ///< log end at the time of the response: the offset of the next append
    std::vector<LogRecord> records;

    friend bool operator==(const LogBatch &, const LogBatch &) = default;
};

struct LogBounds {
    std::uint64_t firstOffset = 0; ///< offset of the oldest record that the log still holds
    std::uint64_t endOffset = 0; ///< log end: the offset of the next append

    friend bool operator==(const LogBounds &, const LogBounds &) = default;
};

/**
 * An instance in the platform's list.
 */
struct InstanceEntry {
    InstanceId id;
    std::string peerAddress; ///< address at which its peers reach it, in the format of Endpoint::parse()
    DataCentre dataCentre;
    bool leaving = false;

    friend bool operator==(const InstanceEntry &, const InstanceEntry &) = default;
};

/**
 * The operations that a platform has to provide for the project's change log and for instance discovery. Each hook runs one
 * call. The kind of its error tells whether the operation took effect: Unavailable, Unreachable, Conflict, Refused and
 * Cancelled mean that it did not; with any other kind the outcome is unknown.
 */
struct Platform {
    template <typename T>
    using AsyncResult = boost::asio::awaitable<Result<T>>;

    /** Appends one record and returns its offset. */
    std::function<AsyncResult<std::uint64_t>(LogStream stream, std::string body)> append;
    /**
     * Reads records from offset @p from onwards and waits up to @p wait if there are none. Fails with Trimmed if the log no
     * longer holds @p from.
     */
    std::function<AsyncResult<LogBatch>(LogStream stream, std::uint64_t from, std::chrono::milliseconds wait)> read;
    /** Returns the range of offsets that the stream currently holds. */
    std::function<AsyncResult<LogBounds>(LogStream stream)> bounds;
    /**
     * Stores a snapshot of the state that the stream's records produce, replacing the previous one. Records expire, but the
     * newest snapshot does not. Fails with Conflict if another instance stores a snapshot at the same time; the previous
     * snapshot then stays in force.
     */
    std::function<AsyncResult<void>(LogStream stream, std::string snapshot)> saveSnapshot;
    /** Returns the newest snapshot, or nothing if none was stored. */
    std::function<AsyncResult<std::optional<std::string>>(LogStream stream)> newestSnapshot;
    /** Registers this instance as alive at @p peerAddress and returns the other instances that registered recently. */
    std::function<AsyncResult<std::vector<InstanceEntry>>(Incarnation self, Endpoint peerAddress)> registerInstance;
};

} // namespace flamingosaddle
