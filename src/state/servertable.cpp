#include <flamingosaddle/state/servertable.h>

#include <algorithm>
#include <set>

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
    this->lapsing.erase(change.id);
    const auto found = this->entries.find(change.id);
    if (found != this->entries.end() && found->second == *change.server) {
        return false;
    }
    this->entries[change.id] = *change.server;
    return true;
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
    if (!isLeaving && (this->storeAway || (this->graceUntil.has_value() && now < *this->graceUntil))) {
        this->lapsing.emplace(id, this->storeAway ? TimePoint::max() : *this->graceUntil);
        return false;
    }
    this->entries.erase(found);
    this->lapsing.erase(id);
    return true;
}

bool ServerTable::expire(TimePoint now)
{
    bool changed = false;
    for (auto entry = this->lapsing.begin(); entry != this->lapsing.end();) {
        if (entry->second > now) {
            ++entry;
            continue;
        }
        changed = this->entries.erase(entry->first) > 0 || changed;
        entry = this->lapsing.erase(entry);
    }
    return changed;
}

void ServerTable::noteStoreLost()
{
    this->storeAway = true;
}

void ServerTable::noteStoreBack(TimePoint now)
{
    if (!this->storeAway) {
        return;
    }
    this->storeAway = false;
    this->graceUntil = now + this->options.returnGrace;
    for (auto &[id, until] : this->lapsing) {
        until = *this->graceUntil;
    }
}

void ServerTable::keepVanishedUntil(TimePoint until)
{
    this->graceUntil = std::max(this->graceUntil.value_or(until), until);
}

const std::map<BackendServerId, RegisteredServer> &ServerTable::servers() const
{
    return this->entries;
}

std::optional<TimePoint> ServerTable::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, until] : this->lapsing) {
        next = std::min(next.value_or(until), until);
    }
    return next;
}

bool ServerTable::isLapsing(const BackendServerId &id) const
{
    return this->lapsing.contains(id);
}

Duration ServerTable::graceLeft(TimePoint now) const
{
    return this->graceUntil.has_value() ? std::max(*this->graceUntil - now, Duration::zero()) : Duration::zero();
}

} // namespace flamingosaddle
