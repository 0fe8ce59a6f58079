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
 * A stream of the product's own log.
 */
enum class LogStream {
    Config,
    Claims,
};

/**
 * The stream's name in the log, for instance "config".
 */
const char *toString(LogStream stream);

struct LogRecord {
    std::uint64_t offset = 0;
    std::string body;

    friend bool operator==(const LogRecord &, const LogRecord &) = default;
};

struct LogBatch {
    std::uint64_t firstOffset = 0; ///< the oldest record that the log still holds
    std::uint64_t nextOffset = 0; ///< where the next read goes on
    std::uint64_t headOffset = 0; ///< where the next append goes, at the time of the answer
    std::vector<LogRecord> records;

    friend bool operator==(const LogBatch &, const LogBatch &) = default;
};

struct LogBounds {
    std::uint64_t firstOffset = 0; ///< the oldest record that the log still holds
    std::uint64_t headOffset = 0; ///< what the next append gets

    friend bool operator==(const LogBounds &, const LogBounds &) = default;
};

struct InstanceEntry {
    InstanceId id;
    std::string peerAddress; ///< where its peers reach it, as Endpoint::parse() reads it
    DataCentre dataCentre;
    bool leaving = false;

    friend bool operator==(const InstanceEntry &, const InstanceEntry &) = default;
};

/**
 * What the product asks of a platform to keep its own log and to find its instances. Each hook runs one call; its failure
 * kind tells whether the action may have taken effect: Unavailable, Unreachable, Conflict, Refused and Cancelled mean that it
 * has not, anything else that nobody knows.
 */
struct Platform {
    template <typename T>
    using Answer = boost::asio::awaitable<Result<T>>;

    /** Appends one record and answers its offset. */
    std::function<Answer<std::uint64_t>(LogStream stream, std::string body)> append;
    /**
     * Reads records from @p from on, waiting up to @p wait for one to come. Fails with Trimmed when the log no longer holds
     * @p from.
     */
    std::function<Answer<LogBatch>(LogStream stream, std::uint64_t from, std::chrono::milliseconds wait)> read;
    /** What the stream holds at present. */
    std::function<Answer<LogBounds>(LogStream stream)> bounds;
    /**
     * Keeps a snapshot of what the stream's records come to, in place of the one before. Records expire, the newest snapshot
     * stays. Fails with Conflict when another instance keeps one at the same time; the one before then stays in force.
     */
    std::function<Answer<void>(LogStream stream, std::string snapshot)> saveSnapshot;
    /** The newest snapshot, or nothing where none was kept. */
    std::function<Answer<std::optional<std::string>>(LogStream stream)> newestSnapshot;
    /** Tells that this instance lives and where its peers reach it; answers the others that did so lately. */
    std::function<Answer<std::vector<InstanceEntry>>(Incarnation self, Endpoint peerAddress)> instances;
};

} // namespace flamingosaddle
