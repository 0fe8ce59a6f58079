#pragma once

#include <flamingosaddle/base/backoff.h>
#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/configstate.h>
#include <flamingosaddle/state/publishedconfig.h>
#include <flamingosaddle/state/servertable.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace flamingosaddle
{

/**
 * What a read of the operator's configuration found.
 */
struct ConfigReading {
    std::uint64_t next = 0; ///< where the next read goes on
    std::optional<PublishedConfig> newest; ///< nothing when no configuration came since the last read
    bool isAtEnd = false; ///< whether no newer one was there when the answer was made

    friend bool operator==(const ConfigReading &, const ConfigReading &) = default;
};

/**
 * What a read of the backend servers' entries found.
 */
struct ServerReading {
    std::uint64_t next = 0; ///< where the next read goes on
    bool isComplete = false; ///< whether the changes are all entries that there are
    std::vector<ServerChange> changes; ///< oldest first

    friend bool operator==(const ServerReading &, const ServerReading &) = default;
};

/**
 * How the directory reads a platform. Each call waits up to @p wait for something new, and fails with Trimmed when the
 * platform no longer holds @p from; without @p from it answers what is in force.
 */
struct DirectoryHooks {
    std::function<boost::asio::awaitable<Result<ConfigReading>>(
        std::optional<std::uint64_t> from, std::chrono::milliseconds wait)>
        readConfig;
    std::function<boost::asio::awaitable<Result<ServerReading>>(
        std::optional<std::uint64_t> from, std::chrono::milliseconds wait)>
        readServers;
};

struct DirectoryOptions {
    /** Of one read; the proof that a configuration is current is this old when an outage begins, a fifth of the freshness limit.
     */
    std::chrono::milliseconds configWait{1000};
    std::chrono::milliseconds serverWait{2000}; ///< of one read; a silent connection is noticed this late
    /** Between two reads: many servers renew their entries all the time, and each call has a price. */
    std::chrono::milliseconds serverPause{500};
    ServerTableOptions servers;
    std::uint64_t seed = 1;
};

/**
 * The configuration that an operator publishes and the backend servers that register themselves, followed at a platform.
 * Lives on the control thread.
 */
class Directory
{
public:
    /** @param onAdvance called when state() changed or its currency was proved anew */
    Directory(DirectoryHooks hooks, DirectoryOptions options, std::function<void()> onAdvance);

    // Commands.

    /** Each runs until stop(); the object has to outlive the coroutines. */
    boost::asio::awaitable<void> runConfig();
    boost::asio::awaitable<void> runServers();
    void stop();

    // Queries.

    /** The configuration with the servers that may be used; nullptr before the first configuration. */
    std::shared_ptr<const ConfigState> state() const;
    /** The newest configuration; nothing before the first one. */
    const std::optional<PublishedConfig> &config() const;
    /** The servers that are registered. */
    const ServerTable &servers() const;
    /** When the last read was sent that found no newer configuration. */
    std::optional<TimePoint> provedAt() const;

private:
    boost::asio::awaitable<bool> readConfigOnce();
    boost::asio::awaitable<bool> readServersOnce();
    void takeConfig(PublishedConfig config);
    void takeServers(const ServerReading &reading);
    void publish();

    DirectoryHooks hooks;
    DirectoryOptions options;
    std::function<void()> onAdvance;
    Backoff configBackoff;
    Backoff serverBackoff;
    std::optional<std::uint64_t> configNext;
    std::optional<std::uint64_t> serversNext;
    std::optional<PublishedConfig> newest;
    ServerTable table;
    std::shared_ptr<const ConfigState> current;
    std::optional<TimePoint> proof;
    bool configAnswers = true;
    bool stopped = false;
};

} // namespace flamingosaddle
