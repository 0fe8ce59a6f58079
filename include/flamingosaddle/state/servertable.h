#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/state/config.h>
#include <flamingosaddle/state/departedservers.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace flamingosaddle
{

/**
 * A backend server's registration.
 */
struct RegisteredServer {
    BackendServer server;
    std::uint64_t startedAt = 0; ///< Unix milliseconds; distinguishes two starts with the same id
    std::optional<std::chrono::milliseconds> leavesIn{}; ///< time until a server that is being reclaimed stops
    std::chrono::milliseconds coldFor{0}; ///< how much longer the server is cold; 0 if it is warm

    friend bool operator==(const RegisteredServer &, const RegisteredServer &) = default;
};

/**
 * A change of a registry entry. Without a server, the entry was removed or names no server.
 */
struct ServerChange {
    BackendServerId id;
    std::optional<RegisteredServer> server;

    friend bool operator==(const ServerChange &, const ServerChange &) = default;
};

/**
 * Returns the longest time from the end of a server that renews its entry at the interval @p heartbeat until all instances know
 * that the entry is gone.
 */
Duration entryRemovalTime(Duration heartbeat);

struct ServerTableOptions {
    /** Time after an outage of the platform's store for servers whose entries expired during it to register again. */
    Duration gracePeriod = std::chrono::seconds(2);
    /** Time for which a restored entry is withheld; longer than the store lists an entry that its server does not renew. */
    Duration withholdPeriod = entryRemovalTime(std::chrono::milliseconds(1200));
};

/**
 * The registered backend servers. An entry that disappears during an outage of the store, or is found missing shortly after
 * it, is kept as missing until the grace period ends, because the server could not renew it. A server that leaves remains leaving
 * until it restarts, whether it is listed or not, since an entry that says otherwise comes from a backup of the store. For the
 * same reason an entry that was removed, and that a store restored since lists again, is withheld until it is renewed. An entry
 * states how much longer its server is cold; the table turns that into a time, see BackendServer::coldUntil. The class does no
 * I/O and reads no clock: the time is an argument.
 */
class ServerTable
{
public:
    /** Longest cold time that is believed, so that a faulty entry cannot hold back work for ever. */
    static constexpr std::chrono::milliseconds maxColdTime = std::chrono::minutes(10);
    /** Difference between two statements of the end of a cold time below which the earlier one holds: entries lag differently. */
    static constexpr Duration coldUntilTolerance = std::chrono::milliseconds(300);

    explicit ServerTable(ServerTableOptions options = {});

    // Commands. Those with a result return whether servers() changed.

    /** Sets the epoch of the store that the next changes come from. */
    void setEpoch(std::uint64_t epoch);
    bool apply(const ServerChange &change, TimePoint now);
    /** Replaces the entries with the complete list @p entries. */
    bool replace(const std::vector<ServerChange> &entries, TimePoint now);
    /**
     * Records that a server said itself that it leaves, in response to a request sent at @p sentAt. This counts for the start
     * that was registered then, also if its entry has disappeared or a newer start of the server has registered since.
     */
    bool recordLeaving(const BackendServerId &id, TimePoint sentAt);
    /** Removes the entries whose grace period has ended, and uses those that were withheld for long enough. */
    bool expire(TimePoint now);
    /** Starts an outage of the store: entries that disappear are kept. */
    void onStoreLost();
    /** Ends the outage and starts the grace period. */
    void onStoreRecovered(TimePoint now);
    /** Extends the grace period to @p until, because another instance saw the store recover from an outage. */
    void extendGraceUntil(TimePoint until);

    // Queries.
    const std::map<BackendServerId, RegisteredServer> &servers() const;
    /** Returns the entries that are withheld. */
    std::vector<ServerChange> withheld() const;
    /** Returns the server as its entry would state it at @p now. */
    RegisteredServer statementOf(const BackendServerId &id, TimePoint now) const;
    /** Returns when expire() is next due. */
    std::optional<TimePoint> nextExpiry() const;
    /** Returns whether the entry has disappeared and is kept only for the grace period. */
    bool isInGracePeriod(const BackendServerId &id) const;
    /** Returns the remaining grace period; zero if there is none. */
    Duration remainingGrace(TimePoint now) const;

private:
    /** An entry that a restored store lists again. */
    struct Withheld {
        RegisteredServer server;
        TimePoint until;
    };

    /** Returns whether the entry was removed before the store was restored. */
    bool wasRemovedBefore(const ServerChange &listed) const;
    bool remove(const BackendServerId &id, TimePoint now);
    /** Removes the entry of a server and remembers what is known of its start. Returns whether there was one. */
    bool removeEntry(const BackendServerId &id);
    /** Records since when the start of a server that is listed now is registered. */
    void recordRegistration(const BackendServerId &id, const std::optional<DepartedServer> &known, TimePoint now);
    /** Returns what outlasts the entry of a listed server. */
    DepartedServer knownOf(const BackendServerId &id) const;
    /** Returns the end of the server's cold time, given what was known of this start. */
    static TimePoint coldUntil(const RegisteredServer &server, const std::optional<DepartedServer> &known, TimePoint now);

    ServerTableOptions options;
    std::map<BackendServerId, RegisteredServer> entries;
    std::map<BackendServerId, TimePoint> registeredAt; // when the current start of each server was first seen
    DepartedServers departed;
    std::map<BackendServerId, Withheld> withheldEntries;
    std::uint64_t epoch = 0;
    std::map<BackendServerId, TimePoint> graceDeadlines; // end of the grace period of each missing entry
    bool storeUnavailable = false;
    std::optional<TimePoint> graceUntil;
};

} // namespace flamingosaddle
