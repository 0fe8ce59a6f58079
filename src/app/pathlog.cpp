#include <flamingosaddle/app/pathlog.h>

#include <flamingosaddle/base/log.h>

#include <string>

namespace flamingosaddle
{

namespace
{

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

void PathLog::observe(const PathChange &change)
{
    if (!this->limit.mayLog(RuntimeClock::now())) {
        return;
    }
    const std::string servers = std::to_string(change.checkedServers);
    if (change.loss == PathLoss::NoSlot) {
        logEvent(LogLevel::Info, "traffic",
            change.isReachable ? "requests of a target are no longer left to peers"
                               : "requests of a target are left to peers, which have all slots of its backend servers",
            {{"target", change.target.text()}});
    } else if (change.isReachable) {
        logEvent(LogLevel::Info, "traffic", "the backend servers of a target can be reached again",
            {{"target", change.target.text()}, {"unreachable_ms", milliseconds(change.unreachableFor)}});
    } else {
        logEvent(LogLevel::Warning, "traffic", "the backend servers of a target cannot be reached",
            {{"target", change.target.text()}, {"checked_servers", servers},
                {"unanswered_ms", milliseconds(change.unansweredFor)}});
    }
}

} // namespace flamingosaddle
