#include <flamingosaddle/app/promptpartlog.h>

#include <flamingosaddle/base/log.h>

#include <string>

namespace flamingosaddle
{

void PromptPartLog::observe(const PromptPartChange &change)
{
    const TimePoint now = RuntimeClock::now();
    if (!this->limit.mayLog(now)) {
        return;
    }
    const std::string source = change.isLocal ? "own" : "peer";
    if (!change.quarantinedUntil.has_value()) {
        logEvent(LogLevel::Info, "traffic", "a part of prompts is no longer suspected of crashing backend servers",
            {{"part", std::to_string(change.part)}, {"source", source}});
        return;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*change.quarantinedUntil - now);
    logEvent(LogLevel::Warning, "traffic", "a part of prompts is quarantined, since requests with it crash backend servers",
        {{"part", std::to_string(change.part)}, {"for_ms", std::to_string(left.count())}, {"source", source}});
}

} // namespace flamingosaddle
