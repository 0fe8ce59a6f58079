#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>

namespace flamingosaddle
{

/**
 * What is known of one start of a backend server whose entry is gone.
 */
struct DepartedServer {
    BackendServerId id;
    std::uint64_t startedAt = 0; ///< Unix milliseconds; distinguishes two starts with the same id
    TimePoint registeredAt; ///< when this start was first seen
    bool leaving = false;
    TimePoint coldUntil; ///< see BackendServer::coldUntil
    std::uint64_t epoch = 0; ///< of the store that removed the entry

    friend bool operator==(const DepartedServer &, const DepartedServer &) = default;
};

/**
 * Remembers what backend servers said of themselves after their entries have disappeared, because a store that is restored from a
 * backup may list the same start of a server again. The class does no I/O and reads no clock.
 */
class DepartedServers
{
public:
    static constexpr std::size_t maxServers = 16'384; ///< starts that are remembered; the oldest departures are forgotten

    // Commands.

    void add(const DepartedServer &server);
    /** Removes a start and returns what is known of it, or nothing if it is not remembered. */
    std::optional<DepartedServer> take(const BackendServerId &id, std::uint64_t startedAt);
    /**
     * Records that a server said itself that it leaves, in response to a request sent at @p sentAt. The statement counts for the
     * newest start that had registered by then; it is ignored if there is none.
     */
    void recordLeaving(const BackendServerId &id, TimePoint sentAt);

    // Queries.

    /** Returns what is known of a start, or nullptr if it is not remembered. */
    const DepartedServer *find(const BackendServerId &id, std::uint64_t startedAt) const;
    /** Returns when the newest start of the server was first seen, or nothing if none is remembered. */
    std::optional<TimePoint> lastRegisteredAt(const BackendServerId &id) const;

private:
    struct Key {
        BackendServerId id;
        std::uint64_t startedAt = 0;

        friend auto operator<=>(const Key &, const Key &) = default;
    };
    using Servers = std::list<DepartedServer>;

    /** Returns the start that registered last, at @p until or before. */
    const Servers::iterator *newestStart(const BackendServerId &id, TimePoint until) const;

    Servers servers; // the newest departure last
    std::map<Key, Servers::iterator> index;
};

} // namespace flamingosaddle
