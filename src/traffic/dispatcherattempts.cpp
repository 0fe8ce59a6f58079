// Implements the life of a request from its start on a backend server to its end.

#include "dispatcherimplementation.h"

#include <algorithm>

namespace flamingosaddle
{

namespace
{

// Attempts per request that may fail to reach a server without counting as attempts.
constexpr std::uint32_t maxUnsentAttempts = 4;
// Bounds the time for which a faulty server can exclude itself.
constexpr Duration maxRequestedPause = std::chrono::hours(1);

} // namespace

std::optional<ServerRateLimit> Dispatcher::Implementation::onResponseHead(
    Ticket ticket, std::optional<double> rateLimit, TimePoint now)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (!index.has_value() || !this->requests.record(*index).isRunning()) {
        return std::nullopt;
    }
    const RequestRecord &record = this->requests.record(*index);
    this->paths.recordContact(record.serviceTarget, now);
    const ServerRateLimit stated{this->pool.server(record.server).id, rateLimit, now};
    if (!this->rateLimits.applyResponse(stated, record.startedAt)) {
        return std::nullopt;
    }
    this->updateRateShare(stated.server, now);
    return stated;
}

std::optional<ServerRejectionLimit> Dispatcher::Implementation::onRejectionLimit(
    Ticket ticket, std::optional<std::uint32_t> rejectionsPerSecond, TimePoint now)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (!index.has_value() || !this->requests.record(*index).isRunning()) {
        return std::nullopt;
    }
    const RequestRecord &record = this->requests.record(*index);
    const ServerRejectionLimit stated{this->pool.server(record.server).id, rejectionsPerSecond, now};
    if (!this->rejectionLimits.applyResponse(record.serviceTarget, stated)) {
        return std::nullopt;
    }
    this->updateRejectionShares(record.serviceTarget, now);
    return stated;
}

bool Dispatcher::Implementation::onPauseRequested(Ticket ticket, Duration pause, TimePoint now)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (!index.has_value() || !this->requests.record(*index).isRunning() || pause <= Duration::zero()) {
        return false;
    }
    this->pool.pause(this->requests.record(*index).server, now + std::min(pause, maxRequestedPause));
    this->pausesChanged = true;
    return true;
}

AttemptOutcome Dispatcher::Implementation::withoutRestart(Ticket ticket, AttemptOutcome outcome, TimePoint now)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (outcome != AttemptOutcome::ServerFailed || !index.has_value() || !this->requests.record(*index).isRunning()) {
        return outcome;
    }
    const RequestRecord &record = this->requests.record(*index);
    return this->pool.isRestarting(record.server, record.startedAt, now) ? AttemptOutcome::ServerError : outcome;
}

void Dispatcher::Implementation::requireVersion(Ticket ticket, const std::string &softwareVersion)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (index.has_value() && this->requests.record(*index).isRunning()) {
        this->requests.record(*index).softwareVersion = softwareVersion;
    }
}

bool Dispatcher::Implementation::tryResend(Ticket ticket, TimePoint now)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (!index.has_value() || !this->requests.record(*index).isRunning()) {
        return false;
    }
    const RequestRecord &record = this->requests.record(*index);
    if (this->pool.isEvacuated(record.server)) {
        return false;
    }
    this->pool.advanceTo(now);
    const std::optional<ColdState> &cold = this->pool.server(record.server).cold;
    const bool isAllowed = !cold.has_value() || cold->startsLeft() > 0;
    if (!isAllowed || !this->tryResend(record.serviceTarget, now)) {
        return false;
    }
    this->pool.recordColdStart(record.server, now);
    return true;
}

void Dispatcher::Implementation::onFirstToken(Ticket ticket, TimePoint now)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (!index.has_value() || !this->requests.record(*index).isRunning() || this->requests.record(*index).firstTokenSeen) {
        return;
    }
    RequestRecord &record = this->requests.record(*index);
    record.firstTokenSeen = true;
    this->paths.recordContact(record.serviceTarget, now);
    record.lastTokenAt = now;
    record.outstandingTokens -= record.promptTokens;
    this->pool.recordProgress(record.server, record.promptTokens);
    this->statistics.recordFirstToken(record.entry.target, now - record.startedAt);
    if (record.isPromptKnown()) {
        const double slowdown
            = this->selector.promptPlacement.recordPrefill(record.server, record.prefill, now - record.startedAt);
        this->pool.recordPrefill(record.server, slowdown, now);
    } else {
        this->pool.recordFirstToken(record.server, now - record.startedAt, now);
    }
    this->queue.shares().recordServed(record.share, record.promptTokens);
}

void Dispatcher::Implementation::onTokens(Ticket ticket, std::uint32_t count, TimePoint now)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (!index.has_value() || !this->requests.record(*index).isRunning() || count == 0) {
        return;
    }
    RequestRecord &record = this->requests.record(*index);
    const double reserved = std::min(record.reservedTokens, static_cast<double>(count));
    record.tokens += count;
    record.reservedTokens -= reserved;
    record.outstandingTokens -= reserved;
    this->pool.recordProgress(record.server, reserved);
    this->queue.shares().charge(record.share, count - reserved);
    this->queue.shares().recordServed(record.share, count);
    if (record.firstTokenSeen && now > record.lastTokenAt && !record.isPromptKnown()) {
        this->pool.recordInterToken(record.server, (now - record.lastTokenAt) / count, now);
    }
    record.lastTokenAt = now;
    this->paths.recordContact(record.serviceTarget, now);
}

void Dispatcher::Implementation::finish(Ticket ticket, AttemptOutcome outcome, TimePoint now)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (!index.has_value()) {
        return;
    }
    RequestRecord &record = this->requests.record(*index);
    if (!record.isRunning()) {
        this->cancel(ticket, now);
        return;
    }
    if (outcome == AttemptOutcome::Completed) {
        this->retryBudget.recordSuccess(record.entry.account);
        this->statistics.recordCompletion(record.entry.target, record.entry.requestClass, now - record.startedAt, record.tokens);
    }
    this->endAttempt(record, outcome, now);
    this->requests.remove(*index);
}

std::optional<Refusal> Dispatcher::Implementation::retry(Ticket ticket, AttemptOutcome outcome, bool anyByteSent, TimePoint now)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (!index.has_value() || !this->requests.record(*index).isRunning()) {
        return Refusal{RefusalReason::Cancelled, RunState::Unknown, std::chrono::seconds(1)};
    }
    RequestRecord &record = this->requests.record(*index);
    record.wasSent = record.wasSent || anyByteSent;
    record.wasReached = record.wasReached || outcome != AttemptOutcome::NotSent;
    if (outcome == AttemptOutcome::NotSent && this->options.exemptUnsentAttempts && record.unsentAttempts < maxUnsentAttempts) {
        // The server never saw the attempt.
        --record.attempts;
        ++record.unsentAttempts;
    }
    this->endAttempt(record, outcome, now);
    if (!record.softwareVersion.empty()) {
        const TargetIndex versionTarget = this->pool.internVersionTarget(record.serviceTarget, record.softwareVersion);
        record.entry.target = this->withHomes(versionTarget, record.homes);
        record.prompt.target = record.entry.target;
    }
    const std::optional<RefusalReason> reason = this->reasonNotToRetry(record, outcome, now);
    if (reason.has_value()) {
        const Refusal refusal = this->refusalFor(record, *reason, now);
        this->requests.remove(*index);
        return refusal;
    }
    record.entry.late = record.entry.firstTokenDeadline <= now;
    if (this->mustPark(record.fingerprint, now)) {
        this->park(*index);
    } else {
        this->addToQueue(*index, now);
    }
    return std::nullopt;
}

std::optional<RefusalReason> Dispatcher::Implementation::reasonNotToRetry(
    const RequestRecord &record, AttemptOutcome outcome, TimePoint now)
{
    if (outcome == AttemptOutcome::CallerDisconnected || outcome == AttemptOutcome::Completed) {
        return RefusalReason::Cancelled;
    }
    const std::optional<RefusalReason> quarantined = this->quarantineReason(record.fingerprint, record.promptParts, now);
    if (quarantined.has_value()) {
        return quarantined;
    }
    if (record.deadline <= now) {
        return RefusalReason::DeadlineMissed;
    }
    if (this->waitLimit(record) <= now) {
        // The failure of the last attempt says more than the drain about a request that may have run.
        return record.wasSent ? RefusalReason::RetriesExhausted : RefusalReason::Draining;
    }
    if ((record.wasSent && !record.idempotent) || record.attempts >= record.maxAttempts) {
        return this->mayForward(record) ? RefusalReason::Unreachable : RefusalReason::RetriesExhausted;
    }
    if (this->isLeftToPeers(record.serviceTarget, record.isForwarded, record.homes)) {
        return RefusalReason::Unreachable;
    }
    if (!this->pool.hasUsableServer(record.entry.target, record.entry.cheapAllowed)) {
        return this->noServerReason(record.entry.target);
    }
    if (this->isPausedPastDeadline(record)) {
        return RefusalReason::NoServer;
    }
    if (outcome == AttemptOutcome::NotSent && this->options.exemptUnsentAttempts) {
        // No server has seen the request, so sending it again adds no load.
        return std::nullopt;
    }
    if (!this->tryResend(record.serviceTarget, now)) {
        return RefusalReason::RetriesExhausted;
    }
    const bool allowed
        = this->policies.retry ? this->policies.retry(record.attempts) : this->retryBudget.tryTake(record.entry.account);
    return allowed ? std::nullopt : std::optional(RefusalReason::RetriesExhausted);
}

void Dispatcher::Implementation::endAttempt(RequestRecord &record, AttemptOutcome outcome, TimePoint now)
{
    this->recordServerOutcome(record, outcome, now);
    this->recordPathOutcome(record, outcome, now);
    const bool notProcessed = outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Rejected;
    const bool promptUnused = notProcessed && !record.firstTokenSeen;
    this->queue.shares().charge(record.share, -record.reservedTokens - (promptUnused ? record.promptTokens : 0.0));
    if (record.suspect) {
        this->quarantine.recordEnd(record.fingerprint);
    }
    if (record.isPromptKnown() && !record.firstTokenSeen) {
        this->selector.promptPlacement.cancelPrefill(record.server, record.prefill.localTokens);
    }
    this->pool.release(record.server, record.entry.target, record.outstandingTokens);
    record.failedServer = record.server;
    record.server = noServer;
}

void Dispatcher::Implementation::recordPathOutcome(const RequestRecord &record, AttemptOutcome outcome, TimePoint now)
{
    if (outcome == AttemptOutcome::Completed || outcome == AttemptOutcome::Rejected) {
        this->paths.recordContact(record.serviceTarget, now);
    } else if (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::ServerFailed) {
        const bool isDeath = outcome == AttemptOutcome::ServerFailed;
        this->paths.recordLostConnection(record.serviceTarget, isDeath && this->options.confirmDeathsByPathCheck);
    } else if (outcome == AttemptOutcome::ServerError) {
        this->paths.recordFailure(record.serviceTarget);
    }
    this->paths.recordEnd(record.serviceTarget);
}

void Dispatcher::Implementation::recordServerOutcome(const RequestRecord &record, AttemptOutcome outcome, TimePoint now)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        this->pool.recordSuccess(record.server);
        this->quarantine.clearSuspicion(
            record.fingerprint, this->promptQuarantine.explainedDeaths(record.fingerprint, record.promptParts));
        this->clearDisputedDeaths(record.fingerprint, record.promptParts);
        for (const PromptPartChange &change : this->promptQuarantine.recordCompletion(record.promptParts)) {
            this->recordPromptPart(change, true);
        }
        break;
    case AttemptOutcome::ServerFailed:
        this->pool.recordFailure(record.server, now);
        this->suspectCold(record.server, ColdReason::Failed, now);
        this->recordDeath(record, now);
        break;
    case AttemptOutcome::Rejected:
        this->pool.recordFailure(record.server, now);
        if (const std::optional<RejectionShare> &share = this->pool.server(record.server).rejectionShare) {
            this->pool.pause(record.server, now + share->pause);
            this->pausesChanged = true;
        }
        break;
    case AttemptOutcome::NotSent:
        this->pool.recordFailure(record.server, now);
        this->suspectCold(record.server, ColdReason::Failed, now);
        break;
    case AttemptOutcome::ServerError:
        this->pool.recordFailure(record.server, now);
        if (this->pool.isRestarting(record.server, record.startedAt, now)) {
            this->suspectCold(record.server, ColdReason::Failed, now);
        }
        break;
    case AttemptOutcome::CallerDisconnected:
        break;
    }
}

} // namespace flamingosaddle
