#pragma once

#include <flamingosaddle/base/backoff.h>
#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/base/timer.h>
#include <flamingosaddle/peer/message.h>
#include <flamingosaddle/state/configstate.h>
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

/**
 * How the directory relies on other instances that read the store.
 */
struct DirectoryRelayHooks {
    /** Whether other instances rely on this one, so that it always reads the store. */
    std::function<bool()> isRelay;
    /** Asks the instance at @p peer for the changes of servers' entries from @p from on. */
    std::function<void(const Endpoint &peer, std::uint64_t from)> requestServers;
};

struct DirectoryOptions {
    /** Of one read. A read proves that the configuration was current when it was sent, so that the newest proof is up to twice
     * as old, and at an instance that relies on relays a heartbeat older: less than two fifths of the freshness limit. */
    std::chrono::milliseconds configWait{750};
    std::chrono::milliseconds serverWait{1000}; ///< of one read; a silent connection is noticed this late
    /** Between two reads: many servers renew their entries all the time, and each call has a price. */
    std::chrono::milliseconds serverPause{400};
    /** How old a relay's proof of the configuration may get before this instance reads the store. */
    Duration configPatience = std::chrono::milliseconds(2500);
    Duration serverPatience = std::chrono::milliseconds(3000); ///< the same for the entries of servers
    /** How long no relay may have answered; they do at each heartbeat. */
    Duration relayAnswerPatience = std::chrono::milliseconds(1000);
    /** How long this instance may lack entries that some relay has, before it reads the store. */
    Duration behindLimit = std::chrono::milliseconds(1000);
    std::size_t keptBatches = 256; ///< of changes of servers' entries, for instances that ask for them
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
    Directory(DirectoryHooks hooks, DirectoryRelayHooks relayHooks, DirectoryOptions options, std::function<void()> onAdvance);

    // Commands.

    /** Each runs until stop(); the object has to outlive the coroutines. */
    boost::asio::awaitable<void> runConfig();
    boost::asio::awaitable<void> runServers();
    void stop();

    /**
     * A relay at @p peer answered at @p now how far it is, to a question that was sent at @p askedAt.
     * @param isNear whether it may be asked for entries, which are long: those of the own data centre
     */
    void notePeerProgress(const Endpoint &peer, bool isNear, const StoreProgress &progress, TimePoint askedAt, TimePoint now);
    /** Entries that another instance read. */
    void takeRelayedServers(const ServersMessage &relayed);

    // Queries.

    /** How far this instance has read the store by itself, for those that rely on it. */
    StoreProgress progress() const;
    /** Changes of servers' entries from @p from on or earlier, or all entries when those are not kept any more. */
    ServersMessage serversSince(std::uint64_t from) const;

    /** The configuration with the servers that may be used; nullptr before the first configuration. */
    std::shared_ptr<const ConfigState> state() const;
    /** The newest configuration; nothing before the first one. */
    const std::optional<PublishedConfig> &config() const;
    /** The servers that are registered. */
    const ServerTable &servers() const;
    /** The newest time at which no newer configuration was there: when a read was sent that found none, or a peer's word. */
    std::optional<TimePoint> provedAt() const;

private:
    struct Batch {
        std::uint64_t from = 0;
        std::uint64_t next = 0;
        std::vector<ServerChange> changes;
    };

    boost::asio::awaitable<bool> readConfigOnce();
    boost::asio::awaitable<bool> readServersOnce();
    bool isConfigReadDue(TimePoint now) const;
    bool isServerReadDue(TimePoint now) const;
    TimePoint nextServerReadDue() const;
    void noteServersNext(std::uint64_t next);
    void noteReliance(bool relies);
    /** Waits until a read may be due: until @p deadline, or until wakeReaders(). */
    boost::asio::awaitable<void> waitForReadDue(std::shared_ptr<Timer> &timer, TimePoint deadline);
    void wakeReaders();
    void requestMissingServers(const Endpoint &peer, bool isNear, const TopicProgress &progress, TimePoint now);
    /** Takes over what relays have proved of the configuration that this instance holds. */
    void adoptRelayedProof();
    void keepBatch(std::uint64_t from, const ServerReading &reading);
    void takeConfig(PublishedConfig config);
    void takeServers(const ServerReading &reading);
    void publish();

    DirectoryHooks hooks;
    DirectoryRelayHooks relayHooks;
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
    std::optional<TimePoint> ownConfigProof; // of this instance's own reads
    std::optional<TimePoint> ownServersProof;
    RelayedTopic relayedConfig;
    RelayedTopic relayedServers;
    std::optional<TimePoint> behindSince; // since when a relay has entries that this instance lacks
    std::optional<TimePoint> serversAskedAt; // of a relay that has not answered yet
    std::deque<Batch> batches; // the newest changes of entries, without gaps
    std::shared_ptr<Timer> configWake; // while there is nothing to read
    std::shared_ptr<Timer> serversWake;
    bool configAnswers = true;
    bool reliesOnRelays = false;
    bool stopped = false;
};

} // namespace flamingosaddle
