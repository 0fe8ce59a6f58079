#pragma once

#include <flamingosaddle/base/backoff.h>
#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/base/timer.h>
#include <flamingosaddle/peer/message.h>
#include <flamingosaddle/state/configstate.h>
#include <flamingosaddle/state/evacuations.h>
#include <flamingosaddle/state/publishedconfig.h>
#include <flamingosaddle/state/servertable.h>
#include <flamingosaddle/state/storeprogress.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace flamingosaddle
{

/**
 * The result of a read of the operator's configuration.
 */
struct ConfigReadResult {
    std::uint64_t nextOffset = 0; ///< offset at which the next read continues
    std::optional<PublishedConfig> newest; ///< empty when no configuration was published since the last read
    bool isAtEnd = false; ///< whether the read reached the end of the log
    bool isComplete = false; ///< whether the evacuations list every data centre that is evacuated
    std::vector<EvacuationChange> evacuations; ///< in the same topic; oldest first

    friend bool operator==(const ConfigReadResult &, const ConfigReadResult &) = default;
};

/**
 * The result of a read of the backend servers' entries.
 */
struct ServerReadResult {
    std::uint64_t nextOffset = 0; ///< offset at which the next read continues
    bool isComplete = false; ///< whether the changes list all existing entries
    std::vector<ServerChange> changes; ///< oldest first
    bool isAtEnd = true; ///< whether the read reached the end of the log

    friend bool operator==(const ServerReadResult &, const ServerReadResult &) = default;
};

/**
 * Records that were read from the log of the origins of streams.
 */
struct StreamLogBatch {
    std::uint64_t nextOffset = 0; ///< offset at which the next read continues
    bool isAtEnd = false; ///< whether the read reached the end of the log
    std::vector<std::string> records;

    friend bool operator==(const StreamLogBatch &, const StreamLogBatch &) = default;
};

/**
 * The software versions of services in the store, see VersionHistory.
 */
struct StoredVersions {
    std::uint64_t endOffset = 0; ///< of the log, at which an append that replaces them has to arrive
    std::optional<std::string> record; ///< empty before the first append

    friend bool operator==(const StoredVersions &, const StoredVersions &) = default;
};

/**
 * Hooks for logs of the platform that all instances share. All may be empty if the platform has none.
 */
struct StreamLogHooks {
    std::function<boost::asio::awaitable<Result<void>>(std::string record)> append;
    /** Reads from @p from, or from the oldest retained record. Fails with Trimmed when the platform no longer holds @p from. */
    std::function<boost::asio::awaitable<Result<StreamLogBatch>>(std::optional<std::uint64_t> from)> read;
    std::function<boost::asio::awaitable<Result<StoredVersions>>()> readVersions;
    /** Replaces the versions in the store. Fails with Conflict unless the log ends at @p endOffset. */
    std::function<boost::asio::awaitable<Result<void>>(std::string record, std::uint64_t endOffset)> appendVersions;
};

/**
 * Hooks by which the directory reads a platform. Each call waits up to @p wait for a new record, and fails with Trimmed when
 * the platform no longer holds @p from. Without @p from it returns the current state.
 */
struct DirectoryHooks {
    std::function<boost::asio::awaitable<Result<ConfigReadResult>>(
        std::optional<std::uint64_t> from, std::chrono::milliseconds wait)>
        readConfig;
    std::function<boost::asio::awaitable<Result<ServerReadResult>>(
        std::optional<std::uint64_t> from, std::chrono::milliseconds wait)>
        readServers;
    StreamLogHooks streams; ///< used by StreamRegistry
};

/**
 * Hooks by which the directory uses relays, which are other instances that read the store.
 */
struct DirectoryRelayHooks {
    /** Returns whether this instance is a relay, which always reads the store. */
    std::function<bool()> isRelay;
    /** Requests the changes of servers' entries from offset @p from on from the instance at @p peer. */
    std::function<void(const Endpoint &peer, std::uint64_t from)> requestServers;
};

struct DirectoryOptions {
    /**
     * Longest wait of one read. A read confirms that the configuration was current when the read was sent. The newest
     * confirmation can therefore be twice as old as this wait, and one heartbeat interval more on an instance that relies on
     * relays. This stays below two fifths of the freshness limit.
     */
    std::chrono::milliseconds configPollTimeout{750};
    std::chrono::milliseconds serverPollTimeout{
        1000}; ///< longest wait of one read; also the delay until a silent connection is detected
    /** Pause between two reads. Many servers renew their entries continuously, and each call has a cost. */
    std::chrono::milliseconds serverPollPause{400};
    /** Age of a relay's confirmation of the configuration above which this instance reads the store. */
    Duration configStalenessLimit = std::chrono::milliseconds(2500);
    Duration serverStalenessLimit = std::chrono::milliseconds(3000); ///< the same for the servers' entries
    /** Longest time without an acknowledgement from any relay. Relays acknowledge each heartbeat. */
    Duration relaySilenceLimit = std::chrono::milliseconds(1000);
    /** Longest time for which this instance lacks entries that a relay has, before it reads the store. */
    Duration lagLimit = std::chrono::milliseconds(1000);
    std::size_t maxRetainedBatches = 256; ///< batches of changes of servers' entries that are retained for other instances
    ServerTableOptions servers;
    std::uint64_t seed = 1;
};

/**
 * Follows the configuration that an operator publishes and the backend servers that register themselves on a platform.
 * Must be used on the control thread.
 */
class Directory
{
public:
    /**
     * Called when the servers' entries were confirmed to be those of a newer time; only if servers of some service bear few
     * requests while they are cold, and not while servers may not have renewed their entries after an outage of the store.
     */
    using ConfirmationHook = std::function<void(TimePoint confirmedAt)>;

    /** @param onUpdate called when state() has changed or was confirmed to be current */
    Directory(DirectoryHooks hooks, DirectoryRelayHooks relayHooks, DirectoryOptions options, std::function<void()> onUpdate,
        ConfirmationHook onServersConfirmed = {});

    // Commands.

    /** Each coroutine runs until stop(). The object must outlive them. */
    boost::asio::awaitable<void> runConfig();
    boost::asio::awaitable<void> runServers();
    /** Removes servers when their grace period ends, whatever the reads of the store wait for. */
    boost::asio::awaitable<void> runServerExpiry();
    void stop();

    /**
     * Applies the progress of the relay at @p peer, received at @p now in the acknowledgement of a frame that was sent at
     * @p sentAt.
     * @param isSameDataCentre whether the relay is of the own data centre. Only such a relay is asked for entries, since they are
     * large.
     */
    void applyPeerProgress(
        const Endpoint &peer, bool isSameDataCentre, const StoreProgress &progress, TimePoint sentAt, TimePoint now);
    /** Reads the servers' entries once, whether a read is due or not. Returns whether that succeeded. */
    boost::asio::awaitable<bool> readServersNow();
    /** Records that a server said itself that it leaves, see ServerTable::recordLeaving(). */
    void recordServerLeaving(const BackendServerId &id, TimePoint sentAt);
    /** Applies servers' entries that a relay has read. */
    void applyRelayedServers(const ServersMessage &relayed);

    // Queries.

    /** Returns how far this instance itself has read the store, for the instances that rely on it. */
    StoreProgress progress() const;
    /** Returns the changes of servers' entries since @p from, or all entries when those changes are no longer retained. */
    ServersMessage serversSince(std::uint64_t from) const;

    /** Returns the configuration with the servers that may be used; nullptr before the first configuration. */
    std::shared_ptr<const ConfigState> state() const;
    /** Returns the newest configuration; empty before the first one. */
    const std::optional<PublishedConfig> &config() const;
    /** Returns the registered servers. */
    const ServerTable &servers() const;
    /** Returns the data centres that the operator has evacuated or taken back. */
    const Evacuations &evacuations() const;
    /**
     * Returns the newest time at which the configuration was confirmed to be current, either by a read of this instance that
     * found no newer one (the time at which it was sent) or by a relay.
     */
    std::optional<TimePoint> confirmedAt() const;
    /** Returns the store's epoch at this instance's last read of the servers' entries. */
    std::uint64_t storeEpoch() const;

private:
    struct Batch {
        std::uint64_t fromOffset = 0;
        std::uint64_t nextOffset = 0;
        std::vector<ServerChange> changes;
        TimePoint readAt;
    };

    boost::asio::awaitable<bool> readConfigOnce();
    boost::asio::awaitable<bool> readServersOnce(std::chrono::milliseconds wait);
    void recordServerStoreReachable(bool reachable);
    bool isConfigReadDue(TimePoint now) const;
    bool isServerReadDue(TimePoint now) const;
    TimePoint nextServerReadDue() const;
    void advanceServersOffset(std::uint64_t next);
    void updateReliance(bool relies);
    /**
     * Waits before a retry for @p relayDelay or, if this instance is no relay, for @p followerDelay or until a relay has read.
     */
    boost::asio::awaitable<void> waitForRetry(Duration relayDelay, Duration followerDelay, const RelayedTopic &relayed);
    /** Waits until @p deadline or wakeReaders(), but at most for the lag limit. */
    boost::asio::awaitable<void> waitForReadDue(std::shared_ptr<Timer> &timer, TimePoint deadline);
    boost::asio::awaitable<void> waitUntil(std::shared_ptr<Timer> &timer, TimePoint deadline);
    void wakeReaders();
    void wakeServerExpiry();
    void requestMissingServers(const Endpoint &peer, bool isSameDataCentre, const TopicProgress &progress, TimePoint now);
    /** Adopts a relay's newer confirmation of the configuration that this instance has read. */
    void adoptRelayedConfirmation();
    void retainBatch(std::uint64_t from, const ServerReadResult &reading);
    void applyConfig(PublishedConfig config);
    /** Returns whether the evacuation of any data centre changed. */
    bool applyEvacuations(const ConfigReadResult &reading);
    /** @param source where the entries come from, for the log */
    void applyServers(const ServerReadResult &reading, std::string_view source);
    /** Drops the cold times of servers that bear all requests while they are cold, so that nobody has to keep or pass them on. */
    void dropUnlimitedColdTimes(ServerReadResult &reading) const;
    /** Reports, at intervals, how new the servers' entries are. */
    void reportServersConfirmed(TimePoint now);
    /** Returns how many requests a cold server of the service bears per second; 0 if there is no limit. */
    double coldRequestsPerSecond(const ServiceName &service) const;
    void expireServers();
    std::chrono::milliseconds serverReadWait() const;
    void publishState();

    DirectoryHooks hooks;
    DirectoryRelayHooks relayHooks;
    DirectoryOptions options;
    std::function<void()> onUpdate;
    ConfirmationHook onServersConfirmed;
    Backoff configBackoff;
    Backoff serverBackoff;
    Backoff followerConfigBackoff; // while this instance is no relay
    Backoff followerServerBackoff; // while this instance is no relay
    std::optional<std::uint64_t> nextConfigOffset;
    std::optional<std::uint64_t> nextServersOffset;
    std::uint64_t serversEpoch = 0; // of the store at the last own read of the servers' entries
    std::optional<PublishedConfig> newestConfig;
    ServerTable serverTable;
    Evacuations evacuationTable;
    std::shared_ptr<const ConfigState> currentState;
    std::optional<TimePoint> configConfirmedAt;
    std::optional<TimePoint> ownConfigConfirmedAt; // by this instance's own reads
    std::optional<TimePoint> ownServersConfirmedAt;
    std::optional<TimePoint> reportedServersConfirmedAt; // the last that was reported
    RelayedTopic relayedConfig;
    RelayedTopic relayedServers;
    std::optional<TimePoint> laggingSince; // when a relay was first seen to have entries that this instance lacks
    std::optional<TimePoint> serversRequestedAt; // time of the request that a relay has not responded to yet
    std::deque<Batch> batches; // the newest changes of servers' entries, contiguous
    std::shared_ptr<Timer> configWakeTimer; // set while no read is due
    std::shared_ptr<Timer> serversWakeTimer;
    std::shared_ptr<Timer> expiryWakeTimer;
    bool isConfigStoreReachable = true;
    bool isServerStoreReachable = true;
    bool reliesOnRelays = false;
    bool stopped = false;
};

} // namespace flamingosaddle
