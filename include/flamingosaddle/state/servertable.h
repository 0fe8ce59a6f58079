#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/state/config.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace flamingosaddle
{

/**
 * A backend server as it registers itself.
 */
struct RegisteredServer {
    BackendServer server;
    std::uint64_t startedAt = 0; ///< Unix milliseconds; tells two starts under the same id apart
    std::optional<std::chrono::milliseconds> leavesIn{}; ///< of a server that is taken away

    friend bool operator==(const RegisteredServer &, const RegisteredServer &) = default;
};

/**
 * One change of an entry; without a server the entry is gone or names none.
 */
struct ServerChange {
    BackendServerId id;
    std::optional<RegisteredServer> server;

    friend bool operator==(const ServerChange &, const ServerChange &) = default;
};

struct ServerTableOptions {
    /** After an outage of the platform's store, for servers whose entries lapsed meanwhile to register again. */
    Duration returnGrace = std::chrono::seconds(2);
};

/**
 * The backend servers that are registered. An entry that vanishes while the store is away, or is found missing shortly after
 * its return, is kept until the grace is over: the server could not renew it. Pure: the time is an argument.
 */
class ServerTable
{
public:
    explicit ServerTable(ServerTableOptions options = {});

    // Commands. Each answers whether servers() changed.

    bool apply(const ServerChange &change, TimePoint now);
    /** Takes all entries that there are; any other is gone. */
    bool replace(const std::vector<ServerChange> &entries, TimePoint now);
    /** Drops the entries whose grace is over. */
    bool expire(TimePoint now);
    void noteStoreLost();
    void noteStoreBack(TimePoint now);
    /** Keeps entries that vanish until @p until: another instance sees that the store is back from an outage. */
    void keepVanishedUntil(TimePoint until);

    // Queries.
    const std::map<BackendServerId, RegisteredServer> &servers() const;
    /** When expire() has something to do. */
    std::optional<TimePoint> nextExpiry() const;
    /** Whether the entry has vanished and is kept for the grace only. */
    bool isLapsing(const BackendServerId &id) const;
    /** How much longer entries that vanish are kept; zero when they go at once. */
    Duration graceLeft(TimePoint now) const;

private:
    bool remove(const BackendServerId &id, TimePoint now);

    ServerTableOptions options;
    std::map<BackendServerId, RegisteredServer> entries;
    std::map<BackendServerId, TimePoint> lapsing; // until when a missing entry is kept
    bool storeAway = false;
    std::optional<TimePoint> graceUntil;
};

} // namespace flamingosaddle
