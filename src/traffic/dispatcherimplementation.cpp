#include "dispatcherimplementation.h"

#include <flamingosaddle/base/hash.h>

#include <algorithm>
#include <limits>

namespace flamingosaddle
{

namespace
{

constexpr double percent = 100.0;
constexpr int allTiers = std::numeric_limits<int>::max();
constexpr std::chrono::seconds maxRetryAfter{60};
// Per heartbeat. With names of 50 bytes this is 4 KB, or half a second of prefills at the reference peak load.
constexpr std::size_t maxReportedPrefills = 64;
constexpr Duration parkedRecheckInterval = std::chrono::milliseconds(100); // between two checks of suspects that run elsewhere
constexpr Duration reserveRecheckInterval = std::chrono::milliseconds(500); // after which arrival rates are evaluated again

Refusal refusalNotRun(RefusalReason reason, std::chrono::seconds retryAfter)
{
    return Refusal{reason, RunState::NotRun, retryAfter};
}

PromptRequest promptRequestOf(const RequestProfile &profile, const QueueEntry &entry)
{
    return {entry.target, entry.requestClass, profile.prefixHash, profile.promptTokens, profile.sharedTokens,
        profile.outputTokens, profile.requestClass.firstTokenTarget, profile.requestClass.tier};
}

} // namespace

std::size_t Dispatcher::Implementation::ClassKeyHash::operator()(const ClassKey &key) const noexcept
{
    return hash64(key.name.text(), static_cast<std::uint64_t>(key.tier));
}

Dispatcher::Implementation::Implementation(const DispatcherOptions &options, DispatcherPolicies policies)
    : peers(options.seed)
    , selector(options.seed, policies.selection)
    , quarantine(options.quarantineDeaths)
    , coldServers(options.coldServers)
    , sharingCount(options.resendLimit.window)
    , options(options)
    , policies(std::move(policies))
    , queue(this->policies.queueOrder)
    , pathRandom(options.seed)
    , retryBudget(options.retryPercent / percent)
{
    if (!this->policies.admission) {
        this->policies.admission = meetsTarget;
    }
    this->pool.setStragglerDetection(this->policies.detectsStragglers);
    this->pool.setOwnDataCentre(this->options.dataCentre);
    this->selector.setDistanceCost(this->options.distanceCost);
}

std::variant<Ticket, Refusal> Dispatcher::Implementation::submit(const RequestProfile &profile, TimePoint now)
{
    const std::optional<RefusalReason> quarantined = this->quarantineReason(profile.fingerprint, profile.promptParts, now);
    if (quarantined.has_value()) {
        const bool isPrompt = *quarantined == RefusalReason::PromptQuarantined;
        return refusalNotRun(*quarantined,
            isPrompt ? this->retryAfterQuarantine(profile.promptParts, now)
                     : std::chrono::duration_cast<std::chrono::seconds>(Quarantine::expiry));
    }
    const std::optional<TargetIndex> target = this->pool.findTarget(profile.model, profile.service);
    if (target.has_value() && this->isLeftToPeers(*target, profile.isForwarded, profile.homes)) {
        return refusalNotRun(RefusalReason::Unreachable, otherInstanceRetryAfter);
    }
    if (!target.has_value() || !this->pool.hasUsableServer(*target, profile.requestClass.cheapAllowed)) {
        return this->refuseWithoutServer(target);
    }
    if (profile.homes.has_value()) {
        const TargetIndex homeTarget = this->withHomes(*target, profile.homes);
        if (!this->pool.hasUsableServer(homeTarget, profile.requestClass.cheapAllowed)) {
            return this->refuseWithoutServer(homeTarget);
        }
    }
    if (!profile.softwareVersion.empty()) {
        const TargetIndex versionTarget
            = this->withHomes(this->pool.internVersionTarget(*target, profile.softwareVersion), profile.homes);
        if (!this->pool.hasUsableServer(versionTarget, profile.requestClass.cheapAllowed)) {
            return this->refuseWithoutServer(versionTarget);
        }
    }
    if (profile.earlierAttempts == 0) {
        // The instance that forwarded a request may have counted it already.
        if (!profile.isForwarded) {
            this->resendLimit(*target).recordRequest(now);
        }
    } else if (!this->tryResend(*target, now)) {
        return Refusal{RefusalReason::RetriesExhausted, RunState::Unknown, otherInstanceRetryAfter};
    }
    QueueEntry entry = this->makeEntry(profile, *target);
    if (profile.outputTokens > 0) {
        this->selector.promptPlacement.recordArrival(promptRequestOf(profile, entry), now);
        this->demands[profile.service] += profile.promptTokens / this->selector.promptPlacement.tokensPerMillisecond();
        if (!this->selector.promptPlacement.isShortPromptClass(entry.requestClass)) {
            entry.target = this->pool.internTarget(ServerPool::longPromptModel(), profile.service);
        }
    }
    if (!profile.softwareVersion.empty()) {
        entry.target = this->pool.internVersionTarget(*target, profile.softwareVersion);
    }
    entry.target = this->withHomes(entry.target, profile.homes);
    this->recordTier(profile.requestClass);
    if (profile.outputTokens > 0) {
        const std::optional<Refusal> tooLong = this->refuseByBacklog(entry, profile, now);
        if (tooLong.has_value()) {
            return *tooLong;
        }
    }
    const std::optional<Refusal> refusal = this->refuseByForecast(entry, profile.requestClass.firstTokenTarget, now);
    if (refusal.has_value()) {
        return *refusal;
    }
    return this->enqueue(profile, entry, now);
}

Refusal Dispatcher::Implementation::refuseWithoutServer(std::optional<TargetIndex> target) const
{
    const bool hasServerOfOthers = target.has_value() && this->pool.hasServerOfOthers(*target);
    const RefusalReason reason = target.has_value() ? this->noServerReason(*target) : RefusalReason::NoServer;
    return refusalNotRun(reason, hasServerOfOthers ? otherInstanceRetryAfter : noServerRetryAfter);
}

ResendLimit &Dispatcher::Implementation::resendLimit(TargetIndex target)
{
    while (target >= this->resendLimits.size()) {
        this->resendLimits.emplace_back(this->options.resendLimit);
    }
    return this->resendLimits[target];
}

bool Dispatcher::Implementation::tryResend(TargetIndex target, TimePoint now)
{
    return this->resendLimit(target).tryTake(this->sharingCount.largest(now), now);
}

PromptBacklog &Dispatcher::Implementation::backlog(TargetIndex target)
{
    if (target >= this->backlogs.size()) {
        this->backlogs.resize(target + 1);
    }
    return this->backlogs[target];
}

std::optional<Refusal> Dispatcher::Implementation::refuseByBacklog(
    const QueueEntry &entry, const RequestProfile &profile, TimePoint now)
{
    const Duration wait = this->backlog(entry.target).expectedWait(entry.tier, now);
    if (!PromptBacklog::isTooLong(wait, profile.requestClass.deadline)) {
        return std::nullopt;
    }
    const auto excess = std::chrono::ceil<std::chrono::seconds>(wait - Duration(profile.requestClass.firstTokenTarget));
    return refusalNotRun(RefusalReason::Overloaded, std::clamp(excess, std::chrono::seconds(1), maxRetryAfter));
}

QueueEntry Dispatcher::Implementation::makeEntry(const RequestProfile &profile, TargetIndex target)
{
    QueueEntry entry;
    entry.target = target;
    entry.requestClass = this->internClass(profile.requestClass);
    entry.account = this->accounts.intern(profile.clientAccount);
    entry.tier = profile.requestClass.tier;
    entry.weight = profile.clientAccountShare;
    entry.floorShare = profile.requestClass.floorShare;
    entry.cheapAllowed = profile.requestClass.cheapAllowed;
    entry.arrival = profile.arrival;
    entry.firstTokenDeadline = profile.arrival + profile.requestClass.firstTokenTarget;
    return entry;
}

void Dispatcher::Implementation::recordTier(const RequestClass &requestClass)
{
    const auto found
        = std::lower_bound(this->tiers.begin(), this->tiers.end(), requestClass.tier, [](const Tier &known, int tier) {
              return known.tier < tier;
          });
    if (found == this->tiers.end() || found->tier != requestClass.tier) {
        this->tiers.insert(found, Tier{requestClass.tier, requestClass.firstTokenTarget});
    } else {
        found->firstTokenTarget = requestClass.firstTokenTarget;
    }
}

ClassIndex Dispatcher::Implementation::internClass(const RequestClass &requestClass)
{
    this->lookupKey.name = requestClass.name;
    this->lookupKey.tier = requestClass.tier;
    this->lookupKey.floorShare = requestClass.floorShare;
    this->lookupKey.cheapAllowed = requestClass.cheapAllowed;
    return this->classes.intern(this->lookupKey);
}

std::optional<Refusal> Dispatcher::Implementation::refuseByForecast(
    QueueEntry &entry, std::chrono::milliseconds firstTokenTarget, TimePoint now)
{
    const WaitForecast wait = forecastWait(this->queueSnapshot(entry, now));
    const std::optional<TimePoint> latest = this->latestStart(entry.requestClass);
    if (latest.has_value() && wait.waitSeconds >= std::chrono::duration<double>(*latest - now).count()) {
        return refusalNotRun(RefusalReason::Draining, otherInstanceRetryAfter);
    }
    if (!this->policies.admission(wait, firstTokenTarget)) {
        const std::optional<RequestIndex> victim
            = this->policies.allowsEviction ? this->queue.victimBelow(entry.tier, entry.target) : std::nullopt;
        if (!victim.has_value()) {
            return refusalNotRun(RefusalReason::Overloaded, retryAfter(wait, firstTokenTarget));
        }
        // The request will be late even if it is served before the lower tiers, but no lower tier may wait while a higher one is
        // refused.
        this->reject(*victim, RefusalReason::Evicted, now);
        entry.late = true;
    }
    if (!this->evictIfFull(entry, now)) {
        return refusalNotRun(RefusalReason::Overloaded, retryAfter(wait, firstTokenTarget));
    }
    return std::nullopt;
}

bool Dispatcher::Implementation::evictIfFull(const QueueEntry &entry, TimePoint now)
{
    if (this->waitingCount() < this->options.maxWaiting) {
        return true;
    }
    if (!this->policies.allowsEviction) {
        return false;
    }
    std::optional<RequestIndex> victim = this->queue.victimBelow(entry.tier, std::nullopt);
    if (!victim.has_value()) {
        FairShares &shares = this->queue.shares();
        const LaneIndex lane = shares.lane(entry.target, entry.tier);
        victim = this->queue.victimOfLongestQueue(lane, shares.share(lane, entry.account, entry.weight));
    }
    if (victim.has_value()) {
        this->reject(*victim, RefusalReason::Evicted, now);
    }
    return victim.has_value();
}

Ticket Dispatcher::Implementation::enqueue(const RequestProfile &profile, QueueEntry entry, TimePoint now)
{
    const RequestIndex index = this->requests.add();
    RequestRecord &record = this->requests.record(index);
    entry.request = index;
    record.entry = entry;
    record.deadline = profile.arrival + profile.requestClass.deadline;
    record.prefixHash = profile.prefixHash;
    record.fingerprint = profile.fingerprint;
    record.promptParts = profile.promptParts;
    record.promptTokens = profile.promptTokens;
    record.prompt = promptRequestOf(profile, entry);
    record.serviceTarget = this->pool.internTarget(profile.model, profile.service);
    record.homes = profile.homes;
    record.idempotent = profile.idempotent;
    record.isForwarded = profile.isForwarded;
    record.attempts = profile.earlierAttempts;
    record.wasSent = profile.earlierAttempts > 0;
    record.wasReached = record.wasSent;
    record.maxAttempts = profile.maxAttempts > 0 ? profile.maxAttempts : this->options.maxAttempts;
    if (this->mustPark(record.fingerprint, now)) {
        this->park(index);
    } else {
        this->addToQueue(index, now);
    }
    this->statistics.recordArrival(this->queue.shares().lane(entry.target, entry.tier), profile.arrival);
    return this->requests.ticket(index);
}

void Dispatcher::Implementation::addToQueue(RequestIndex index, TimePoint now)
{
    RequestRecord &record = this->requests.record(index);
    record.share = this->queue.add(record.entry);
    if (record.isPromptKnown()) {
        this->backlog(record.entry.target).recordWaiting(record.entry.tier, record.prompt.promptTokens, now);
    }
    this->waitLimits.add(index, this->waitLimit(record));
}

void Dispatcher::Implementation::removeFromQueue(RequestIndex index, bool started, TimePoint now)
{
    const RequestRecord &record = this->requests.record(index);
    if (record.parked) {
        std::erase(this->parked, index);
        this->waitLimits.remove(index);
        return;
    }
    if (record.isPromptKnown()) {
        this->backlog(record.entry.target).recordEnd(record.entry.tier, record.prompt.promptTokens, started, now);
    }
    this->queue.remove(index);
    this->waitLimits.remove(index);
}

void Dispatcher::Implementation::dispatch(TimePoint now, Decisions &decisions)
{
    decisions.assignments.clear();
    decisions.rejections.clear();
    this->lastDispatch = now;
    this->reserveRecheckAt.reset();
    this->refreshColdServers(now);
    this->pool.advanceTo(now);
    this->refreshRejectionShares(now);
    this->rejectExpired(now);
    this->releaseParked(now);
    if (std::exchange(this->pathsChanged, false)) {
        this->rejectUnreachable(now);
    }
    if (this->serversChanged) {
        this->rejectUnservable(now);
        this->serversChanged = false;
    }
    if (std::exchange(this->pausesChanged, false)) {
        this->rejectPaused(now);
    }
    for (const PromptPartChange &change : this->promptQuarantine.evaluateDeaths(now)) {
        this->recordPromptPart(change, true);
    }
    if (std::exchange(this->quarantinesChanged, false)) {
        this->rejectQuarantined(now);
    }
    // Callers that have a part of a stream wait for the next event, and share the servers with new requests.
    for (const bool continuesStreams : {true, false}) {
        if (this->pool.hasHomeTargets()) {
            this->startByTier(continuesStreams, now, decisions);
            continue;
        }
        for (TargetIndex target = 0; target < this->pool.targetCount(); ++target) {
            if (this->queue.waiting(target) > 0 && this->pool.continuesStreams(target) == continuesStreams) {
                this->startWaiting(target, allTiers, now, decisions);
            }
        }
    }
    decisions.rejections.swap(this->pendingRejections);
}

Availability Dispatcher::Implementation::availability(TargetIndex target, TimePoint now)
{
    Availability available = this->pool.availability(target);
    if (available.ordinary || available.cheap) {
        available.lowestAllowedTier = this->lowestStartableTier(target, now);
        // A request started here would overtake those waiting at a peer for the same servers.
        const auto peers = this->peerWaitingTiers.find(target);
        if (peers != this->peerWaitingTiers.end()) {
            available.lowestAllowedTier = std::min(available.lowestAllowedTier, peers->second);
        }
    }
    return available;
}

void Dispatcher::Implementation::startWaiting(TargetIndex target, int lowestTier, TimePoint now, Decisions &decisions)
{
    while (true) {
        Availability available = this->availability(target, now);
        available.lowestAllowedTier = std::min(available.lowestAllowedTier, lowestTier);
        if (!available.ordinary && !available.cheap) {
            return;
        }
        const std::optional<RequestIndex> request = this->queue.next(target, available, now);
        if (!request.has_value()) {
            this->reserveRecheckAt = this->queue.waiting(target) > 0 ? now + reserveRecheckInterval : this->reserveRecheckAt;
            return;
        }
        const RequestRecord &record = this->requests.record(*request);
        if (this->mustPark(record.fingerprint, now)) {
            const RequestIndex suspect = *request;
            this->removeFromQueue(suspect, false, now);
            this->park(suspect);
            continue;
        }
        const std::optional<RefusalReason> reason = this->reasonNotToStart(record, now);
        if (reason.has_value()) {
            this->reject(*request, *reason, now);
            continue;
        }
        const SelectionRequest selection{target, record.entry.cheapAllowed, record.prefixHash, record.failedServer,
            record.isPromptKnown() ? &record.prompt : nullptr};
        const ServerIndex server = this->selector.select(this->pool, selection, now);
        if (server == noServer) {
            return;
        }
        this->queue.recordStart(*request);
        this->removeFromQueue(*request, true, now);
        this->start(*request, server, now, decisions);
    }
}

std::optional<RefusalReason> Dispatcher::Implementation::reasonNotToStart(const RequestRecord &record, TimePoint now) const
{
    const std::optional<RefusalReason> quarantined = this->quarantineReason(record.fingerprint, record.promptParts, now);
    if (quarantined.has_value()) {
        return quarantined;
    }
    const double left = std::chrono::duration<double>(record.deadline - now).count();
    if (left < this->statistics.firstTokenSeconds(record.entry.target)) {
        return RefusalReason::DeadlineMissed;
    }
    return std::nullopt;
}

void Dispatcher::Implementation::start(RequestIndex index, ServerIndex server, TimePoint now, Decisions &decisions)
{
    RequestRecord &record = this->requests.record(index);
    const bool suspect
        = this->options.serializeSuspects && this->quarantine.status(record.fingerprint, now) == Quarantine::Status::Suspect;
    if (suspect) {
        this->quarantine.recordStart(record.fingerprint);
    }
    record.suspect = suspect;
    ++record.attempts;
    record.server = server;
    record.startedAt = now;
    record.lastTokenAt = now;
    record.firstTokenSeen = false;
    record.tokens = 0;
    record.reservedTokens = this->statistics.outputTokens(record.entry.requestClass);
    record.outstandingTokens = record.reservedTokens + record.promptTokens;
    this->queue.shares().charge(record.share, record.outstandingTokens);
    this->pool.acquire(server, record.entry.target, record.outstandingTokens);
    this->pool.recordStart(server, now);
    this->paths.recordStart(record.serviceTarget, now);
    if (record.isPromptKnown()) {
        record.prefill = this->selector.promptPlacement.startPrefill(this->pool, server, record.prompt);
        this->recordPrefill(this->pool.server(server).id, record.prompt.prefixHash);
    }
    decisions.assignments.push_back(Assignment{this->requests.ticket(index), this->pool.server(server).id, suspect});
}

void Dispatcher::Implementation::recordPrefill(const BackendServerId &server, std::uint64_t prefixHash)
{
    if (prefixHash == 0) {
        return;
    }
    if (this->prefills.size() >= maxReportedPrefills) {
        this->prefills.erase(this->prefills.begin());
    }
    this->prefills.push_back(PromptPrefill{server, prefixHash});
}

void Dispatcher::Implementation::cancel(Ticket ticket, TimePoint now)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (index.has_value() && !this->requests.record(*index).isRunning()) {
        this->removeFromQueue(*index, false, now);
        this->requests.remove(*index);
    }
}

void Dispatcher::Implementation::setServers(const std::vector<BackendServer> &servers, TimePoint now)
{
    this->decideDisputedDeaths(servers, now);
    this->pool.setServers(servers);
    this->serversChanged = true;
    this->updateRateShares(now);
    this->updateRejectionShares(now);
    this->updateColdServers(now);
}

void Dispatcher::Implementation::setExcluded(const DataCentre &dataCentre, bool excluded)
{
    this->pool.setExcluded(dataCentre, excluded);
    this->serversChanged = true;
}

void Dispatcher::Implementation::applyPeerServedTokens(const ServedTokensReport &report)
{
    const std::optional<TargetIndex> target = this->pool.findTarget(report.model, report.service);
    if (!target.has_value()) {
        return;
    }
    FairShares &shares = this->queue.shares();
    const LaneIndex lane = shares.lane(*target, report.tier);
    const AccountIndex account = this->accounts.intern(report.clientAccount);
    shares.applyPeerServedTokens(shares.share(lane, account, report.weight), report.tokens);
}

void Dispatcher::Implementation::takeServedTokens(std::vector<ServedTokensReport> &reports)
{
    reports.clear();
    const FairShares &shares = this->queue.shares();
    this->queue.shares().takeServed([&](LaneIndex lane, ShareIndex share, std::uint64_t tokens) {
        const auto &[model, service] = this->pool.targetName(shares.laneTarget(lane));
        reports.push_back(ServedTokensReport{
            this->accounts.name(shares.account(share)), model, service, shares.laneTier(lane), shares.weight(share), tokens});
    });
}

void Dispatcher::Implementation::applyPeerWaitingTiers(const std::vector<WaitingTier> &waiting)
{
    this->peerWaitingTiers.clear();
    for (const WaitingTier &known : waiting) {
        const std::optional<TargetIndex> target = this->pool.findTarget(known.model, known.service);
        if (target.has_value()) {
            this->peerWaitingTiers.emplace(*target, known.tier);
        }
    }
}

void Dispatcher::Implementation::waitingTiers(std::vector<WaitingTier> &waiting) const
{
    waiting.clear();
    for (TargetIndex target = 0; target < this->pool.targetCount(); ++target) {
        const std::optional<int> tier = this->queue.highestWaitingTier(target);
        if (tier.has_value()) {
            const auto &[model, service] = this->pool.targetName(target);
            waiting.push_back(WaitingTier{model, service, *tier});
        }
    }
}

std::optional<TimePoint> Dispatcher::Implementation::nextWakeup() const
{
    if (this->waitLimits.isEmpty()) {
        return std::nullopt;
    }
    const TimePoint deadline = this->waitLimits.earliestDeadline();
    if (!this->parked.empty()) {
        // The message that ends the wait may be lost, so parked requests are also checked periodically.
        return std::min(deadline, this->lastDispatch + parkedRecheckInterval);
    }
    const TimePoint next = std::min(deadline, this->pool.nextDelayedStart().value_or(deadline));
    return std::min(next, this->reserveRecheckAt.value_or(next));
}

} // namespace flamingosaddle
