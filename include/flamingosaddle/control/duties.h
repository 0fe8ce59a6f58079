#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/platform/platform.h>
#include <flamingosaddle/state/fleetplanner.h>
#include <flamingosaddle/state/usageaggregator.h>

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
 * A record of a compacted log, which keeps the newest record of each key.
 */
struct KeyedEntry {
    std::string key;
    std::optional<std::string> value; ///< empty when the key was deleted
    std::uint64_t offset = 0;

    friend bool operator==(const KeyedEntry &, const KeyedEntry &) = default;
};

/**
 * The result of a read of a compacted log.
 */
struct KeyedReadResult {
    std::uint64_t nextOffset = 0; ///< offset at which the next read continues
    bool isComplete = false; ///< whether the entries include the newest one of every key
    bool isAtEnd = false; ///< whether the read reached the end of the log
    std::vector<KeyedEntry> entries; ///< oldest first

    friend bool operator==(const KeyedReadResult &, const KeyedReadResult &) = default;
};

/**
 * Identifies the leader lease under which a call is made. Of two calls the one with the higher fencing number prevails.
 */
struct FencingToken {
    InstanceId holder;
    std::uint64_t fencingNumber = 0;

    friend bool operator==(const FencingToken &, const FencingToken &) = default;
};

/**
 * Platform calls of the duties, which only the leader carries out. A call that fails with Conflict was refused. Unavailable,
 * Unreachable and Cancelled mean that it had no effect. After any other failure the call may have taken effect or may still do
 * so.
 */
struct DutyHooks {
    template <typename T>
    using AsyncResult = boost::asio::awaitable<Result<T>>;
    using Permission = std::function<Duration()>;

    /** Appends to the duty log if its end is at offset @p at. Returns the offset of the record. */
    std::function<AsyncResult<std::uint64_t>(std::string key, std::string value, std::uint64_t at)> appendDuty;
    /** Reads the duty log from @p from on, or the newest entry of each key. Fails with Trimmed when @p from is trimmed. */
    std::function<AsyncResult<KeyedReadResult>(std::optional<std::uint64_t> from)> readDuties;
    std::function<AsyncResult<std::uint64_t>(std::vector<std::string> records)> appendCounts; ///< appends all records or none
    /** Reads usage counts from @p from on, or from the oldest record that the log still holds. */
    std::function<AsyncResult<LogBatch>(std::uint64_t from)> readCounts;
    /**
     * Both send only while @p permission returns a positive duration, which is the remaining time of the leader lease (see
     * FetchOptions::permission). They fail with Cancelled when the lease had ended and nothing was sent.
     */
    std::function<AsyncResult<void>(WindowCounts counts, FencingToken stamp, Permission permission)> reportWindow;
    std::function<AsyncResult<void>(ServiceName service, FleetOrder order, FencingToken stamp, Permission permission)>
        orderServers;
};

} // namespace flamingosaddle
