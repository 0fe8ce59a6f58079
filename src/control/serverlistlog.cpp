#include <flamingosaddle/control/serverlistlog.h>

#include <flamingosaddle/base/log.h>

#include <string>

namespace flamingosaddle
{

namespace
{

/**
 * The servers with one kind of change.
 */
struct ChangedServers {
    std::size_t count = 0;
    std::string names; ///< separated by commas

    void add(const BackendServerId &server)
    {
        if (++this->count <= ServerListLog::maxListedServers) {
            this->names += (this->names.empty() ? "" : ",") + server.text();
        }
    }

    void log(std::string_view event, std::string_view source, std::uint64_t nextOffset) const
    {
        if (this->count > 0) {
            logEvent(LogLevel::Info, "control", event,
                {{"count", std::to_string(this->count)}, {"servers", this->names}, {"source", std::string(source)},
                    {"next_offset", std::to_string(nextOffset)}});
        }
    }
};

} // namespace

ServerListLog::ServerListLog(const ServerTable &before, const std::vector<ServerChange> &batch, bool isComplete)
{
    for (const ServerChange &change : batch) {
        this->statusBefore.emplace(change.id, statusOf(before, change.id));
    }
    if (isComplete) {
        for (const auto &[id, registered] : before.servers()) {
            this->statusBefore.emplace(id, statusOf(before, id));
        }
    }
}

ServerListLog::Status ServerListLog::statusOf(const ServerTable &table, const BackendServerId &server)
{
    const auto found = table.servers().find(server);
    if (found == table.servers().end()) {
        return Status::Unknown;
    }
    if (table.isInGracePeriod(server)) {
        return Status::Missing;
    }
    return found->second.server.leaving ? Status::Leaving : Status::Serving;
}

void ServerListLog::logChanges(const ServerTable &after, std::string_view source, std::uint64_t nextOffset) const
{
    ChangedServers added;
    ChangedServers leaving;
    ChangedServers servingAgain;
    ChangedServers missing;
    ChangedServers removed;
    for (const auto &[id, before] : this->statusBefore) {
        const Status now = statusOf(after, id);
        if (now == before) {
            continue;
        }
        if (now == Status::Unknown) {
            removed.add(id);
        } else if (now == Status::Leaving) {
            leaving.add(id);
        } else if (now == Status::Missing) {
            missing.add(id);
        } else if (before == Status::Leaving || before == Status::Missing) {
            servingAgain.add(id);
        } else {
            added.add(id);
        }
    }
    added.log("backend servers were added", source, nextOffset);
    leaving.log("backend servers leave", source, nextOffset);
    servingAgain.log("backend servers serve again", source, nextOffset);
    missing.log("entries of backend servers disappeared, the servers are kept for the grace period", source, nextOffset);
    removed.log("backend servers were removed", source, nextOffset);
}

} // namespace flamingosaddle
