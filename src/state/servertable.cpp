#include <flamingosaddle/state/servertable.h>

#include <algorithm>
#include <set>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr int missedHeartbeats = 3; // after which the store removes an entry
// Two reads of the entries, the second by an instance that waits for a relay first.
constexpr Duration entryReadTime = std::chrono::seconds(2);

} // namespace

Duration entryRemovalTime(Duration heartbeat)
{
    return missedHeartbeats * heartbeat + entryReadTime;
}

ServerTable::ServerTable(ServerTableOptions options)
    : options(options)
{
}

void ServerTable::setEpoch(std::uint64_t epoch)
{
    this->epoch = epoch;
}

bool ServerTable::apply(const ServerChange &change, TimePoint now)
{
    this->withheldEntries.erase(change.id);
    if (!change.server.has_value()) {
        return this->remove(change.id, now);
    }
    this->graceDeadlines.erase(change.id);
    RegisteredServer server = *change.server;
    server.server.startedAt = server.startedAt;
    const auto found = this->entries.find(change.id);
    const bool isListed = found != this->entries.end() && found->second.startedAt == server.startedAt;
    const std::optional<DepartedServer> known
        = isListed ? std::optional(this->knownOf(change.id)) : this->departed.take(change.id, server.startedAt);
    server.server.leaving = server.server.leaving || (known.has_value() && known->leaving);
    server.server.coldUntil = coldUntil(server, known, now);
    server.coldFor = std::chrono::milliseconds(0);
    if (isListed && found->second == server) {
        return false;
    }
    if (!isListed) {
        if (found != this->entries.end()) {
            this->departed.add(this->knownOf(change.id));
        }
        this->recordRegistration(change.id, known, now);
    }
    this->entries[change.id] = std::move(server);
    return true;
}

void ServerTable::recordRegistration(const BackendServerId &id, const std::optional<DepartedServer> &known, TimePoint now)
{
    // A start whose entry is back has been registered since it was first seen, unless its id was used by another one meanwhile.
    const std::optional<TimePoint> otherStart = this->departed.lastRegisteredAt(id);
    const bool isNewestStart = known.has_value() && (!otherStart.has_value() || known->registeredAt >= *otherStart);
    this->registeredAt[id] = isNewestStart ? known->registeredAt : now;
}

DepartedServer ServerTable::knownOf(const BackendServerId &id) const
{
    const RegisteredServer &server = this->entries.at(id);
    return {id, server.startedAt, this->registeredAt.at(id), server.server.leaving, server.server.coldUntil, this->epoch};
}

TimePoint ServerTable::coldUntil(const RegisteredServer &server, const std::optional<DepartedServer> &known, TimePoint now)
{
    const bool isCold = server.coldFor.count() > 0;
    const TimePoint stated = isCold ? now + std::min(server.coldFor, maxColdTime) : TimePoint();
    if (!known.has_value()) {
        return stated;
    }
    // An entry is renewed continuously. What says the same as the one before must not count as a change.
    const bool isSameColdTime = isCold && std::chrono::abs(stated - known->coldUntil) < coldUntilTolerance;
    return isSameColdTime || (!isCold && known->coldUntil <= now) ? known->coldUntil : stated;
}

bool ServerTable::recordLeaving(const BackendServerId &id, TimePoint sentAt)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || sentAt < this->registeredAt.at(id)) {
        this->departed.recordLeaving(id, sentAt);
        return false;
    }
    return !std::exchange(found->second.server.leaving, true);
}

bool ServerTable::wasRemovedBefore(const ServerChange &listed) const
{
    const DepartedServer *known = listed.server.has_value() ? this->departed.find(listed.id, listed.server->startedAt) : nullptr;
    return known != nullptr && known->epoch < this->epoch && !this->entries.contains(listed.id);
}

bool ServerTable::replace(const std::vector<ServerChange> &listed, TimePoint now)
{
    bool changed = false;
    std::set<BackendServerId> listedIds;
    std::map<BackendServerId, Withheld> stillWithheld;
    for (const ServerChange &entry : listed) {
        listedIds.insert(entry.id);
        if (this->wasRemovedBefore(entry)) {
            const auto known = this->withheldEntries.find(entry.id);
            const TimePoint until
                = known != this->withheldEntries.end() ? known->second.until : now + this->options.withholdPeriod;
            stillWithheld.emplace(entry.id, Withheld{*entry.server, until});
            continue;
        }
        changed = this->apply(entry, now) || changed;
    }
    this->withheldEntries = std::move(stillWithheld);
    std::vector<BackendServerId> missing;
    for (const auto &[id, server] : this->entries) {
        if (!listedIds.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const BackendServerId &id : missing) {
        changed = this->remove(id, now) || changed;
    }
    return changed;
}

bool ServerTable::remove(const BackendServerId &id, TimePoint now)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return false;
    }
    const bool isLeaving = found->second.server.leaving;
    if (!isLeaving && (this->storeUnavailable || (this->graceUntil.has_value() && now < *this->graceUntil))) {
        this->graceDeadlines.emplace(id, this->storeUnavailable ? TimePoint::max() : *this->graceUntil);
        return !std::exchange(found->second.server.missing, true);
    }
    this->graceDeadlines.erase(id);
    this->removeEntry(id);
    return true;
}

bool ServerTable::removeEntry(const BackendServerId &id)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return false;
    }
    this->departed.add(this->knownOf(id));
    this->entries.erase(found);
    this->registeredAt.erase(id);
    return true;
}

bool ServerTable::expire(TimePoint now)
{
    bool changed = false;
    for (auto entry = this->graceDeadlines.begin(); entry != this->graceDeadlines.end();) {
        if (entry->second > now) {
            ++entry;
            continue;
        }
        changed = this->removeEntry(entry->first) || changed;
        entry = this->graceDeadlines.erase(entry);
    }
    std::vector<ServerChange> renewed;
    for (const auto &[id, entry] : this->withheldEntries) {
        if (entry.until <= now) {
            renewed.push_back({id, entry.server});
        }
    }
    for (const ServerChange &change : renewed) {
        changed = this->apply(change, now) || changed;
    }
    return changed;
}

void ServerTable::onStoreLost()
{
    this->storeUnavailable = true;
}

void ServerTable::onStoreRecovered(TimePoint now)
{
    if (!this->storeUnavailable) {
        return;
    }
    this->storeUnavailable = false;
    this->graceUntil = now + this->options.gracePeriod;
    for (auto &[id, until] : this->graceDeadlines) {
        until = *this->graceUntil;
    }
}

void ServerTable::extendGraceUntil(TimePoint until)
{
    this->graceUntil = std::max(this->graceUntil.value_or(until), until);
}

const std::map<BackendServerId, RegisteredServer> &ServerTable::servers() const
{
    return this->entries;
}

std::vector<ServerChange> ServerTable::withheld() const
{
    std::vector<ServerChange> changes;
    for (const auto &[id, entry] : this->withheldEntries) {
        changes.push_back({id, entry.server});
    }
    return changes;
}

RegisteredServer ServerTable::statementOf(const BackendServerId &id, TimePoint now) const
{
    RegisteredServer server = this->entries.at(id);
    const Duration left = std::max(server.server.coldUntil, now) - now;
    server.coldFor = std::chrono::ceil<std::chrono::milliseconds>(left);
    server.server.coldUntil = TimePoint();
    return server;
}

std::optional<TimePoint> ServerTable::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, until] : this->graceDeadlines) {
        next = std::min(next.value_or(until), until);
    }
    for (const auto &[id, entry] : this->withheldEntries) {
        next = std::min(next.value_or(entry.until), entry.until);
    }
    return next;
}

bool ServerTable::isInGracePeriod(const BackendServerId &id) const
{
    return this->graceDeadlines.contains(id);
}

Duration ServerTable::remainingGrace(TimePoint now) const
{
    return this->graceUntil.has_value() ? std::max(*this->graceUntil - now, Duration::zero()) : Duration::zero();
}

} // namespace flamingosaddle
