#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/platform/platform.h>
#include <flamingosaddle/state/fleetplan.h>
#include <flamingosaddle/state/usagebook.h>

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
 * A record of a log that keeps the newest one of each key.
 */
struct KeyedEntry {
    std::string key;
    std::optional<std::string> value; ///< nothing when the key was dropped
    std::uint64_t offset = 0;

    friend bool operator==(const KeyedEntry &, const KeyedEntry &) = default;
};

struct KeyedReading {
    std::uint64_t next = 0; ///< where the next read goes on
    bool isComplete = false; ///< whether the entries are the newest ones of all keys
    bool isAtEnd = false; ///< whether nothing newer was there when the answer was made
    std::vector<KeyedEntry> entries; ///< oldest first

    friend bool operator==(const KeyedReading &, const KeyedReading &) = default;
};

/**
 * Under whose authority a call is made: of two calls the one with the higher fence counts.
 */
struct DutyStamp {
    InstanceId holder;
    std::uint64_t fence = 0;

    friend bool operator==(const DutyStamp &, const DutyStamp &) = default;
};

/**
 * How the duties that one instance does at a time reach a platform. A call that fails with Conflict was refused; Unavailable,
 * Unreachable and Cancelled mean that it was not carried out; after any other failure it may have been, or may still be.
 */
struct DutyHooks {
    template <typename T>
    using Answer = boost::asio::awaitable<Result<T>>;
    using Permission = std::function<Duration()>;

    /** Appends to the duty log when it ends at @p at; answers the offset. */
    std::function<Answer<std::uint64_t>(std::string key, std::string value, std::uint64_t at)> appendDuty;
    /** Reads the duty log from @p from on, or its newest entries. Fails with Trimmed when @p from is gone. */
    std::function<Answer<KeyedReading>(std::optional<std::uint64_t> from)> readDuties;
    std::function<Answer<std::uint64_t>(std::vector<std::string> records)> appendCounts; ///< all of them or none
    /** Reads counts from @p from on, or from the oldest record that there still is. */
    std::function<Answer<LogBatch>(std::uint64_t from)> readCounts;
    /** Both send only while @p permission answers a time above zero: how much longer the lead is held, as
     * FetchOptions::permission. They fail with Cancelled when it was over and nothing was sent. */
    std::function<Answer<void>(WindowCounts counts, DutyStamp stamp, Permission permission)> reportWindow;
    std::function<Answer<void>(ServiceName service, FleetOrder order, DutyStamp stamp, Permission permission)> orderServers;
};

} // namespace flamingosaddle
