#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/traffic/recentset.h>
#include <flamingosaddle/traffic/types.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace flamingosaddle
{

/**
 * Finds parts of prompts that crash backend servers, whatever other parts the requests have, and quarantines them.
 *
 * Every part of every request that runs on a server when it dies is a suspect. A request that completes clears its parts. A part
 * is quarantined after minDeaths deaths, each during a run that began after the death before it, so that servers that end at the
 * same time for another reason count once. It must also explain the deaths better than other suspects: if requests without it
 * have a part that was there each time as well, further deaths decide. Of the parts of one request the one that was there at
 * most deaths is quarantined; among equals one that has never been in a completed request, then the one in the fewest requests,
 * then the one furthest back in the prompt. Deaths that a quarantined part explains do not count against other parts.
 *
 * A death is evaluated after settleTime, when the instances have reported to each other all requests that ran on the server.
 *
 * After a quarantine the part is on probation, where a single death is enough for the next one. Memory is bounded.
 */
class PromptQuarantine
{
public:
    static constexpr std::uint32_t minDeaths = 3;
    /** Deaths after which a part also explains why requests without it failed on the same servers. */
    static constexpr std::uint32_t minDeathsToExplain = 2;
    static constexpr Duration quarantineTime = std::chrono::minutes(10); ///< after the last death
    static constexpr Duration probationTime = std::chrono::hours(1); ///< after the quarantine
    static constexpr Duration deathLifetime = std::chrono::hours(1); ///< after which a death is forgotten
    static constexpr Duration mergeInterval = std::chrono::seconds(2); ///< in which reports about a server are about one death
    static constexpr Duration settleTime = std::chrono::milliseconds(200); ///< from the first report of a death
    static constexpr std::size_t maxDeaths = 32; ///< remembered, the newest
    static constexpr std::size_t maxRunsPerDeath = 128;
    static constexpr std::size_t maxPartsPerRun = 32;
    static constexpr std::size_t maxQuarantined = 256;
    static constexpr std::size_t rememberedParts = 4096; ///< newest parts of completed requests

    // Commands.

    /** Records a death seen here or at a peer. Returns the part on probation that is quarantined again because of it. */
    std::optional<PromptPartChange> recordDeath(const ServerDeath &death, TimePoint now);

    /** Evaluates the deaths whose settle time has passed. Returns the parts that are quarantined because of them. */
    std::vector<PromptPartChange> evaluateDeaths(TimePoint now);

    /** Clears the parts of a request that completed here. Returns those that were suspected or quarantined. */
    std::vector<PromptPartChange> recordCompletion(const std::vector<std::uint64_t> &parts);

    /** Applies a peer's quarantine or clearance of a part. Returns whether it changed anything here. */
    bool applyPeerChange(const PromptPartChange &change, TimePoint now);

    // Queries.

    /** Returns when the quarantine of the parts ends, or nothing if none of them is quarantined. */
    std::optional<TimePoint> quarantinedUntil(const std::vector<std::uint64_t> &parts, TimePoint now) const;

    std::vector<PromptPartChange> quarantined(TimePoint now) const;

    /**
     * Returns how many of the deaths during a request are explained by a part, quarantined or suspected, that other requests on
     * the same servers had and this one has not.
     */
    std::uint32_t explainedDeaths(std::uint64_t fingerprint, const std::vector<std::uint64_t> &parts) const;

private:
    struct Run {
        std::uint64_t fingerprint = 0;
        std::vector<std::uint64_t> suspects; // its parts that have not been cleared
        TimePoint startedAt;

        bool has(std::uint64_t part) const;
    };

    struct Death {
        BackendServerId server;
        TimePoint diedAt; // according to the first report
        TimePoint reportedAt; // of the first report
        bool isSettled = false; // see settleTime
        std::vector<Run> runs;

        bool hasRunWith(std::uint64_t part) const;
    };

    struct Quarantine {
        TimePoint until;
        TimePoint probationUntil;
    };

    Death &findOrAddDeath(const BackendServerId &server, TimePoint diedAt, TimePoint now);
    void expire(TimePoint now);
    PromptPartChange quarantine(std::uint64_t part, TimePoint until);
    /** Returns the one of @p parts, of one request, that causes the deaths, if there are enough of them and it is the only
     * explanation. */
    std::optional<std::uint64_t> findCause(const std::vector<std::uint64_t> &parts) const;
    /** Returns whether @p part, of the same request, is the more likely cause. */
    bool isLikelier(std::uint64_t part, std::uint64_t other) const;
    /** Returns whether a part of other requests explains all deaths of @p part as well. */
    bool hasAlternative(std::uint64_t part) const;
    bool explainsDeaths(std::uint64_t part) const;
    /** Returns the settled deaths during runs with the part that each began after the one before, and that no other part
     * explains. */
    std::vector<const Death *> independentDeaths(std::uint64_t part) const;
    bool isExplainedByOther(const Death &death, std::uint64_t part) const;
    bool clear(std::uint64_t part);
    /** Removes the settled deaths that have no suspect left. */
    void removeDeathsWithoutSuspects();

    std::deque<Death> deaths; // oldest first
    std::map<std::uint64_t, Quarantine> quarantines; // by part, including those on probation
    RecentSet completedParts{rememberedParts};
};

} // namespace flamingosaddle
