#pragma once

#include <flamingosaddle/base/backoff.h>
#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/directory.h>
#include <flamingosaddle/state/streamorigins.h>
#include <flamingosaddle/state/versionhistory.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace flamingosaddle
{

/**
 * The software version at which a stream may be resumed.
 */
struct StreamVersion {
    bool isKnown = false;
    std::string text; ///< empty if the servers state no version
    std::string source; ///< how it became known, for logs

    friend bool operator==(const StreamVersion &, const StreamVersion &) = default;
};

/**
 * Determines the software version at which a caller's stream may be resumed, from the id of the request that began it (empty if
 * the caller did not state one) and the service. May be called on any executor.
 */
using StreamVersionHook = std::function<boost::asio::awaitable<StreamVersion>(std::string request, ServiceName service)>;

/**
 * Keeps where streams began, so that any instance can resume them at the same software version, also after a restart of all
 * instances. See StreamOrigins for what is stored. Must be used on the control thread.
 */
class StreamRegistry
{
public:
    struct Options {
        /** Interval of the appends, which bounds what a crashed instance loses. */
        Duration flushInterval = std::chrono::milliseconds(250);
        /** Added to the interval for each instance, because the store limits the appends of all instances together. */
        Duration flushIntervalPerInstance = std::chrono::milliseconds(10);
        std::function<std::chrono::milliseconds()> unixTime; ///< returns the time since the Unix epoch
        /** Returns whether this instance is a relay, which keeps the services' versions in the store. Empty: it is one. */
        std::function<bool()> isRelay;
        /** Time after the start until this instance writes versions, by when it knows whether it is a relay. */
        Duration initialVersionsDelay = std::chrono::seconds(2);
        /** Returns Membership::latestLossOfContact(). Empty: it is never known that an instance has stopped. */
        std::function<std::optional<TimePoint>()> latestLossOfContact;
        std::uint64_t seed = 1;
    };

    StreamRegistry(boost::asio::any_io_executor controlExecutor, StreamLogHooks hooks, Directory &directory, Options options);

    // Commands.

    // Each coroutine runs until stop(). The object must outlive them.

    /** Saves streams. */
    boost::asio::awaitable<void> run();
    /** Keeps the versions of services. Does not hold up run() while their log cannot be read. */
    boost::asio::awaitable<void> runVersions();
    void stop();
    /** Saves all streams that this instance has begun and that still run, before a shutdown. */
    boost::asio::awaitable<void> flush();
    /** Follows the directory's configuration and servers. */
    void onDirectoryUpdate();
    void setInstanceCount(std::size_t count);
    /** Records that the request began a resumable stream at a server of the software version. */
    void recordStart(const std::string &request, const ServiceName &service, const std::string &softwareVersion);
    /** Records that the caller received the whole stream. */
    void recordCompletion(const std::string &request);
    /** Returns a hook that may be called on any executor. */
    StreamVersionHook hook();

private:
    /** A read of the servers' entries and the log. */
    struct Refresh {
        TimePoint startedAt;
        bool hasSucceeded = false;
    };

    boost::asio::awaitable<void> saveUnsaved();
    /** Follows the services' versions in the store, and updates them if this instance is a relay. */
    boost::asio::awaitable<void> followVersions();
    boost::asio::awaitable<Result<void>> loadVersions();
    boost::asio::awaitable<Result<void>> updateVersions();
    boost::asio::awaitable<void> tryUpdateVersions();
    /** Updates the versions in the store at once if this instance has seen a change. */
    void updateVersionsSoon();
    bool mayUpdateVersions() const;
    void applyVersionChanges();
    StreamVersion knownVersion(const std::string &request, const ServiceName &service) const;
    StreamVersion soleVersion(const ServiceName &service) const;
    /**
     * Returns the version that the service had before its release if a stream that nobody has saved must have begun before it:
     * an instance was lost shortly before the first server of another version started, and none since. The others have saved
     * their streams.
     */
    StreamVersion versionBeforeRelease(const ServiceName &service) const;
    /**
     * Returns the version that the service had before its release if no instance ran when that began, and none was lost since.
     * A stream that is not saved began before the release, because running instances save all streams after it.
     */
    StreamVersion versionBeforeUnobservedRelease(const ServiceName &service) const;
    /** Returns the version at which a stream that nobody has saved must have begun. */
    StreamVersion versionOfUnsaved(const ServiceName &service) const;
    /** Waits until the other instances have saved the streams that they have begun so far. */
    boost::asio::awaitable<void> awaitSaves();
    Duration saveInterval() const;
    boost::asio::awaitable<StreamVersion> versionOf(std::string request, ServiceName service);
    /** Reads the servers' entries and the log, as of a time after the call. Returns whether both could be read. */
    boost::asio::awaitable<bool> refresh();
    boost::asio::awaitable<bool> readLog();

    boost::asio::any_io_executor controlExecutor;
    StreamLogHooks hooks;
    Directory &directory;
    Options options;
    StreamOrigins origins;
    VersionHistory versions;
    std::uint64_t versionsEndOffset = 0; // of the log at the last read
    bool isUpdatingVersions = false;
    TimePoint startedAt = RuntimeClock::now();
    Backoff backoff;
    Backoff versionsBackoff;
    std::size_t instanceCount = 1;
    std::optional<std::uint64_t> nextOffset; // of the log; empty before the first read
    std::optional<Refresh> lastRefresh; // the last one that ended
    bool isRefreshing = false;
    bool stopped = false;
};

} // namespace flamingosaddle
