// Rejects waiting requests that can no longer be served.

#include "dispatcherimplementation.h"

#include <algorithm>

namespace flamingosaddle
{

void Dispatcher::Implementation::reject(RequestIndex index, RefusalReason reason, TimePoint now)
{
    this->pendingRejections.push_back(
        Rejection{this->requests.ticket(index), this->refusalFor(this->requests.record(index), reason, now)});
    this->removeFromQueue(index, false, now);
    this->requests.remove(index);
}

std::chrono::seconds Dispatcher::Implementation::retryAfterQuarantine(
    const std::vector<std::uint64_t> &promptParts, TimePoint now) const
{
    const TimePoint until = this->promptQuarantine.quarantinedUntil(promptParts, now).value_or(now);
    return std::chrono::ceil<std::chrono::seconds>(until - now);
}

Refusal Dispatcher::Implementation::refusalFor(const RequestRecord &record, RefusalReason reason, TimePoint now) const
{
    if (reason == RefusalReason::PromptQuarantined) {
        return Refusal{
            reason, record.wasSent ? RunState::Unknown : RunState::NotRun, this->retryAfterQuarantine(record.promptParts, now)};
    }
    const RunState runState = record.wasSent ? RunState::Unknown : RunState::NotRun;
    if (reason == RefusalReason::Draining) {
        return Refusal{reason, runState, otherInstanceRetryAfter};
    }
    if (reason == RefusalReason::DataCentreEvacuated || reason == RefusalReason::NoHomeServer) {
        return Refusal{reason, runState, noServerRetryAfter};
    }
    if (const std::optional<TimePoint> pausedUntil = this->pool.pausedUntil(record.entry.target)) {
        return Refusal{reason, runState, std::chrono::ceil<std::chrono::seconds>(std::max(*pausedUntil - now, Duration::zero()))};
    }
    const std::optional<double> holdSeconds = this->statistics.holdSeconds(record.entry.target);
    const auto seconds = std::chrono::seconds(
        std::clamp(static_cast<std::int64_t>(holdSeconds.value_or(1.0)), std::int64_t{1}, std::int64_t{60}));
    return Refusal{reason, runState, seconds};
}

void Dispatcher::Implementation::rejectExpired(TimePoint now)
{
    while (!this->waitLimits.isEmpty() && this->waitLimits.earliestDeadline() <= now) {
        const RequestIndex index = this->waitLimits.earliestMember();
        const bool isDeadline = this->requests.record(index).deadline <= now;
        this->reject(index, isDeadline ? RefusalReason::DeadlineMissed : RefusalReason::Draining, now);
    }
}

void Dispatcher::Implementation::rejectUnservable(TimePoint now)
{
    for (TargetIndex target = 0; target < this->pool.targetCount(); ++target) {
        for (const bool cheapAllowed : {false, true}) {
            while (!this->pool.hasUsableServer(target, cheapAllowed)) {
                const std::optional<RequestIndex> request = this->queue.anyWaiting(target, cheapAllowed);
                if (!request.has_value()) {
                    break;
                }
                this->reject(*request, this->noServerReason(target), now);
            }
        }
    }
}

bool Dispatcher::Implementation::isPausedPastDeadline(const RequestRecord &record) const
{
    const std::optional<TimePoint> pausedUntil = this->pool.pausedUntil(record.entry.target);
    return pausedUntil.has_value() && *pausedUntil >= record.deadline;
}

void Dispatcher::Implementation::rejectPaused(TimePoint now)
{
    for (const RequestIndex index : this->requests.waiting()) {
        if (this->isPausedPastDeadline(this->requests.record(index))) {
            this->reject(index, RefusalReason::NoServer, now);
        }
    }
}

void Dispatcher::Implementation::rejectQuarantined(TimePoint now)
{
    for (const RequestIndex index : this->requests.waiting()) {
        if (this->promptQuarantine.quarantinedUntil(this->requests.record(index).promptParts, now).has_value()) {
            this->reject(index, RefusalReason::PromptQuarantined, now);
        }
    }
}

} // namespace flamingosaddle
