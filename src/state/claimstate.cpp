#include <flamingosaddle/state/claimstate.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

ClaimTable::ClaimTable(ClaimLimits limits)
    : limits(limits)
{
}

ClaimTable ClaimTable::restore(ClaimLimits limits, std::vector<Claim> claims, std::chrono::seconds time, std::uint64_t next)
{
    ClaimTable table(limits);
    for (Claim &claim : claims) {
        // A damaged snapshot may contain a key or a number twice.
        if (!table.table.contains(claim.key) && !table.order.contains(claim.number)) {
            table.insert(std::move(claim));
        }
    }
    table.time = time;
    table.next = next;
    return table;
}

// Commands.

ClaimResult ClaimTable::apply(std::uint64_t offset, const ClaimRecord &record)
{
    if (offset < this->next) {
        return ClaimResult::Ignored;
    }
    this->next = offset + 1;
    this->passTime(record.writtenAt);
    this->forget();
    if (record.kind == ClaimRecordKind::Start) {
        return this->start(this->next, record);
    }
    return this->finish(record);
}

void ClaimTable::skip(std::uint64_t offset)
{
    this->next = std::max(this->next, offset + 1);
}

void ClaimTable::passTime(std::chrono::seconds writtenAt)
{
    const bool isFirst = this->time == std::chrono::seconds::zero();
    const std::chrono::seconds maxTime = isFirst ? writtenAt : this->time + this->limits.maxTimeStep;
    this->time = std::max(this->time, std::min(writtenAt, maxTime));
}

void ClaimTable::forget()
{
    while (!this->order.empty()) {
        const auto oldest = this->table.find(this->order.begin()->second);
        if (this->time - oldest->second.startedAt < this->limits.retention) {
            return;
        }
        this->erase(oldest);
    }
}

ClaimResult ClaimTable::start(std::uint64_t number, const ClaimRecord &record)
{
    if (const Claim *current = this->find(record.key)) {
        if (current->winner == record.id) {
            return ClaimResult::Ignored;
        }
        if (current->fingerprint != record.fingerprint) {
            return ClaimResult::OtherRequest;
        }
        return current->answer.has_value() ? ClaimResult::Answered : ClaimResult::AlreadyStarted;
    }
    if (this->table.size() >= this->limits.maxClaims) {
        return ClaimResult::Full;
    }
    Claim claim;
    claim.key = record.key;
    claim.winner = record.id;
    claim.number = number;
    claim.fingerprint = record.fingerprint;
    claim.startedAt = this->time;
    this->insert(std::move(claim));
    return ClaimResult::Won;
}

ClaimResult ClaimTable::finish(const ClaimRecord &record)
{
    const auto found = this->table.find(record.key);
    if (found == this->table.end() || found->second.number != record.claim || found->second.answer.has_value()) {
        return ClaimResult::Ignored;
    }
    if (record.kind == ClaimRecordKind::Abandon) {
        this->erase(found);
        return ClaimResult::Recorded;
    }
    StoredAnswer response = record.answer;
    if (this->bodyBytes + response.body.size() > this->limits.maxStoredBytes) {
        response.body.clear();
        response.bodyStored = false;
    }
    this->bodyBytes += response.body.size();
    found->second.answer = std::move(response);
    return ClaimResult::Recorded;
}

void ClaimTable::insert(Claim claim)
{
    this->order[claim.number] = claim.key;
    if (claim.answer.has_value()) {
        this->bodyBytes += claim.answer->body.size();
    }
    const ClaimKey key = claim.key;
    this->table[key] = std::move(claim);
}

void ClaimTable::erase(std::map<ClaimKey, Claim>::iterator position)
{
    const std::optional<StoredAnswer> &response = position->second.answer;
    this->bodyBytes -= response.has_value() ? response->body.size() : 0;
    this->order.erase(position->second.number);
    this->table.erase(position);
}

// Queries.

const Claim *ClaimTable::find(const ClaimKey &key) const
{
    const auto found = this->table.find(key);
    return found == this->table.end() ? nullptr : &found->second;
}

std::vector<Claim> ClaimTable::claims() const
{
    std::vector<Claim> claims;
    claims.reserve(this->table.size());
    for (const auto &[number, key] : this->order) {
        claims.push_back(this->table.at(key));
    }
    return claims;
}

std::size_t ClaimTable::size() const
{
    return this->table.size();
}

std::size_t ClaimTable::storedBytes() const
{
    return this->bodyBytes;
}

std::chrono::seconds ClaimTable::logTime() const
{
    return this->time;
}

std::uint64_t ClaimTable::nextOffset() const
{
    return this->next;
}

} // namespace flamingosaddle
