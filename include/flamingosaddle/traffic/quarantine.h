#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace flamingosaddle
{

/**
 * Requests that were running when backend servers died, by fingerprint.
 *
 * After one death the request is a suspect: it runs at most once at a time over all instances, as far as their words
 * have arrived, and one that is answered is no suspect any more. After maxDeaths it is refused until expiry after the last one.
 * Memory is bounded by capacity; when it is full, the entry that expires first goes.
 *
 * What remains: copies of a request that run side by side when its first server dies, and two instances that start a
 * suspect within the time that a word between them takes, can cost a server more each.
 */
class Quarantine
{
public:
    static constexpr Duration expiry = std::chrono::hours(1);
    static constexpr std::size_t capacity = 4096;
    static constexpr Duration repeatInterval = std::chrono::seconds(2); ///< a word of the same death may come again

    enum class Verdict {
        Clear, ///< no server died of it
        Suspect, ///< may run, alone
        Busy, ///< a suspect that runs already
        Refused,
    };

    explicit Quarantine(std::uint32_t maxDeaths);

    // Commands.

    /** Backend server @p server, by the hash of its name, died while the request ran there. */
    void noteDeath(std::uint64_t fingerprint, std::uint64_t server, TimePoint now);

    /** A peer runs the suspect until @p until at the latest. */
    void notePeerRun(std::uint64_t fingerprint, TimePoint until, TimePoint now);

    /** The request was answered, here or at a peer: the server that died did not die of it. */
    void exonerate(std::uint64_t fingerprint);

    /** A run of the request starts or ends here. Only runs of suspects are counted. */
    void noteStart(std::uint64_t fingerprint);
    void noteEnd(std::uint64_t fingerprint);

    // Queries.

    /** @p fingerprint 0 stands for none and is always clear. */
    Verdict verdict(std::uint64_t fingerprint, TimePoint now) const;

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

    Entry &entryOf(std::uint64_t fingerprint, TimePoint now);
    void makeRoom(TimePoint now);

    std::uint32_t maxDeaths;
    std::unordered_map<std::uint64_t, Entry> entries;
};

} // namespace flamingosaddle
