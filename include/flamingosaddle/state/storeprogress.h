#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace flamingosaddle
{

/**
 * How far an instance has itself read a topic of the platform's store.
 */
struct TopicProgress {
    std::uint64_t nextOffset = 0; ///< offset after the last record that was read
    std::chrono::milliseconds age{0}; ///< time since it sent the last read that found nothing newer

    friend bool operator==(const TopicProgress &, const TopicProgress &) = default;
};

/**
 * The progress that a relay reports to the instances that rely on it. Topics that it does not follow are absent.
 */
struct StoreProgress {
    std::optional<TopicProgress> config; ///< the operator's configuration
    std::optional<TopicProgress> servers; ///< the entries of backend servers

    friend bool operator==(const StoreProgress &, const StoreProgress &) = default;
};

/**
 * Decides whether an instance may rely on its peers for a topic or has to read the store itself. Without it, each of
 * hundreds of instances would poll the store once a second. The class does no I/O and reads no clock: the time is an
 * argument.
 *
 * A peer reports its progress in the response to a request. It was at most `age` behind the store when it responded, and it
 * responded after the request was sent. Hence the topic provably ended at `nextOffset` at the time of the request minus
 * `age`. A peer that is paused, slow or partitioned can only make that time older.
 */
class RelayedTopic
{
public:
    /**
     * @param stalenessLimit maximum age of the newest proof
     * @param responseTimeout maximum time since the last response; shorter than @p stalenessLimit, so that the loss of all
     * peers is detected before the proof is stale
     */
    RelayedTopic(Duration stalenessLimit, Duration responseTimeout);

    // Commands.
    /** Records a peer's response at @p now to a request that was sent at @p requestedAt. */
    void recordProgress(const TopicProgress &progress, TimePoint requestedAt, TimePoint now);

    // Queries.
    /** Returns the newest time at which the topic provably ended at or before @p nextOffset; nothing if there is no proof. */
    std::optional<TimePoint> confirmedAt(std::uint64_t nextOffset) const;
    /** Returns whether a peer follows the topic closely enough to rely on it. */
    bool isFresh(TimePoint now) const;
    /** Returns until when isFresh() holds without another response. */
    TimePoint freshUntil() const;
    /** Returns the highest log end that any peer has reported. */
    std::uint64_t logEnd() const;

private:
    Duration stalenessLimit;
    Duration responseTimeout;
    std::optional<TimePoint> lastResponseAt;
    std::uint64_t highestOffset = 0; // highest offset of all responses
    std::uint64_t confirmedEnd = 0; // log end that confirmedTime refers to
    std::optional<TimePoint> confirmedTime;
};

} // namespace flamingosaddle
