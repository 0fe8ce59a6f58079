// Implements the life of a request from its start on a backend server to its outcome.

#include "dispatcherimplementation.h"

#include <algorithm>

namespace flamingosaddle
{

namespace
{

// Attempts per request that may fail to reach a server without counting as attempts.
constexpr std::uint32_t maxUnsentAttempts = 4;

} // namespace

void Dispatcher::Implementation::firstToken(Ticket ticket, TimePoint now)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (!index.has_value() || !this->requests.record(*index).isRunning() || this->requests.record(*index).firstTokenSeen) {
        return;
    }
    RequestRecord &record = this->requests.record(*index);
    record.firstTokenSeen = true;
    record.lastTokenAt = now;
    record.outstandingTokens -= record.promptTokens;
    this->pool.noteProgress(record.server, record.promptTokens);
    this->forecast.noteFirstToken(record.entry.target, now - record.startedAt);
    if (record.isPromptKnown()) {
        const double slowdown = this->selector.prompts.noteRead(record.server, record.started, now - record.startedAt);
        this->pool.noteReading(record.server, slowdown, now);
    } else {
        this->pool.noteFirstToken(record.server, now - record.startedAt, now);
    }
    this->queue.shares().noteServed(record.share, record.promptTokens);
}

void Dispatcher::Implementation::tokens(Ticket ticket, std::uint32_t count, TimePoint now)
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
    this->pool.noteProgress(record.server, reserved);
    this->queue.shares().charge(record.share, count - reserved);
    this->queue.shares().noteServed(record.share, count);
    if (record.firstTokenSeen && now > record.lastTokenAt && !record.isPromptKnown()) {
        this->pool.noteInterToken(record.server, (now - record.lastTokenAt) / count, now);
    }
    record.lastTokenAt = now;
}

void Dispatcher::Implementation::finish(Ticket ticket, AttemptEnd outcome, TimePoint now)
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
    if (outcome == AttemptEnd::Completed) {
        this->retryBudget.noteSuccess(record.entry.account);
        this->forecast.noteEnd(record.entry.target, record.entry.requestClass, now - record.startedAt, record.tokens);
    }
    this->endAttempt(record, outcome, now);
    this->requests.remove(*index);
}

std::optional<Refusal> Dispatcher::Implementation::retry(Ticket ticket, AttemptEnd outcome, bool anyByteSent, TimePoint now)
{
    const std::optional<RequestIndex> index = this->requests.find(ticket);
    if (!index.has_value() || !this->requests.record(*index).isRunning()) {
        return Refusal{RefusalReason::Cancelled, RunState::Unknown, std::chrono::seconds(1)};
    }
    RequestRecord &record = this->requests.record(*index);
    record.everSent = record.everSent || anyByteSent;
    if (outcome == AttemptEnd::NotSent && this->options.unsentIsFree && record.unsentAttempts < maxUnsentAttempts) {
        // The server never saw the attempt.
        --record.attempts;
        ++record.unsentAttempts;
    }
    this->endAttempt(record, outcome, now);
    const std::optional<RefusalReason> reason = this->reasonNotToRetry(record, outcome, now);
    if (reason.has_value()) {
        const Refusal refusal = this->refusalOf(record, *reason);
        this->requests.remove(*index);
        return refusal;
    }
    record.entry.late = record.entry.lateAt <= now;
    if (this->mustWaitAlone(record.fingerprint, now)) {
        this->park(*index);
    } else {
        this->putInQueue(*index, now);
    }
    return std::nullopt;
}

std::optional<RefusalReason> Dispatcher::Implementation::reasonNotToRetry(
    const RequestRecord &record, AttemptEnd outcome, TimePoint now)
{
    if (outcome == AttemptEnd::CallerGone || outcome == AttemptEnd::Completed) {
        return RefusalReason::Cancelled;
    }
    if (this->isQuarantined(record.fingerprint, now)) {
        return RefusalReason::Quarantined;
    }
    if (record.deadline <= now) {
        return RefusalReason::DeadlineMissed;
    }
    if ((record.everSent && !record.idempotent) || record.attempts >= record.maxAttempts) {
        return RefusalReason::RetriesExhausted;
    }
    if (!this->pool.anyUsable(record.entry.target, record.entry.cheapAllowed)) {
        return RefusalReason::NoServer;
    }
    if (outcome == AttemptEnd::NotSent && this->options.unsentIsFree) {
        // No server has seen the request, so sending it again adds no load.
        return std::nullopt;
    }
    if (!this->resendLimit(record.serviceTarget).take(this->instanceCount, now)) {
        return RefusalReason::RetriesExhausted;
    }
    const bool allowed
        = this->policies.mayRetry ? this->policies.mayRetry(record.attempts) : this->retryBudget.take(record.entry.account);
    return allowed ? std::nullopt : std::optional(RefusalReason::RetriesExhausted);
}

void Dispatcher::Implementation::endAttempt(RequestRecord &record, AttemptEnd outcome, TimePoint now)
{
    this->noteServerOutcome(record, outcome, now);
    const bool notProcessed = outcome == AttemptEnd::NotSent || outcome == AttemptEnd::Rejected;
    const bool promptUnused = notProcessed && !record.firstTokenSeen;
    this->queue.shares().charge(record.share, -record.reservedTokens - (promptUnused ? record.promptTokens : 0.0));
    if (record.suspect) {
        this->quarantine.noteEnd(record.fingerprint);
    }
    if (record.isPromptKnown() && !record.firstTokenSeen) {
        this->selector.prompts.drop(record.server, record.started.own);
    }
    this->pool.release(record.server, record.entry.target, record.outstandingTokens);
    record.failedServer = record.server;
    record.server = noServer;
}

void Dispatcher::Implementation::noteServerOutcome(const RequestRecord &record, AttemptEnd outcome, TimePoint now)
{
    switch (outcome) {
    case AttemptEnd::Completed:
        this->pool.noteSuccess(record.server);
        this->quarantine.exonerate(record.fingerprint);
        break;
    case AttemptEnd::ServerFailed:
        this->pool.noteFailure(record.server, now);
        // A server in a data centre that is being reclaimed is stopped regardless of the request.
        if (!this->pool.isExcluded(record.server)) {
            this->quarantine.noteDeath(record.fingerprint, this->pool.server(record.server).nameHash, now);
        }
        break;
    case AttemptEnd::NotSent:
    case AttemptEnd::Rejected:
    case AttemptEnd::ServerError:
        this->pool.noteFailure(record.server, now);
        break;
    case AttemptEnd::CallerGone:
        break;
    }
}

} // namespace flamingosaddle
