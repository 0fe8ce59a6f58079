#include <flamingosaddle/traffic/promptquarantine.h>

#include <algorithm>
#include <tuple>

namespace flamingosaddle
{

bool PromptQuarantine::Run::has(std::uint64_t part) const
{
    return std::find(this->suspects.begin(), this->suspects.end(), part) != this->suspects.end();
}

bool PromptQuarantine::Death::hasRunWith(std::uint64_t part) const
{
    return std::any_of(this->runs.begin(), this->runs.end(), [part](const Run &run) {
        return run.has(part);
    });
}

std::optional<PromptPartChange> PromptQuarantine::recordDeath(const ServerDeath &death, TimePoint now)
{
    this->expire(now);
    const TimePoint diedAt = now - death.ago;
    Death &recorded = this->findOrAddDeath(death.server, diedAt, now);
    if (recorded.runs.size() >= maxRunsPerDeath) {
        return std::nullopt;
    }
    Run run{death.fingerprint, death.promptParts, diedAt - death.ranFor};
    run.suspects.resize(std::min(run.suspects.size(), maxPartsPerRun));
    recorded.runs.push_back(run);
    for (const std::uint64_t part : run.suspects) {
        const auto known = this->quarantines.find(part);
        if (known != this->quarantines.end() && !this->isExplainedByOther(recorded, part)) {
            // The quarantine of a part that is on probation begins again, another one is extended.
            const bool isRenewed = known->second.until <= now;
            const PromptPartChange change = this->quarantine(part, now + quarantineTime);
            return isRenewed ? std::optional(change) : std::nullopt;
        }
    }
    return std::nullopt;
}

std::vector<PromptPartChange> PromptQuarantine::evaluateDeaths(TimePoint now)
{
    std::vector<PromptPartChange> changes;
    for (Death &death : this->deaths) {
        if (death.isSettled || now - death.reportedAt < settleTime) {
            continue;
        }
        death.isSettled = true;
        for (const Run &run : death.runs) {
            const std::optional<std::uint64_t> cause = this->findCause(run.suspects);
            if (cause.has_value()) {
                changes.push_back(this->quarantine(*cause, now + quarantineTime));
            }
        }
    }
    this->removeDeathsWithoutSuspects();
    return changes;
}

std::vector<PromptPartChange> PromptQuarantine::recordCompletion(const std::vector<std::uint64_t> &parts)
{
    std::vector<PromptPartChange> cleared;
    for (const std::uint64_t part : parts) {
        this->completedParts.add(part);
        if (this->clear(part)) {
            cleared.push_back(PromptPartChange{part, std::nullopt, true});
        }
    }
    return cleared;
}

bool PromptQuarantine::applyPeerChange(const PromptPartChange &change, TimePoint now)
{
    if (!change.quarantinedUntil.has_value()) {
        return this->clear(change.part);
    }
    const TimePoint until = std::min(*change.quarantinedUntil, now + quarantineTime);
    const auto known = this->quarantines.find(change.part);
    if (until <= now || (known != this->quarantines.end() && known->second.until >= until)) {
        return false;
    }
    this->quarantine(change.part, until);
    return true;
}

std::optional<TimePoint> PromptQuarantine::quarantinedUntil(const std::vector<std::uint64_t> &parts, TimePoint now) const
{
    std::optional<TimePoint> latest;
    if (this->quarantines.empty()) {
        return latest;
    }
    for (const std::uint64_t part : parts) {
        const auto found = this->quarantines.find(part);
        if (found != this->quarantines.end() && found->second.until > now) {
            latest = std::max(latest.value_or(now), found->second.until);
        }
    }
    return latest;
}

std::vector<PromptPartChange> PromptQuarantine::quarantined(TimePoint now) const
{
    std::vector<PromptPartChange> changes;
    for (const auto &[part, quarantine] : this->quarantines) {
        if (quarantine.until > now) {
            changes.push_back(PromptPartChange{part, quarantine.until, true});
        }
    }
    return changes;
}

std::uint32_t PromptQuarantine::explainedDeaths(std::uint64_t fingerprint, const std::vector<std::uint64_t> &parts) const
{
    const auto isOwn = [&parts](std::uint64_t part) {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
    };
    std::uint32_t count = 0;
    for (const Death &death : this->deaths) {
        bool ranHere = false;
        bool isExplained = false;
        for (const Run &run : death.runs) {
            ranHere = ranHere || run.fingerprint == fingerprint;
            isExplained
                = isExplained || std::any_of(run.suspects.begin(), run.suspects.end(), [this, &isOwn](std::uint64_t part) {
                      return !isOwn(part) && this->explainsDeaths(part);
                  });
        }
        count += ranHere && isExplained ? 1 : 0;
    }
    return count;
}

PromptQuarantine::Death &PromptQuarantine::findOrAddDeath(const BackendServerId &server, TimePoint diedAt, TimePoint now)
{
    const auto found = std::find_if(this->deaths.begin(), this->deaths.end(), [&server, diedAt](const Death &death) {
        return death.server == server && std::chrono::abs(diedAt - death.diedAt) < mergeInterval;
    });
    if (found != this->deaths.end()) {
        return *found;
    }
    if (this->deaths.size() >= maxDeaths) {
        this->deaths.pop_front();
    }
    const auto next = std::find_if(this->deaths.begin(), this->deaths.end(), [diedAt](const Death &death) {
        return death.diedAt > diedAt;
    });
    return *this->deaths.insert(next, Death{server, diedAt, now, false, {}});
}

void PromptQuarantine::expire(TimePoint now)
{
    while (!this->deaths.empty() && now - this->deaths.front().diedAt > deathLifetime) {
        this->deaths.pop_front();
    }
    std::erase_if(this->quarantines, [now](const auto &entry) {
        return entry.second.probationUntil <= now;
    });
}

PromptPartChange PromptQuarantine::quarantine(std::uint64_t part, TimePoint until)
{
    if (this->quarantines.size() >= maxQuarantined && !this->quarantines.contains(part)) {
        const auto first = std::min_element(this->quarantines.begin(), this->quarantines.end(), [](const auto &a, const auto &b) {
            return a.second.until < b.second.until;
        });
        this->quarantines.erase(first);
    }
    this->quarantines[part] = Quarantine{until, until + probationTime};
    return PromptPartChange{part, until, true};
}

std::optional<std::uint64_t> PromptQuarantine::findCause(const std::vector<std::uint64_t> &parts) const
{
    std::optional<std::uint64_t> cause;
    // From the last part to the first, so that of equally likely parts the last one is found.
    for (std::size_t index = parts.size(); index > 0; --index) {
        const std::uint64_t part = parts[index - 1];
        const bool hasEnoughDeaths = !this->quarantines.contains(part) && this->independentDeaths(part).size() >= minDeaths;
        if (hasEnoughDeaths && (!cause.has_value() || this->isLikelier(part, *cause))) {
            cause = part;
        }
    }
    return cause.has_value() && !this->hasAlternative(*cause) ? cause : std::nullopt;
}

bool PromptQuarantine::isLikelier(std::uint64_t part, std::uint64_t other) const
{
    const auto rank = [this](std::uint64_t suspect) {
        std::ptrdiff_t deathCount = 0;
        std::ptrdiff_t runCount = 0;
        for (const Death &death : this->deaths) {
            const auto runs = std::count_if(death.runs.begin(), death.runs.end(), [suspect](const Run &run) {
                return run.has(suspect);
            });
            deathCount += runs > 0 ? 1 : 0;
            runCount += runs;
        }
        return std::tuple(-deathCount, this->completedParts.contains(suspect), runCount);
    };
    return rank(part) < rank(other);
}

bool PromptQuarantine::hasAlternative(std::uint64_t part) const
{
    const std::vector<const Death *> counted = this->independentDeaths(part);
    const auto isAlternative = [&counted, part](std::uint64_t other) {
        bool isElsewhere = false;
        for (const Death *death : counted) {
            if (!death->hasRunWith(other)) {
                return false;
            }
            isElsewhere = isElsewhere || std::any_of(death->runs.begin(), death->runs.end(), [part, other](const Run &run) {
                return run.has(part) && !run.has(other);
            });
        }
        return isElsewhere;
    };
    return std::any_of(counted.back()->runs.begin(), counted.back()->runs.end(), [part, &isAlternative](const Run &run) {
        return std::any_of(run.suspects.begin(), run.suspects.end(), [part, &isAlternative](std::uint64_t other) {
            return other != part && isAlternative(other);
        });
    });
}

bool PromptQuarantine::explainsDeaths(std::uint64_t part) const
{
    return this->quarantines.contains(part) || this->independentDeaths(part).size() >= minDeathsToExplain;
}

std::vector<const PromptQuarantine::Death *> PromptQuarantine::independentDeaths(std::uint64_t part) const
{
    std::vector<const Death *> counted;
    for (const Death &death : this->deaths) {
        if (!death.isSettled || this->isExplainedByOther(death, part)) {
            continue;
        }
        const bool isNew = std::any_of(death.runs.begin(), death.runs.end(), [part, &counted](const Run &run) {
            return run.has(part) && (counted.empty() || run.startedAt >= counted.back()->diedAt);
        });
        if (isNew) {
            counted.push_back(&death);
        }
    }
    return counted;
}

bool PromptQuarantine::isExplainedByOther(const Death &death, std::uint64_t part) const
{
    return std::any_of(this->quarantines.begin(), this->quarantines.end(), [&death, part](const auto &entry) {
        return entry.first != part && death.hasRunWith(entry.first);
    });
}

bool PromptQuarantine::clear(std::uint64_t part)
{
    bool wasSuspected = this->quarantines.erase(part) > 0;
    for (Death &death : this->deaths) {
        for (Run &run : death.runs) {
            wasSuspected = std::erase(run.suspects, part) > 0 || wasSuspected;
        }
    }
    this->removeDeathsWithoutSuspects();
    return wasSuspected;
}

void PromptQuarantine::removeDeathsWithoutSuspects()
{
    std::erase_if(this->deaths, [](const Death &death) {
        return death.isSettled && std::all_of(death.runs.begin(), death.runs.end(), [](const Run &run) {
            return run.suspects.empty();
        });
    });
}

} // namespace flamingosaddle
