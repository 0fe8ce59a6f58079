#include <flamingosaddle/state/leasestate.h>

#include "recordfields.h"

#include <algorithm>

namespace flamingosaddle
{

template <>
struct EnumNames<LeaseRecordKind> {
    static constexpr std::array values{
        std::pair{LeaseRecordKind::Claim, "claim"},
        std::pair{LeaseRecordKind::Renew, "renew"},
        std::pair{LeaseRecordKind::Release, "release"},
    };
};

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<LeaseRecord> value)
{
    archive.required("id", value.id);
    archive.required("kind", value.kind);
    archive.required("role", value.role);
    archive.optional("revision", value.revision);
    archive.optional("epoch", value.epoch);
    archive.optional("durationMs", value.duration);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<Lease> value)
{
    archive.required("role", value.role);
    archive.required("holder", value.holder);
    archive.required("epoch", value.epoch);
    archive.required("revision", value.revision);
    archive.required("durationMs", value.duration);
    archive.required("released", value.released);
}

std::string encodeLeaseRecord(const LeaseRecord &record)
{
    return encodeRecord(record);
}

Result<LeaseRecord> decodeLeaseRecord(std::string_view text)
{
    Result<LeaseRecord> record = decodeRecord<LeaseRecord>(text);
    if (record.has_value() && record.value().duration > maxLeaseDuration) {
        return fail(ErrorKind::Protocol, "field 'durationMs' is above the longest lease", instanceRecordFormat.remedy);
    }
    return record;
}

Duration LeaseTiming::followerWait(std::chrono::milliseconds leaseDuration) const
{
    constexpr std::int64_t million = 1000000;
    const std::int64_t ppm = this->driftPpm;
    const Duration total = leaseDuration + this->longestOrderLife;
    // total * (million + ppm) / (million - ppm), rounded up: the holder's clock may be slow and the follower's fast.
    return total + total / (million - ppm) * (2 * ppm) + Duration(2 * ppm + 1);
}

LeaseTable::LeaseTable(LeaseTiming timing)
    : timing(timing)
{
}

LeaseTable LeaseTable::restore(LeaseTiming timing, const std::vector<Lease> &leases, std::uint64_t next, TimePoint now)
{
    LeaseTable table(timing);
    table.next = next;
    for (const Lease &lease : leases) {
        table.table[lease.role] = lease;
        table.readTimes[lease.role] = now;
    }
    return table;
}

// Commands.

bool LeaseTable::accepts(const LeaseRecord &record, const Lease *lease) const
{
    if (record.kind == LeaseRecordKind::Claim) {
        const std::uint64_t present = lease == nullptr ? 0 : lease->revision;
        return record.revision == present;
    }
    return lease != nullptr && !lease->released && lease->epoch == record.epoch && lease->holder == record.id.writer;
}

bool LeaseTable::apply(std::uint64_t offset, const LeaseRecord &record, TimePoint now)
{
    if (offset < this->next) {
        return false;
    }
    this->next = offset + 1;
    if (!this->accepts(record, this->find(record.role))) {
        return false;
    }
    Lease &lease = this->table[record.role];
    lease.revision = offset + 1;
    lease.released = record.kind == LeaseRecordKind::Release;
    if (record.kind == LeaseRecordKind::Claim) {
        lease.role = record.role;
        lease.holder = record.id.writer;
        lease.epoch = offset + 1;
    }
    if (record.kind != LeaseRecordKind::Release) {
        lease.duration = record.duration;
    }
    this->readTimes[record.role] = now;
    return true;
}

void LeaseTable::skip(std::uint64_t offset)
{
    this->next = std::max(this->next, offset + 1);
}

void LeaseTable::noteHead(std::uint64_t head, TimePoint sentAt)
{
    if (this->next >= head) {
        this->headReadSentAt = sentAt;
    }
}

// Queries.

std::uint64_t LeaseTable::nextOffset() const
{
    return this->next;
}

const Lease *LeaseTable::find(const Role &role) const
{
    const auto found = this->table.find(role);
    return found == this->table.end() ? nullptr : &found->second;
}

const std::map<Role, Lease> &LeaseTable::leases() const
{
    return this->table;
}

std::optional<TimePoint> LeaseTable::waitEnds(const Role &role) const
{
    const Lease *lease = this->find(role);
    if (lease == nullptr || lease->released) {
        return std::nullopt;
    }
    return this->readTimes.at(role) + this->timing.followerWait(lease->duration);
}

bool LeaseTable::mayClaim(const Role &role, TimePoint now) const
{
    if (!this->headReadSentAt.has_value()) {
        return false;
    }
    const std::optional<TimePoint> end = this->waitEnds(role);
    return !end.has_value() || (now >= *end && *this->headReadSentAt >= *end);
}

// Snapshot.

struct LeaseSnapshot {
    std::uint64_t next = 0;
    std::vector<Lease> leases;
};

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<LeaseSnapshot> value)
{
    archive.required("next", value.next);
    archive.required("leases", value.leases);
}

std::string encodeLeaseSnapshot(const LeaseTable &table)
{
    LeaseSnapshot snapshot;
    snapshot.next = table.nextOffset();
    for (const auto &[role, lease] : table.leases()) {
        snapshot.leases.push_back(lease);
    }
    return encodeRecord(snapshot);
}

Result<LeaseTable> decodeLeaseSnapshot(std::string_view text, LeaseTiming timing, TimePoint now)
{
    const Result<LeaseSnapshot> snapshot = decodeRecord<LeaseSnapshot>(text, snapshotFormat);
    if (snapshot.has_error()) {
        return fail(snapshot.error());
    }
    return LeaseTable::restore(timing, snapshot.value().leases, snapshot.value().next, now);
}

} // namespace flamingosaddle
