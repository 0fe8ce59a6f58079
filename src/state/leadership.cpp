#include <flamingosaddle/state/leadership.h>

#include "recordfields.h"

#include <utility>

namespace flamingosaddle
{

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<LeadershipRecord> value)
{
    archive.required("id", value.id);
    archive.optional("fence", value.fence);
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
    if (this->pending.size() >= maxPending) {
        this->pending.erase(this->pending.begin());
    }
    this->pending[++this->sequence] = now;
    return {{this->self, this->sequence}, this->isHeld(now) ? this->heldFence : 0, false};
}

LeadershipRecord Leadership::release(TimePoint now)
{
    LeadershipRecord record{{this->self, ++this->sequence}, this->heldFence, true};
    // An append that is still in flight must not renew the lease.
    this->pending.clear();
    this->drop(now);
    return record;
}

void Leadership::observe(const LeadershipRecord &record, std::uint64_t offset, TimePoint now)
{
    const bool isOwn = record.id.writer == this->self;
    this->last = record;
    this->lastReadAt = now;
    if (!isOwn || record.released) {
        this->drop(now);
        if (!isOwn) {
            this->followedAt = now;
        }
        return;
    }
    const auto sent = this->pending.find(record.id.sequence);
    if (sent == this->pending.end()) {
        return;
    }
    this->heldFence = record.fence == 0 ? offset + 1 : record.fence;
    this->heldUntil = std::max(this->heldUntil, sent->second + this->timing.lease);
    this->heldFrom = sent->second;
    this->pending.erase(this->pending.begin(), std::next(sent));
}

void Leadership::lose(TimePoint now)
{
    this->drop(now);
    this->followedAt = now;
}

void Leadership::drop(TimePoint now)
{
    this->heldFence = 0;
    this->heldUntil = std::min(this->heldUntil, now);
}

bool Leadership::isHeld(TimePoint now) const
{
    return this->heldFence != 0 && now < this->heldUntil;
}

Duration Leadership::remaining(TimePoint now) const
{
    return this->isHeld(now) ? this->heldUntil - now : Duration::zero();
}

std::uint64_t Leadership::fence() const
{
    return this->heldFence;
}

bool Leadership::isRenewalDue(TimePoint now) const
{
    return now >= this->heldFrom + this->timing.lease / 3;
}

bool Leadership::mayClaim(TimePoint now) const
{
    if (this->isHeld(now)
        || (this->heldUntil != TimePoint() && this->followedAt && now < *this->followedAt + this->timing.rest)) {
        return false;
    }
    const bool hasEnded = !this->last.has_value() || this->last->released || this->last->id.writer == this->self;
    return hasEnded || now > this->lastReadAt + this->timing.lease + this->timing.margin;
}

const std::optional<LeadershipRecord> &Leadership::newest() const
{
    return this->last;
}

} // namespace flamingosaddle
