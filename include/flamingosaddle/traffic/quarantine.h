#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace flamingosaddle
{

/**
 * The number of backend servers that died while they ran a request.
 */
struct DeathCount {
    std::uint64_t fingerprint = 0;
    std::uint32_t deaths = 0;
    TimePoint expires;

    friend bool operator==(const DeathCount &, const DeathCount &) = default;
};

/**
 * Tracks, by fingerprint, requests that were running when backend servers died.
 *
 * After one death, a request is a suspect: it runs at most once at a time over all instances, as far as reports have arrived, and
 * is cleared when it completes. After maxDeaths deaths it is refused until expiry after the last one. Memory is bounded by
 * capacity; the entry that expires first is evicted when it is full.
 *
 * Two cases can still cost one more server each: copies of a request that run concurrently when its first server dies, and two
 * instances that start a suspect before either has received the other's report.
 */
class Quarantine
{
public:
    static constexpr Duration expiry = std::chrono::hours(1);
    static constexpr std::size_t capacity = 4096;
    /** Repeated reports of one death within this time count once. */
    static constexpr Duration deduplicationInterval = std::chrono::seconds(2);

    enum class Status {
        Clear, ///< no server died during the request
        Suspect, ///< may run, but only alone
        SuspectRunning, ///< suspect that is already running
        Refused,
    };

    explicit Quarantine(std::uint32_t maxDeaths);

    // Commands.

    /**
     * Records that a backend server died while running the request. Returns false if it is a repeated report of the last death.
     * @param server hash of the server's name
     */
    bool recordDeath(std::uint64_t fingerprint, std::uint64_t server, TimePoint now);

    /** Takes back a death for which recordDeath() returned true, because the server was not at fault. */
    void takeBackDeath(std::uint64_t fingerprint);

    /** Applies a peer's report that it runs the suspect until @p until at the latest. */
    void applyPeerRun(std::uint64_t fingerprint, TimePoint until, TimePoint now);

    /** Applies a peer's count of the deaths that the request caused, which is valid until @p until. The higher count is kept. */
    void applyPeerDeathCount(std::uint64_t fingerprint, std::uint32_t deaths, TimePoint until, TimePoint now);

    /**
     * Clears the request after it completed, here or at a peer, without a server dying. One that is refused stays so.
     * @param explained see status()
     */
    void clearSuspicion(std::uint64_t fingerprint, std::uint32_t explained = 0);

    /** Records the start or end of a run here. Only runs of suspects are counted. */
    void recordStart(std::uint64_t fingerprint);
    void recordEnd(std::uint64_t fingerprint);

    // Queries.

    /**
     * Returns the status of @p fingerprint. 0 means no fingerprint and is always clear.
     * @param explained deaths that something else on the same servers explains; the request is not refused for them
     */
    Status status(std::uint64_t fingerprint, TimePoint now, std::uint32_t explained = 0) const;

    /** Returns the counts of deaths that have not expired. If there are more than @p most, those that expire last. */
    std::vector<DeathCount> deathCounts(std::size_t most, TimePoint now) const;

    std::size_t size() const
    {
        return this->entries.size();
    }

private:
    struct Entry {
        std::uint32_t deaths = 0;
        std::uint64_t lastServer = 0;
        TimePoint lastDeath;
        TimePoint peerRunsUntil;
        std::uint32_t running = 0;
        TimePoint expires;
    };

    Entry &findOrAddEntry(std::uint64_t fingerprint, TimePoint now);
    void evict(TimePoint now);

    std::uint32_t maxDeaths;
    std::unordered_map<std::uint64_t, Entry> entries;
};

} // namespace flamingosaddle
