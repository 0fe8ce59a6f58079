#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/order.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * A stream of the platform's log.
 */
enum class LogStream {
    Config,
    ConfigSnapshot,
    Leases,
    LeasesSnapshot,
    Orders,
    OrdersSnapshot,
    Usage,
    UsageSnapshot,
    Claims,
    ClaimsSnapshot,
};

/**
 * The stream's name in the platform's interface, for instance "config".
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
 * A machine that the backend server interface of one data centre knows of.
 */
struct BackendMachine {
    std::string id;
    std::string address; ///< as Endpoint::parse() reads it
    DataCentre dataCentre;
    std::string model;
    bool cheap = false;
    bool reclaimNotice = false; ///< will be taken away within seconds
    std::string orderId; ///< of the order that started it

    friend bool operator==(const BackendMachine &, const BackendMachine &) = default;
};

struct UsageReport {
    std::string clientAccount;
    std::uint64_t window = 0; ///< start of the window, seconds of the platform's time
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t fencing = 0;
    std::string holder;

    friend bool operator==(const UsageReport &, const UsageReport &) = default;
};

/**
 * The platform's interfaces. Each hook runs one call; its failure kind tells whether the action may have taken effect:
 * Unreachable, Refused and Cancelled mean that it has not, anything else that nobody knows.
 */
struct Platform {
    template <typename T>
    using Answer = boost::asio::awaitable<Result<T>>;

    /** Appends one record and answers its offset. */
    std::function<Answer<std::uint64_t>(LogStream stream, std::string body)> append;
    /**
     * Reads records from @p from on, waiting up to @p wait for one to come. Fails with Trimmed when the log no longer
     * holds @p from; the message names the oldest offset.
     */
    std::function<Answer<LogBatch>(LogStream stream, std::uint64_t from, std::chrono::milliseconds wait)> read;
    /** What the stream holds at present. */
    std::function<Answer<LogBounds>(LogStream stream)> bounds;
    std::function<Answer<std::vector<InstanceEntry>>()> instances;
    std::function<Answer<std::vector<BackendMachine>>(DataCentre dataCentre)> backendMachines;
    /**
     * Sends an order while @p permission answers a time above zero: how much longer the lease is held, as
     * FetchOptions::permission. Fails with Cancelled when it was over and nothing was sent.
     */
    std::function<Answer<void>(PlatformOrder order, std::function<Duration()> permission)> order;
    /** Sends a report, with a permission as for an order. */
    std::function<Answer<void>(UsageReport report, std::function<Duration()> permission)> reportUsage;
};

} // namespace flamingosaddle
