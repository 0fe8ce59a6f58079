#include <flamingosaddle/state/servertable.h>

#include <algorithm>
#include <set>
#include <utility>

namespace flamingosaddle
{

ServerTable::ServerTable(ServerTableOptions options)
    : options(options)
{
}

bool ServerTable::apply(const ServerChange &change, TimePoint now)
{
    if (!change.server.has_value()) {
        return this->remove(change.id, now);
    }
    this->graceDeadlines.erase(change.id);
    RegisteredServer server = *change.server;
    server.server.leaving = server.server.leaving || this->isKnownToLeave(change.id, server);
    server.server.coldUntil = this->coldUntil(change, now);
    server.coldFor = std::chrono::milliseconds(0);
    const auto found = this->entries.find(change.id);
    if (found != this->entries.end() && found->second == server) {
        return false;
    }
    if (found == this->entries.end() || found->second.startedAt != server.startedAt) {
        this->registeredAt[change.id] = now;
    }
    this->entries[change.id] = std::move(server);
    return true;
}

TimePoint ServerTable::coldUntil(const ServerChange &change, TimePoint now) const
{
    const bool isCold = change.server->coldFor.count() > 0;
    const TimePoint stated = isCold ? now + std::min(change.server->coldFor, maxColdTime) : TimePoint();
    const auto found = this->entries.find(change.id);
    if (found == this->entries.end() || found->second.startedAt != change.server->startedAt) {
        return stated;
    }
    // An entry is renewed continuously. What says the same as the one before must not count as a change.
    const TimePoint known = found->second.server.coldUntil;
    const bool isSameColdTime = isCold && std::chrono::abs(stated - known) < coldUntilTolerance;
    return isSameColdTime || (!isCold && known <= now) ? known : stated;
}

bool ServerTable::recordLeaving(const BackendServerId &id, TimePoint sentAt)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || sentAt < this->registeredAt.at(id)) {
        return false;
    }
    return !std::exchange(found->second.server.leaving, true);
}

bool ServerTable::isKnownToLeave(const BackendServerId &id, const RegisteredServer &server) const
{
    const auto found = this->entries.find(id);
    if (found != this->entries.end()) {
        return found->second.startedAt == server.startedAt && found->second.server.leaving;
    }
    return std::find(this->departed.begin(), this->departed.end(), std::pair(id, server.startedAt)) != this->departed.end();
}

bool ServerTable::replace(const std::vector<ServerChange> &listed, TimePoint now)
{
    bool changed = false;
    std::set<BackendServerId> listedIds;
    for (const ServerChange &entry : listed) {
        listedIds.insert(entry.id);
        changed = this->apply(entry, now) || changed;
    }
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
    if (isLeaving) {
        this->departed.emplace_back(id, found->second.startedAt);
        if (this->departed.size() > maxDeparted) {
            this->departed.pop_front();
        }
    }
    this->entries.erase(found);
    this->registeredAt.erase(id);
    this->graceDeadlines.erase(id);
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
        changed = this->entries.erase(entry->first) > 0 || changed;
        this->registeredAt.erase(entry->first);
        entry = this->graceDeadlines.erase(entry);
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
