#include <flamingosaddle/control/routingsnapshot.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

/** Returns whether the route covers the path: "/book" covers "/book/1" and "/book", but not "/bookings". */
bool covers(const Route &route, std::string_view path)
{
    if (!path.starts_with(route.pathPrefix)) {
        return false;
    }
    return route.pathPrefix.ends_with('/') || path.size() == route.pathPrefix.size() || path[route.pathPrefix.size()] == '/';
}

} // namespace

RoutingSnapshot::RoutingSnapshot(
    std::shared_ptr<const ConfigState> config, std::set<KeyId> tombstones, TimePoint freshUntil, std::set<DataCentre> evacuated)
    : configState(std::move(config))
    , tombstones(std::move(tombstones))
    , freshnessDeadline(freshUntil)
    , evacuatedDataCentres(std::move(evacuated))
{
    for (const auto &[id, key] : this->configState->keys()) {
        this->keysByDigest.emplace(key.value.digest.prefix(), &key.value);
    }
    for (const auto &[id, route] : this->configState->routes()) {
        this->routesByHost[route.value.host].push_back(&route.value);
    }
    for (auto &[host, routes] : this->routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
    for (const auto &[id, account] : this->configState->clientAccounts()) {
        this->classesByAccount.emplace(id, this->configState->classesOf(id));
    }
    std::set<ModelName> served;
    for (const auto &[id, server] : this->configState->backendServers()) {
        served.insert(server.value.models.begin(), server.value.models.end());
    }
    this->modelNames.assign(served.begin(), served.end());
}

const ConfigState &RoutingSnapshot::config() const
{
    return *this->configState;
}

std::uint64_t RoutingSnapshot::offset() const
{
    return this->configState->nextOffset();
}

TimePoint RoutingSnapshot::freshUntil() const
{
    return this->freshnessDeadline;
}

const std::set<DataCentre> &RoutingSnapshot::evacuated() const
{
    return this->evacuatedDataCentres;
}

const ClientKey *RoutingSnapshot::findKey(const KeyDigest &digest) const
{
    const auto [first, last] = this->keysByDigest.equal_range(digest.prefix());
    for (auto entry = first; entry != last; ++entry) {
        const ClientKey &key = *entry->second;
        if (key.digest.equals(digest) && !this->isWithdrawn(key.id)) {
            return &key;
        }
    }
    return nullptr;
}

bool RoutingSnapshot::isWithdrawn(const KeyId &id) const
{
    return this->tombstones.contains(id) || this->configState->isWithdrawn(id);
}

const Route *RoutingSnapshot::findRoute(std::string_view host, std::string_view path) const
{
    const Route *best = nullptr;
    for (const std::string_view name : {host, std::string_view()}) {
        const auto routes = this->routesByHost.find(name);
        if (routes == this->routesByHost.end()) {
            continue;
        }
        const auto found = std::find_if(routes->second.begin(), routes->second.end(), [path](const Route *route) {
            return covers(*route, path);
        });
        if (found != routes->second.end() && (best == nullptr || (*found)->pathPrefix.size() > best->pathPrefix.size())) {
            best = *found;
        }
    }
    return best;
}

const std::vector<RequestClass> *RoutingSnapshot::classesOf(const ClientAccountId &id) const
{
    const auto found = this->classesByAccount.find(id);
    return found == this->classesByAccount.end() ? nullptr : &found->second;
}

const std::vector<ModelName> &RoutingSnapshot::models() const
{
    return this->modelNames;
}

std::vector<BackendServer> RoutingSnapshot::backendServers() const
{
    return backendServersOf(*this->configState);
}

std::vector<BackendServer> backendServersOf(const ConfigState &state)
{
    std::vector<BackendServer> servers;
    servers.reserve(state.backendServers().size());
    for (const auto &[id, server] : state.backendServers()) {
        servers.push_back(server.value);
    }
    return servers;
}

void SharedRoutingSnapshot::publish(std::shared_ptr<const RoutingSnapshot> snapshot)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->newest = std::move(snapshot);
}

std::shared_ptr<const RoutingSnapshot> SharedRoutingSnapshot::current() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->newest;
}

} // namespace flamingosaddle
