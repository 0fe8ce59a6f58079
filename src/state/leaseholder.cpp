#include <flamingosaddle/state/leaseholder.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

LeaseHolder::LeaseHolder(Role role, Incarnation self, LeaseTiming timing)
    : role(std::move(role))
    , self(std::move(self))
    , timing(timing)
{
}

// Commands.

LeaseRecord LeaseHolder::makeRecord(LeaseRecordKind kind, std::uint64_t sequence) const
{
    LeaseRecord record;
    record.id = {this->self, sequence};
    record.kind = kind;
    record.role = this->role;
    record.epoch = this->heldEpoch;
    record.duration = this->timing.duration;
    return record;
}

void LeaseHolder::remember(std::uint64_t sequence, TimePoint now)
{
    this->pending.push_back({sequence, now});
    if (this->pending.size() > maxPendingRecords) {
        this->pending.pop_front();
    }
    this->lastSent = now;
}

std::optional<LeaseRecord> LeaseHolder::claim(const LeaseTable &table, std::uint64_t sequence, TimePoint now)
{
    const bool isUnderWay = this->claimSent.has_value() && now < *this->claimSent + this->timing.duration;
    const Lease *present = table.find(this->role);
    // Nobody else can hold the role while the log names this process, so its own lapsed lease needs no wait.
    const bool isOwn = present != nullptr && present->holder == this->self;
    if (isUnderWay || this->isHeld(now) || !(isOwn || table.mayClaim(this->role, now))) {
        return std::nullopt;
    }
    this->drop();
    LeaseRecord record = this->makeRecord(LeaseRecordKind::Claim, sequence);
    record.revision = present == nullptr ? 0 : present->revision;
    this->remember(sequence, now);
    this->claimSent = now;
    return record;
}

std::optional<LeaseRecord> LeaseHolder::renew(std::uint64_t sequence, TimePoint now)
{
    if (!this->isHeld(now)) {
        return std::nullopt;
    }
    this->remember(sequence, now);
    return this->makeRecord(LeaseRecordKind::Renew, sequence);
}

std::optional<LeaseRecord> LeaseHolder::release(std::uint64_t sequence)
{
    if (this->heldEpoch == 0) {
        return std::nullopt;
    }
    const LeaseRecord record = this->makeRecord(LeaseRecordKind::Release, sequence);
    this->drop();
    return record;
}

void LeaseHolder::drop()
{
    this->heldEpoch = 0;
    this->pending.clear();
    this->claimSent.reset();
}

std::optional<TimePoint> LeaseHolder::startOf(std::uint64_t sequence) const
{
    for (const Pending &sent : this->pending) {
        if (sent.sequence == sequence) {
            return sent.start;
        }
    }
    return std::nullopt;
}

void LeaseHolder::observe(std::uint64_t offset, const LeaseRecord &record, bool accepted)
{
    if (!accepted || record.role != this->role) {
        return;
    }
    if (record.id.writer != this->self) {
        this->drop();
        return;
    }
    const std::optional<TimePoint> start = this->startOf(record.id.sequence);
    if (!start.has_value()) {
        return;
    }
    if (record.kind == LeaseRecordKind::Claim) {
        this->heldEpoch = offset + 1;
        this->heldUntil = *start + record.duration;
        this->claimSent.reset();
    } else if (record.kind == LeaseRecordKind::Renew && record.epoch == this->heldEpoch) {
        this->heldUntil = std::max(this->heldUntil, *start + record.duration);
    }
}

// Queries.

bool LeaseHolder::isHeld(TimePoint now) const
{
    return this->heldEpoch != 0 && now < this->heldUntil;
}

Duration LeaseHolder::remaining(TimePoint now) const
{
    return this->isHeld(now) ? this->heldUntil - now : Duration::zero();
}

std::uint64_t LeaseHolder::epoch() const
{
    return this->heldEpoch;
}

TimePoint LeaseHolder::renewalDue() const
{
    constexpr int renewalsPerDuration = 3;
    return this->lastSent + this->timing.duration / renewalsPerDuration;
}

} // namespace flamingosaddle
