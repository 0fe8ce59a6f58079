#include <flamingosaddle/app/serverdeathlog.h>

#include <flamingosaddle/app/hashlist.h>
#include <flamingosaddle/base/log.h>

#include <string>

namespace flamingosaddle
{

void ServerDeathLog::observe(const ServerDeath &death, std::string_view source)
{
    if (!this->limit.mayLog(RuntimeClock::now())) {
        return;
    }
    const auto ranFor = std::chrono::duration_cast<std::chrono::milliseconds>(death.ranFor);
    logEvent(LogLevel::Warning, "traffic", "a backend server died while it ran a request",
        {{"server", death.server.text()}, {"fingerprint", std::to_string(death.fingerprint)},
            {"prompt_parts", hashList(death.promptParts)}, {"ran_ms", std::to_string(ranFor.count())},
            {"source", std::string(source)}});
}

} // namespace flamingosaddle
