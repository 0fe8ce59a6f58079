#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/incarnation.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace flamingosaddle
{

/**
 * A record of the duty log that claims, renews or releases the leader lease.
 */
struct LeadershipRecord {
    RecordId id; ///< its writer holds the lease from this record on, unless it releases it
    std::uint64_t fencingNumber = 0; ///< set in a renewal or release; 0 in a claim, whose offset + 1 becomes the fencing number
    bool released = false;

    friend bool operator==(const LeadershipRecord &, const LeadershipRecord &) = default;
};

std::string encodeLeadershipRecord(const LeadershipRecord &record);
/** Fails with Protocol if @p text is not a leadership record. Never throws, whatever the input. */
Result<LeadershipRecord> decodeLeadershipRecord(std::string_view text);

struct LeadershipTiming {
    Duration leaseDuration = std::chrono::milliseconds(2500); ///< counted from the sending of a record that took effect
    /** Allowance for clock drift between two machines during a lease and for timers that fire late. */
    Duration clockMargin = std::chrono::milliseconds(300);
    /** Minimum time before a superseded leader claims the lease again; prevents the lease from oscillating. */
    Duration reclaimDelay = std::chrono::milliseconds(3500);
};

/**
 * Leader election as one instance sees it.
 *
 * The log accepts a record only if its writer has read everything before it. Of two concurrent claims one therefore fails,
 * and a successful append proves to a leader that no other instance has taken over. The leader counts its lease from before
 * it sent the record; others count it from when they read the record, which is later.
 *
 * The class does no I/O and reads no clock: the time is an argument.
 */
class Leadership
{
public:
    static constexpr std::size_t maxPendingRecords = 16;

    Leadership(Incarnation self, LeadershipTiming timing);

    // Commands.

    /** Returns a record to append that claims the lease, or renews it if it is held. The lease counts from @p now. */
    LeadershipRecord makeRecord(TimePoint now);
    /** Returns a record to append that releases the lease. The lease ends at once, whether or not the append succeeds. */
    LeadershipRecord makeReleaseRecord(TimePoint now);

    /** Applies a record of the log that was read, or whose append was acknowledged, at @p now. */
    void apply(const LeadershipRecord &record, std::uint64_t offset, TimePoint now);

    /** Ends the lease after a call was refused because its fencing number is outdated: another instance leads. */
    void onFenced(TimePoint now);

    // Queries.
    bool isHeld(TimePoint now) const;
    /** Returns the remaining time of the lease; zero if it is not held. */
    Duration remaining(TimePoint now) const;
    /** Returns the fencing number of the last lease, which may have expired; 0 if there was none or it was dropped. */
    std::uint64_t fencingNumber() const;
    bool isRenewalDue(TimePoint now) const;
    /** Returns whether the lease is held and at most one renewal has failed to take effect in time. */
    bool isRenewed(TimePoint now) const;
    bool mayClaim(TimePoint now) const;
    const std::optional<LeadershipRecord> &newestRecord() const;

private:
    void dropLease(TimePoint now);

    Incarnation self;
    LeadershipTiming timing;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, TimePoint> pending; // creation times of unacknowledged records, by sequence
    std::optional<LeadershipRecord> lastRecord;
    TimePoint lastReadAt;
    std::uint64_t heldFencingNumber = 0;
    TimePoint heldFrom;
    TimePoint heldUntil;
    std::optional<TimePoint> supersededAt; // when another instance was last seen to lead
};

} // namespace flamingosaddle
