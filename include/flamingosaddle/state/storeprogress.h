#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace flamingosaddle
{

/**
 * How far an instance has read one topic of the platform's store by itself.
 */
struct TopicProgress {
    std::uint64_t next = 0; ///< the offset after the last record that was read
    std::chrono::milliseconds age{0}; ///< since the last read was sent that found nothing newer

    friend bool operator==(const TopicProgress &, const TopicProgress &) = default;
};

/**
 * What an instance that reads the store tells those that rely on it. Topics that it does not follow are left out.
 */
struct StoreProgress {
    std::optional<TopicProgress> config; ///< the operator's configuration
    std::optional<TopicProgress> servers; ///< the entries of backend servers

    friend bool operator==(const StoreProgress &, const StoreProgress &) = default;
};

/**
 * Whether an instance may rely on its peers for a topic, or has to read it in the store. For fleets of hundreds of instances
 * that would each poll the store once a second. Pure: the time is an argument.
 *
 * A peer's progress arrives as the answer to a question. The peer was at most `age` behind the store when it answered, and it
 * answered after the question was sent, so that the time of the question less the age is a time at which the topic is proved
 * to have ended at `next`. A peer that is frozen, slow or cut off can only make that time older.
 */
class RelayedTopic
{
public:
    /**
     * @param patience how old the newest proof of a peer may be
     * @param answerPatience how long ago the last answer may have come: peers that are gone are missed sooner than the
     * proof gets old
     */
    RelayedTopic(Duration patience, Duration answerPatience);

    // Commands.
    /** A peer answered a question that was sent at @p askedAt; the answer came at @p now. */
    void note(const TopicProgress &progress, TimePoint askedAt, TimePoint now);

    // Queries.
    /** The newest time at which the topic is proved to have ended at @p next or before; nothing without such a proof. */
    std::optional<TimePoint> provedAt(std::uint64_t next) const;
    /** Whether a peer follows the topic closely enough to rely on it. */
    bool isFollowed(TimePoint now) const;
    /** Until when isFollowed() holds without another answer. */
    TimePoint followedUntil() const;
    /** The end of the topic as far as any peer knows. */
    std::uint64_t end() const;

private:
    Duration patience;
    Duration answerPatience;
    std::optional<TimePoint> answeredAt; // when the newest answer came
    std::uint64_t highest = 0; // the highest offset of all answers
    std::uint64_t provedEnd = 0; // the offset that the newest proof is of
    std::optional<TimePoint> proof;
};

} // namespace flamingosaddle
