#include <flamingosaddle/app/ratelimitlog.h>

#include <flamingosaddle/base/log.h>

#include <string>

namespace flamingosaddle
{

void RateLimitLog::observe(const ServerRateLimit &limit, std::string_view source)
{
    const TimePoint now = RuntimeClock::now();
    if (!this->mayLog(now)) {
        return;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - limit.statedAt);
    logEvent(LogLevel::Info, "traffic", "the rate limit of a backend server changed",
        {{"server", limit.server.text()},
            {"requests_per_second", limit.requestsPerSecond ? std::to_string(*limit.requestsPerSecond) : "none"},
            {"source", std::string(source)}, {"stated_ms_ago", std::to_string(age.count())}});
}

bool RateLimitLog::mayLog(TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    if (now - this->second >= std::chrono::seconds(1)) {
        if (this->omitted > 0) {
            logEvent(
                LogLevel::Info, "traffic", "changes of rate limits were not logged", {{"count", std::to_string(this->omitted)}});
        }
        this->second = now;
        this->lines = 0;
        this->omitted = 0;
    }
    if (this->lines >= maxLines) {
        ++this->omitted;
        return false;
    }
    ++this->lines;
    return true;
}

} // namespace flamingosaddle
