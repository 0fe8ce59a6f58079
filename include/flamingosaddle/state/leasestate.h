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
#include <vector>

/**
 * Leases that the order of the `leases` stream decides, without a coordination service.
 *
 * Safety: at no moment do two holders both believe that they hold the same role, and the orders that one of them has
 * sent have ended before the next one believes it, as long as every clock runs at a rate within the drift bound,
 * however long an append, a read or a process is delayed. A clock that stops while its machine is suspended is not within
 * the bound. The argument:
 * - The holder's time starts before it sends a record and ends one lease duration later on its clock. It counts only
 *   once the holder has read the record back and found it accepted.
 * - A follower waits from the moment at which it read the holder's last accepted record, which is later. Its wait is
 *   the lease duration plus the longest life of an order, lengthened by the drift of both clocks.
 * - A claim names the revision of the role that it was made against. A renewal that reaches the log before the claim
 *   gives the role another revision, so that the claim is refused by every reader; one that comes after the claim names
 *   an old epoch and is refused.
 */
namespace flamingosaddle
{

using Role = Id<struct RoleTag>; ///< for instance "orders/ke-central-a"

enum class LeaseRecordKind {
    Claim, ///< asks for the role
    Renew, ///< prolongs the holder's lease
    Release, ///< gives the role back; every order of the holder has ended
};

/**
 * One record of the `leases` stream.
 */
struct LeaseRecord {
    RecordId id;
    LeaseRecordKind kind = LeaseRecordKind::Claim;
    Role role;
    std::uint64_t revision = 0; ///< of a claim: Lease::revision that it was made against, 0 for a role never held
    std::uint64_t epoch = 0; ///< of a renewal or release: the lease that it belongs to
    std::chrono::milliseconds duration{}; ///< of a claim or renewal, up to maxLeaseDuration

    friend bool operator==(const LeaseRecord &, const LeaseRecord &) = default;
};

inline constexpr std::chrono::milliseconds maxLeaseDuration = std::chrono::minutes(10);

std::string encodeLeaseRecord(const LeaseRecord &record);

/**
 * Fails with Protocol when @p text is no lease record. Never throws, whatever the bytes.
 */
Result<LeaseRecord> decodeLeaseRecord(std::string_view text);

struct LeaseTiming {
    std::chrono::milliseconds duration = std::chrono::seconds(10);
    /**
     * The longest time from the check of the lease to the last effect of an order sent under it. It covers the bytes
     * that the kernel still holds.
     */
    std::chrono::milliseconds longestOrderLife = std::chrono::seconds(5);
    std::uint32_t driftPpm = 1000; ///< a clock gains or loses at most this in a million; below 1,000,000

    /**
     * How long a follower waits, on its own clock, after it has read a record with @p leaseDuration.
     */
    Duration followerWait(std::chrono::milliseconds leaseDuration) const;

    friend bool operator==(const LeaseTiming &, const LeaseTiming &) = default;
};

/**
 * What the log says of one role, the same on every reader.
 */
struct Lease {
    Role role;
    Incarnation holder;
    std::uint64_t epoch = 0; ///< one more than the offset of the claim; the fencing number of the holder's orders
    std::uint64_t revision = 0; ///< one more than the offset of the last accepted record of the role
    std::chrono::milliseconds duration{};
    bool released = false;

    friend bool operator==(const Lease &, const Lease &) = default;
};

/**
 * The leases after some prefix of the `leases` stream, and when this process read them.
 */
class LeaseTable
{
public:
    explicit LeaseTable(LeaseTiming timing = {});

    /**
     * The table that other readers have before @p next. Every lease counts as read at @p now, which is late and so
     * never too early for a claim.
     */
    static LeaseTable restore(LeaseTiming timing, const std::vector<Lease> &leases, std::uint64_t next, TimePoint now);

    // Commands.

    /**
     * Applies the record at @p offset, which was read at or before @p now. Answers whether the record was accepted.
     * Records below nextOffset() change nothing and are not accepted.
     */
    bool apply(std::uint64_t offset, const LeaseRecord &record, TimePoint now);

    /** Passes over a record that could not be decoded. */
    void skip(std::uint64_t offset);

    /** A read that was sent at @p sentAt answered that the stream ends at @p head. */
    void noteHead(std::uint64_t head, TimePoint sentAt);

    // Queries.

    std::uint64_t nextOffset() const;
    const Lease *find(const Role &role) const;
    const std::map<Role, Lease> &leases() const;

    /**
     * Whether a claim of @p role would be safe and has a chance: its lease has run out for certain, or was released,
     * and the stream was read to its end after that.
     */
    bool mayClaim(const Role &role, TimePoint now) const;

    /**
     * When the wait for @p role ends; nothing for a role that is free.
     */
    std::optional<TimePoint> waitEnds(const Role &role) const;

private:
    bool accepts(const LeaseRecord &record, const Lease *lease) const;

    LeaseTiming timing;
    std::map<Role, Lease> table;
    std::map<Role, TimePoint> readTimes; // of the last accepted record of each role
    std::optional<TimePoint> headReadSentAt;
    std::uint64_t next = 0;
};

/**
 * The agreed part of the table, for a reader that starts when the log no longer holds the first records.
 */
std::string encodeLeaseSnapshot(const LeaseTable &table);

/**
 * The table restored at @p now. Fails with Protocol when @p text is no snapshot. Never throws, whatever the bytes.
 */
Result<LeaseTable> decodeLeaseSnapshot(std::string_view text, LeaseTiming timing, TimePoint now);

} // namespace flamingosaddle
