// Keeps requests and parts of prompts from running that backend servers have died on.

#include "dispatcherimplementation.h"

#include <flamingosaddle/base/hash.h>

#include <algorithm>

namespace flamingosaddle
{

std::optional<RefusalReason> Dispatcher::Implementation::quarantineReason(
    std::uint64_t fingerprint, const std::vector<std::uint64_t> &promptParts, TimePoint now) const
{
    if (this->promptQuarantine.quarantinedUntil(promptParts, now).has_value()) {
        return RefusalReason::PromptQuarantined;
    }
    if (this->quarantine.status(fingerprint, now) != Quarantine::Status::Refused) {
        return std::nullopt;
    }
    const std::uint32_t explained = this->promptQuarantine.explainedDeaths(fingerprint, promptParts);
    const bool isRefused = this->quarantine.status(fingerprint, now, explained) == Quarantine::Status::Refused;
    return isRefused ? std::optional(RefusalReason::Quarantined) : std::nullopt;
}

void Dispatcher::Implementation::recordPromptPart(std::optional<PromptPartChange> change, bool isLocal)
{
    if (change.has_value()) {
        change->isLocal = isLocal;
        this->promptPartChanges.push_back(*change);
        this->quarantinesChanged = true;
    }
}

void Dispatcher::Implementation::applyPeerDeath(const ServerDeath &death, TimePoint now)
{
    if (const std::optional<ServerIndex> server = this->pool.find(death.server)) {
        this->pool.recordDeath(*server, now - death.ago);
        this->suspectCold(*server, ColdReason::Failed, now);
    }
    this->quarantine.recordDeath(death.fingerprint, hash64(death.server.text()), now - death.ago);
    this->recordPromptPart(this->promptQuarantine.recordDeath(death, now), false);
}

void Dispatcher::Implementation::applyPeerPromptPart(const PromptPartChange &change, TimePoint now)
{
    if (!change.quarantinedUntil.has_value()) {
        this->clearDisputedDeaths(0, {change.part});
    }
    if (this->promptQuarantine.applyPeerChange(change, now)) {
        this->recordPromptPart(change, false);
    }
}

bool Dispatcher::Implementation::mustPark(std::uint64_t fingerprint, TimePoint now) const
{
    return this->options.serializeSuspects && this->quarantine.status(fingerprint, now) == Quarantine::Status::SuspectRunning;
}

void Dispatcher::Implementation::park(RequestIndex index)
{
    this->requests.record(index).parked = true;
    this->parked.push_back(index);
    this->waitLimits.add(index, this->waitLimit(this->requests.record(index)));
}

void Dispatcher::Implementation::releaseParked(TimePoint now)
{
    const std::vector<RequestIndex> waiting = std::exchange(this->parked, {});
    for (const RequestIndex index : waiting) {
        RequestRecord &record = this->requests.record(index);
        if (this->mustPark(record.fingerprint, now)) {
            this->parked.push_back(index);
            continue;
        }
        record.parked = false;
        this->waitLimits.remove(index);
        this->addToQueue(index, now);
    }
}

} // namespace flamingosaddle
