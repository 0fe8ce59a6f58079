#include <flamingosaddle/traffic/quarantine.h>

#include <algorithm>

namespace flamingosaddle
{

Quarantine::Quarantine(std::uint32_t maxDeaths)
    : maxDeaths(maxDeaths)
{
}

bool Quarantine::recordDeath(std::uint64_t fingerprint, std::uint64_t server, TimePoint now)
{
    if (fingerprint == 0) {
        return false;
    }
    Entry &entry = this->findOrAddEntry(fingerprint, now);
    const bool repeated = entry.deaths > 0 && entry.lastServer == server && now - entry.lastDeath < deduplicationInterval;
    if (!repeated) {
        ++entry.deaths;
    }
    entry.lastServer = server;
    entry.lastDeath = now;
    entry.expires = now + expiry;
    return !repeated;
}

void Quarantine::takeBackDeath(std::uint64_t fingerprint)
{
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end()) {
        found->second.deaths -= std::min(found->second.deaths, 1U);
    }
}

void Quarantine::applyPeerRun(std::uint64_t fingerprint, TimePoint until, TimePoint now)
{
    if (fingerprint == 0) {
        return;
    }
    Entry &entry = this->findOrAddEntry(fingerprint, now);
    entry.deaths = std::max(entry.deaths, 1U);
    entry.peerRunsUntil = std::max(entry.peerRunsUntil, until);
}

void Quarantine::applyPeerDeathCount(std::uint64_t fingerprint, std::uint32_t deaths, TimePoint until, TimePoint now)
{
    if (fingerprint == 0 || deaths == 0 || until <= now) {
        return;
    }
    const bool isKnown = this->status(fingerprint, now) != Status::Clear;
    Entry &entry = this->findOrAddEntry(fingerprint, now);
    entry.deaths = std::max(entry.deaths, deaths);
    // A count that instances pass on to each other must not outlive the expiry at its origin.
    entry.expires = isKnown ? std::max(entry.expires, until) : std::min(until, now + expiry);
}

void Quarantine::clearSuspicion(std::uint64_t fingerprint, std::uint32_t explained)
{
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end() && found->second.deaths < this->maxDeaths + explained) {
        found->second.deaths = 0;
        found->second.peerRunsUntil = TimePoint();
    }
}

void Quarantine::recordStart(std::uint64_t fingerprint)
{
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end()) {
        ++found->second.running;
    }
}

void Quarantine::recordEnd(std::uint64_t fingerprint)
{
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end() && found->second.running > 0) {
        --found->second.running;
    }
}

Quarantine::Status Quarantine::status(std::uint64_t fingerprint, TimePoint now, std::uint32_t explained) const
{
    const auto found = this->entries.find(fingerprint);
    if (fingerprint == 0 || found == this->entries.end() || found->second.expires <= now) {
        return Status::Clear;
    }
    const Entry &entry = found->second;
    if (entry.deaths >= this->maxDeaths + explained) {
        return Status::Refused;
    }
    if (entry.deaths == 0) {
        return Status::Clear;
    }
    return entry.running > 0 || entry.peerRunsUntil > now ? Status::SuspectRunning : Status::Suspect;
}

std::vector<DeathCount> Quarantine::deathCounts(std::size_t most, TimePoint now) const
{
    std::vector<DeathCount> counts;
    for (const auto &[fingerprint, entry] : this->entries) {
        if (entry.deaths > 0 && entry.expires > now) {
            counts.push_back({fingerprint, entry.deaths, entry.expires});
        }
    }
    std::sort(counts.begin(), counts.end(), [](const DeathCount &left, const DeathCount &right) {
        return left.expires > right.expires;
    });
    counts.resize(std::min(most, counts.size()));
    return counts;
}

Quarantine::Entry &Quarantine::findOrAddEntry(std::uint64_t fingerprint, TimePoint now)
{
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end()) {
        if (found->second.expires <= now) {
            found->second.deaths = 0;
            found->second.expires = now + expiry;
        }
        return found->second;
    }
    if (this->entries.size() >= capacity) {
        this->evict(now);
    }
    Entry entry;
    entry.expires = now + expiry;
    return this->entries.emplace(fingerprint, entry).first->second;
}

void Quarantine::evict(TimePoint now)
{
    std::erase_if(this->entries, [now](const auto &item) {
        return item.second.expires <= now;
    });
    if (this->entries.size() < capacity) {
        return;
    }
    const auto firstToExpire
        = std::min_element(this->entries.begin(), this->entries.end(), [](const auto &left, const auto &right) {
              return left.second.expires < right.second.expires;
          });
    this->entries.erase(firstToExpire);
}

} // namespace flamingosaddle
