#include <flamingosaddle/app/serverpauselog.h>

#include <flamingosaddle/base/log.h>

#include <string>

namespace flamingosaddle
{

void ServerPauseLog::observe(const BackendServerId &server, Duration pause)
{
    if (!this->limit.mayLog(RuntimeClock::now())) {
        return;
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(pause);
    logEvent(LogLevel::Info, "traffic", "a backend server asked for a pause",
        {{"server", server.text()}, {"pause_ms", std::to_string(milliseconds.count())}});
}

} // namespace flamingosaddle
