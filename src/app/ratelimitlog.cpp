#include <flamingosaddle/app/ratelimitlog.h>

#include <flamingosaddle/base/log.h>

#include <string>

namespace flamingosaddle
{

void RateLimitLog::observe(const ServerRateLimit &change, std::string_view source)
{
    const TimePoint now = RuntimeClock::now();
    if (!this->limit.mayLog(now)) {
        return;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - change.statedAt);
    logEvent(LogLevel::Info, "traffic", "the rate limit of a backend server changed",
        {{"server", change.server.text()},
            {"requests_per_second", change.requestsPerSecond ? std::to_string(*change.requestsPerSecond) : "none"},
            {"source", std::string(source)}, {"stated_ms_ago", std::to_string(age.count())}});
}

void RateLimitLog::observe(const ServerRejectionLimit &change)
{
    if (!this->limit.mayLog(RuntimeClock::now())) {
        return;
    }
    logEvent(LogLevel::Info, "traffic", "the rejection limit of a backend server changed",
        {{"server", change.server.text()},
            {"rejections_per_second", change.rejectionsPerSecond ? std::to_string(*change.rejectionsPerSecond) : "none"}});
}

void RateLimitLog::observe(const TargetRejectionLimit &report)
{
    const TimePoint now = RuntimeClock::now();
    if (!this->limit.mayLog(now)) {
        return;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - report.statedAt);
    logEvent(LogLevel::Info, "traffic", "a peer reports a rejection limit of backend servers",
        {{"target", report.target.text()}, {"rejections_per_second", std::to_string(report.rejectionsPerSecond)},
            {"stated_ms_ago", std::to_string(age.count())}});
}

} // namespace flamingosaddle
