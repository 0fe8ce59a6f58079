#include <flamingosaddle/state/claimtable.h>

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
        if (!table.claimsByKey.contains(claim.key) && !table.keysByNumber.contains(claim.number)) {
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
    this->advanceLogTime(record.writtenAt);
    this->expireClaims();
    if (record.kind == ClaimRecordKind::Start) {
        return this->applyStart(this->next, record);
    }
    return this->applyCompletion(record);
}

void ClaimTable::skip(std::uint64_t offset)
{
    this->next = std::max(this->next, offset + 1);
}

void ClaimTable::advanceLogTime(std::chrono::seconds writtenAt)
{
    const bool isFirst = this->time == std::chrono::seconds::zero();
    const std::chrono::seconds maxTime = isFirst ? writtenAt : this->time + this->limits.maxTimeStep;
    this->time = std::max(this->time, std::min(writtenAt, maxTime));
}

void ClaimTable::expireClaims()
{
    while (!this->keysByNumber.empty()) {
        const auto oldest = this->claimsByKey.find(this->keysByNumber.begin()->second);
        if (this->time - oldest->second.startedAt < this->limits.retention) {
            return;
        }
        this->erase(oldest);
    }
}

ClaimResult ClaimTable::applyStart(std::uint64_t number, const ClaimRecord &record)
{
    if (const Claim *current = this->find(record.key)) {
        if (current->winner == record.id) {
            return ClaimResult::Ignored;
        }
        if (current->fingerprint != record.fingerprint) {
            return ClaimResult::KeyReused;
        }
        return current->response.has_value() ? ClaimResult::Completed : ClaimResult::AlreadyStarted;
    }
    if (this->claimsByKey.size() >= this->limits.maxClaims) {
        return ClaimResult::TableFull;
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

ClaimResult ClaimTable::applyCompletion(const ClaimRecord &record)
{
    const auto found = this->claimsByKey.find(record.key);
    if (found == this->claimsByKey.end() || found->second.number != record.claimNumber || found->second.response.has_value()) {
        return ClaimResult::Ignored;
    }
    if (record.kind == ClaimRecordKind::Abandon) {
        this->erase(found);
        return ClaimResult::Recorded;
    }
    StoredResponse response = record.response;
    if (this->storedBodyBytes + response.body.size() > this->limits.maxStoredBytes) {
        response.body.clear();
        response.bodyStored = false;
    }
    this->storedBodyBytes += response.body.size();
    found->second.response = std::move(response);
    return ClaimResult::Recorded;
}

void ClaimTable::insert(Claim claim)
{
    this->keysByNumber[claim.number] = claim.key;
    if (claim.response.has_value()) {
        this->storedBodyBytes += claim.response->body.size();
    }
    const ClaimKey key = claim.key;
    this->claimsByKey[key] = std::move(claim);
}

void ClaimTable::erase(std::map<ClaimKey, Claim>::iterator position)
{
    const std::optional<StoredResponse> &response = position->second.response;
    this->storedBodyBytes -= response.has_value() ? response->body.size() : 0;
    this->keysByNumber.erase(position->second.number);
    this->claimsByKey.erase(position);
}

// Queries.

const Claim *ClaimTable::find(const ClaimKey &key) const
{
    const auto found = this->claimsByKey.find(key);
    return found == this->claimsByKey.end() ? nullptr : &found->second;
}

std::vector<Claim> ClaimTable::claims() const
{
    std::vector<Claim> claims;
    claims.reserve(this->claimsByKey.size());
    for (const auto &[number, key] : this->keysByNumber) {
        claims.push_back(this->claimsByKey.at(key));
    }
    return claims;
}

std::size_t ClaimTable::size() const
{
    return this->claimsByKey.size();
}

std::size_t ClaimTable::storedBytes() const
{
    return this->storedBodyBytes;
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
