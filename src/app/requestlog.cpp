#include <flamingosaddle/app/requestlog.h>

#include <flamingosaddle/app/hashlist.h>
#include <flamingosaddle/base/log.h>

#include <optional>
#include <string>

namespace flamingosaddle
{

namespace
{

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

template <typename Name>
std::string listOf(const std::vector<Name> &names)
{
    std::string list;
    for (const Name &name : names) {
        list += (list.empty() ? "" : ",") + name.text();
    }
    return list.empty() ? "none" : list;
}

std::string runStateText(const RequestOutcome &outcome)
{
    if (!outcome.runState.has_value()) {
        return outcome.complete ? "answered" : "unknown";
    }
    return *outcome.runState == RunState::NotRun ? "not-run" : "unknown";
}

} // namespace

bool RequestLog::mayLog(bool served, TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    if (now - this->second >= std::chrono::seconds(1)) {
        if (this->leftOut > 0) {
            logEvent(LogLevel::Info, "relay", "request lines were left out", {{"count", std::to_string(this->leftOut)}});
        }
        this->second = now;
        this->servedLines = 0;
        this->failedLines = 0;
        this->leftOut = 0;
    }
    std::uint32_t &lines = served ? this->servedLines : this->failedLines;
    if (lines >= (served ? maxServedLines : maxFailedLines)) {
        ++this->leftOut;
        return false;
    }
    ++lines;
    return true;
}

void RequestLog::observe(const RequestOutcome &outcome)
{
    const TimePoint now = RuntimeClock::now();
    constexpr int firstFailure = 400;
    const bool served = outcome.complete && outcome.status < firstFailure;
    if (!this->mayLog(served, now)) {
        return;
    }
    const auto since = [&outcome](const std::optional<TimePoint> &time) {
        return time.has_value() ? milliseconds(*time - outcome.arrival) : "none";
    };
    const auto attemptTime = [&outcome, &since](const std::optional<TimePoint> &time) {
        return outcome.attempts > 0 ? since(time) : "none";
    };
    logEvent(served ? LogLevel::Info : LogLevel::Warning, "relay", "request",
        {{"request", outcome.requestId}, {"account", outcome.clientAccount.text()}, {"class", outcome.className.text()},
            {"tier", std::to_string(outcome.tier)}, {"route", outcome.route.text()},
            {"config_offset", std::to_string(outcome.configOffset)},
            {"config_proved_ms_ago", outcome.configAge.has_value() ? milliseconds(*outcome.configAge) : "none"},
            {"evacuated", listOf(outcome.evacuated)}, {"homes", outcome.homes.has_value() ? listOf(*outcome.homes) : "anywhere"},
            {"prompt_tokens", std::to_string(outcome.promptTokens)}, {"shared_tokens", std::to_string(outcome.sharedTokens)},
            {"prefix", std::to_string(outcome.prefixHash)}, {"prompt_parts", hashList(outcome.promptParts)},
            {"attempts", std::to_string(outcome.attempts)},
            {"last_attempt", outcome.lastAttempt.has_value() ? toString(*outcome.lastAttempt) : "none"},
            {"server", outcome.server.text()},
            {"server_data_centre", outcome.traffic.empty() ? "none" : outcome.traffic.back().dataCentre.text()},
            {"sent_bytes", outcome.traffic.empty() ? "0" : std::to_string(outcome.traffic.back().sentBytes)},
            {"received_bytes", outcome.traffic.empty() ? "0" : std::to_string(outcome.traffic.back().receivedBytes)},
            {"server_version", outcome.softwareVersion}, {"resumes", outcome.resumedRequest},
            {"resume_after", std::to_string(outcome.resumeAfter)}, {"deadline_ms", since(outcome.deadline)},
            {"sent_ms", attemptTime(outcome.sentAt)}, {"first_token_ms", since(outcome.firstTokenAt)},
            {"attempt_end_ms", attemptTime(outcome.attemptEndedAt)}, {"end_ms", since(now)},
            {"status", std::to_string(outcome.status)}, {"run", runStateText(outcome)},
            {"refusal", outcome.refusal.has_value() ? toString(*outcome.refusal) : "none"}, {"error", outcome.error},
            {"tokens", std::to_string(outcome.relayedTokens)}, {"forwarded_to", outcome.forwardedTo.text()},
            {"forwarded_by", outcome.forwardedBy.text()}});
}

} // namespace flamingosaddle
