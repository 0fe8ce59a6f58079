#include <flamingosaddle/state/leadership.h>

#include "recordfields.h"

#include <utility>

namespace flamingosaddle
{

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<LeadershipRecord> value)
{
    archive.required("id", value.id);
    archive.optional("fence", value.fencingNumber);
    archive.optional("released", value.released);
}

std::string encodeLeadershipRecord(const LeadershipRecord &record)
{
    return encodeRecord(record);
}

Result<LeadershipRecord> decodeLeadershipRecord(std::string_view text)
{
    return decodeRecord<LeadershipRecord>(text);
}

Leadership::Leadership(Incarnation self, LeadershipTiming timing)
    : self(std::move(self))
    , timing(timing)
{
}

LeadershipRecord Leadership::makeRecord(TimePoint now)
{
    if (this->pending.size() >= maxPendingRecords) {
        this->pending.erase(this->pending.begin());
    }
    this->pending[++this->sequence] = now;
    return {{this->self, this->sequence}, this->isHeld(now) ? this->heldFencingNumber : 0, false};
}

LeadershipRecord Leadership::makeReleaseRecord(TimePoint now)
{
    LeadershipRecord record{{this->self, ++this->sequence}, this->heldFencingNumber, true};
    // An append that is still in flight must not renew the lease.
    this->pending.clear();
    this->dropLease(now);
    return record;
}

void Leadership::apply(const LeadershipRecord &record, std::uint64_t offset, TimePoint now)
{
    const bool isOwn = record.id.writer == this->self;
    this->lastRecord = record;
    this->lastReadAt = now;
    if (!isOwn || record.released) {
        this->dropLease(now);
        if (!isOwn) {
            this->supersededAt = now;
        }
        return;
    }
    const auto sent = this->pending.find(record.id.sequence);
    if (sent == this->pending.end()) {
        return;
    }
    this->heldFencingNumber = record.fencingNumber == 0 ? offset + 1 : record.fencingNumber;
    this->heldUntil = std::max(this->heldUntil, sent->second + this->timing.leaseDuration);
    this->heldFrom = sent->second;
    this->pending.erase(this->pending.begin(), std::next(sent));
}

void Leadership::onFenced(TimePoint now)
{
    this->dropLease(now);
    this->supersededAt = now;
}

void Leadership::dropLease(TimePoint now)
{
    this->heldFencingNumber = 0;
    this->heldUntil = std::min(this->heldUntil, now);
}

bool Leadership::isHeld(TimePoint now) const
{
    return this->heldFencingNumber != 0 && now < this->heldUntil;
}

Duration Leadership::remaining(TimePoint now) const
{
    return this->isHeld(now) ? this->heldUntil - now : Duration::zero();
}

std::uint64_t Leadership::fencingNumber() const
{
    return this->heldFencingNumber;
}

bool Leadership::isRenewalDue(TimePoint now) const
{
    return now >= this->heldFrom + this->timing.leaseDuration / 3;
}

bool Leadership::isRenewed(TimePoint now) const
{
    return this->isHeld(now) && now < this->heldFrom + 2 * this->timing.leaseDuration / 3;
}

bool Leadership::mayClaim(TimePoint now) const
{
    if (this->isHeld(now)
        || (this->heldUntil != TimePoint() && this->supersededAt && now < *this->supersededAt + this->timing.reclaimDelay)) {
        return false;
    }
    const bool hasEnded
        = !this->lastRecord.has_value() || this->lastRecord->released || this->lastRecord->id.writer == this->self;
    return hasEnded || now > this->lastReadAt + this->timing.leaseDuration + this->timing.clockMargin;
}

const std::optional<LeadershipRecord> &Leadership::newestRecord() const
{
    return this->lastRecord;
}

} // namespace flamingosaddle
