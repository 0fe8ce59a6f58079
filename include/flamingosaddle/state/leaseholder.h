#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/state/leasestate.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace flamingosaddle
{

/**
 * One process's hold on one role.
 *
 * The caller appends the records that the commands answer, at once or later, any number of times; feeds every record
 * of the role, as it reads it from the log, to the LeaseTable and then to observe(). Nothing is held by an append's
 * answer alone.
 */
class LeaseHolder
{
public:
    LeaseHolder(Role role, Incarnation self, LeaseTiming timing);

    // Commands.

    /**
     * A claim to append, when @p table permits one or names this process as the holder, whose lease has lapsed, and no
     * claim of this process is under way. The lease's time starts at @p now. @p sequence names the record.
     */
    std::optional<LeaseRecord> claim(const LeaseTable &table, std::uint64_t sequence, TimePoint now);

    /** A renewal to append; nothing when the lease is not held. Its time starts at @p now. */
    std::optional<LeaseRecord> renew(std::uint64_t sequence, TimePoint now);

    /**
     * Gives the role up: isHeld() is false from here on, until another claim. Call it when every order has ended.
     */
    std::optional<LeaseRecord> release(std::uint64_t sequence);

    /** Takes in a record of the role that was read from the log and @p accepted or not by the table. */
    void observe(std::uint64_t offset, const LeaseRecord &record, bool accepted);

    // Queries.

    bool isHeld(TimePoint now) const;

    /** How long the lease goes on being held without another renewal; zero when it is not held. */
    Duration remaining(TimePoint now) const;

    /** The fencing number of orders; 0 when no claim of this process is in force. */
    std::uint64_t epoch() const;

    /** When the next renewal is due: a third of the duration after the last one was sent. */
    TimePoint renewalDue() const;

    static constexpr std::size_t maxPendingRecords = 16;

private:
    /** A record that was handed out for appending and not read back yet. */
    struct Pending {
        std::uint64_t sequence = 0;
        TimePoint start;
    };

    LeaseRecord makeRecord(LeaseRecordKind kind, std::uint64_t sequence) const;
    void remember(std::uint64_t sequence, TimePoint now);
    std::optional<TimePoint> startOf(std::uint64_t sequence) const;
    void drop();

    Role role;
    Incarnation self;
    LeaseTiming timing;
    std::deque<Pending> pending; // the newest ones; a forgotten one gives no hold
    std::uint64_t heldEpoch = 0;
    TimePoint heldUntil{};
    TimePoint lastSent{};
    std::optional<TimePoint> claimSent;
};

} // namespace flamingosaddle
