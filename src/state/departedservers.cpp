#include <flamingosaddle/state/departedservers.h>

namespace flamingosaddle
{

void DepartedServers::add(const DepartedServer &server)
{
    this->take(server.id, server.startedAt);
    this->servers.push_back(server);
    this->index[{server.id, server.startedAt}] = std::prev(this->servers.end());
    if (this->servers.size() > maxServers) {
        this->take(this->servers.front().id, this->servers.front().startedAt);
    }
}

std::optional<DepartedServer> DepartedServers::take(const BackendServerId &id, std::uint64_t startedAt)
{
    const auto found = this->index.find({id, startedAt});
    if (found == this->index.end()) {
        return std::nullopt;
    }
    const DepartedServer server = *found->second;
    this->servers.erase(found->second);
    this->index.erase(found);
    return server;
}

void DepartedServers::recordLeaving(const BackendServerId &id, TimePoint sentAt)
{
    if (const Servers::iterator *const start = this->newestStart(id, sentAt)) {
        (*start)->leaving = true;
    }
}

const DepartedServer *DepartedServers::find(const BackendServerId &id, std::uint64_t startedAt) const
{
    const auto found = this->index.find({id, startedAt});
    return found == this->index.end() ? nullptr : &*found->second;
}

std::optional<TimePoint> DepartedServers::lastRegisteredAt(const BackendServerId &id) const
{
    const Servers::iterator *const start = this->newestStart(id, TimePoint::max());
    return start != nullptr ? std::optional((*start)->registeredAt) : std::nullopt;
}

const DepartedServers::Servers::iterator *DepartedServers::newestStart(const BackendServerId &id, TimePoint until) const
{
    const Servers::iterator *newest = nullptr;
    for (auto entry = this->index.lower_bound({id, 0}); entry != this->index.end() && entry->first.id == id; ++entry) {
        const TimePoint registeredAt = entry->second->registeredAt;
        if (registeredAt <= until && (newest == nullptr || registeredAt > (*newest)->registeredAt)) {
            newest = &entry->second;
        }
    }
    return newest;
}

} // namespace flamingosaddle
