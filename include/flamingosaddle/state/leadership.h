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
 * A record of the duty log that claims, renews or gives up the lead.
 */
struct LeadershipRecord {
    RecordId id; ///< its writer holds the lead from here on
    std::uint64_t fence = 0; ///< of a renewal or release; 0 for a claim, whose own offset + 1 becomes the fence
    bool released = false;

    friend bool operator==(const LeadershipRecord &, const LeadershipRecord &) = default;
};

std::string encodeLeadershipRecord(const LeadershipRecord &record);
/** Fails with Protocol. Never throws, whatever the bytes. */
Result<LeadershipRecord> decodeLeadershipRecord(std::string_view text);

struct LeadershipTiming {
    Duration lease = std::chrono::milliseconds(2500); ///< from the sending of a record that took effect
    /** That clocks of two machines may run apart during a lease, and that timers may fire late. */
    Duration margin = std::chrono::milliseconds(300);
    /** After which an instance that was followed by another one may lead again, so that the lead does not swing. */
    Duration rest = std::chrono::milliseconds(3500);
};

/**
 * Who leads, as one instance knows it. Records take effect only at the end of a log that their writer has read, so that of
 * two claims one fails, and a leader's append proves that nobody followed it. A lease counts on the leader's clock from
 * before its record was sent; others count from when they read the record, which is later. Pure: the time is an argument.
 */
class Leadership
{
public:
    static constexpr std::size_t maxPending = 16;

    Leadership(Incarnation self, LeadershipTiming timing);

    // Commands.

    /** A record to append that claims the lead, or renews it while it is held. Its lease counts from @p now. */
    LeadershipRecord makeRecord(TimePoint now);
    /** A record to append that gives the lead up. It is not held from here on, whatever becomes of the record. */
    LeadershipRecord release(TimePoint now);

    /** A record that is in the log, as its append answered or as it was read at @p now. */
    void observe(const LeadershipRecord &record, std::uint64_t offset, TimePoint now);

    /** Another instance leads, as the refusal of a call with this one's fence shows. */
    void lose(TimePoint now);

    // Queries.
    bool isHeld(TimePoint now) const;
    Duration remaining(TimePoint now) const; ///< how much longer the lead is held; zero while it is not
    std::uint64_t fence() const; ///< 0 while the lead is not held
    bool isRenewalDue(TimePoint now) const;
    bool mayClaim(TimePoint now) const;
    const std::optional<LeadershipRecord> &newest() const;

private:
    void drop(TimePoint now);

    Incarnation self;
    LeadershipTiming timing;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, TimePoint> pending; // when records were made, by their sequence
    std::optional<LeadershipRecord> last;
    TimePoint lastReadAt;
    std::uint64_t heldFence = 0;
    TimePoint heldFrom;
    TimePoint heldUntil;
    std::optional<TimePoint> followedAt; // when another instance was seen to lead after this one
};

} // namespace flamingosaddle
