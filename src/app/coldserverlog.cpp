#include <flamingosaddle/app/coldserverlog.h>

#include <flamingosaddle/base/log.h>

#include <string>

namespace flamingosaddle
{

namespace
{

std::string millisecondsOf(const std::optional<Duration> &duration)
{
    return duration.has_value() ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*duration).count())
                                : "unknown";
}

} // namespace

void ColdServerLog::observe(const ColdServerChange &change)
{
    if (!this->limit.mayLog(RuntimeClock::now())) {
        return;
    }
    if (!change.reason.has_value()) {
        logEvent(LogLevel::Info, "traffic", "a backend server is warm", {{"server", change.server.text()}});
        return;
    }
    logEvent(LogLevel::Info, "traffic", "a backend server is treated as cold",
        {{"server", change.server.text()}, {"reason", toString(*change.reason)},
            {"remaining_ms", millisecondsOf(change.remaining)}, {"share", std::to_string(change.share)}});
}

} // namespace flamingosaddle
