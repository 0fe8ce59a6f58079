#include <flamingosaddle/state/versionhistory.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

using nlohmann::json;

constexpr std::int64_t maxUnixMilliseconds = 100'000'000'000'000; // bounds arithmetic on a time that another process wrote

auto invalidRecord()
{
    return fail(ErrorKind::Protocol, "a record of software versions is invalid", "check the versions of the instances");
}

bool isString(const json &value)
{
    return value.is_string();
}

bool isValidEntry(const json &entry)
{
    const bool hasFields = entry.is_object() && entry.contains("service") && entry["service"].is_string()
        && entry.contains("versions") && entry["versions"].is_array() && entry.contains("changedAt")
        && entry["changedAt"].is_number_integer() && entry.contains("epoch") && entry["epoch"].is_number_unsigned();
    return hasFields && std::all_of(entry["versions"].begin(), entry["versions"].end(), isString)
        && (!entry.contains("versionBefore") || entry["versionBefore"].is_string());
}

} // namespace

std::string encodeServiceVersions(const std::vector<ServiceVersions> &services)
{
    json list = json::array();
    for (const ServiceVersions &service : services) {
        json entry = {{"service", service.service.text()}, {"versions", service.versions},
            {"changedAt", service.changedAt.count()}, {"epoch", service.epoch}};
        if (service.versionBefore.has_value()) {
            entry["versionBefore"] = *service.versionBefore;
        }
        list.push_back(std::move(entry));
    }
    return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<std::vector<ServiceVersions>> decodeServiceVersions(std::string_view text)
{
    const json list = json::parse(text, nullptr, false);
    if (!list.is_array()) {
        return invalidRecord();
    }
    std::vector<ServiceVersions> services;
    for (const json &entry : list) {
        const std::int64_t changedAt = isValidEntry(entry) ? entry["changedAt"].get<std::int64_t>() : -1;
        if (changedAt < 0 || changedAt > maxUnixMilliseconds) {
            return invalidRecord();
        }
        ServiceVersions service;
        service.service = ServiceName(entry["service"].get<std::string>());
        service.versions = entry["versions"].get<std::vector<std::string>>();
        service.changedAt = std::chrono::milliseconds(changedAt);
        if (entry.contains("versionBefore")) {
            service.versionBefore = entry["versionBefore"].get<std::string>();
        }
        service.epoch = entry["epoch"].get<std::uint64_t>();
        services.push_back(std::move(service));
    }
    return services;
}

bool VersionHistory::Service::differsFromStore() const
{
    return this->stored.has_value() && !this->versions.empty()
        && !std::equal(
            this->versions.begin(), this->versions.end(), this->stored->versions.begin(), this->stored->versions.end());
}

bool VersionHistory::Service::isUnstored(std::uint64_t epoch) const
{
    if (this->versions.empty()) {
        return false;
    }
    // An instance that saw the change corrects one that did not.
    const bool isMarkedUnobserved
        = this->stored.has_value() && this->stored->versionBefore.has_value() && this->observedChangeAt.has_value();
    return !this->stored.has_value() || this->differsFromStore() || isMarkedUnobserved || this->stored->epoch != epoch;
}

void VersionHistory::configure(std::set<ServiceName> services, Duration streamLifetime)
{
    this->relevantServices = std::move(services);
    this->lifetime = streamLifetime;
}

void VersionHistory::observeServers(const std::map<BackendServerId, RegisteredServer> &servers, TimePoint now)
{
    std::map<ServiceName, std::set<std::string>> current;
    for (const auto &[id, registered] : servers) {
        if (this->relevantServices.contains(registered.server.service)) {
            current[registered.server.service].insert(registered.server.softwareVersion);
        }
    }
    for (auto &[name, versions] : current) {
        Service &service = this->byService[name];
        if (service.versions.empty()) {
            service.firstSeenAt = now;
        } else if (service.versions != versions) {
            service.observedChangeAt = now;
        }
        service.versions = std::move(versions);
    }
}

void VersionHistory::applyStored(
    const std::vector<ServiceVersions> &stored, std::uint64_t epoch, std::chrono::milliseconds unixNow, TimePoint now)
{
    for (auto &[name, service] : this->byService) {
        service.stored.reset();
        service.storedChangeAt.reset();
    }
    for (const ServiceVersions &versions : stored) {
        Service &service = this->byService[versions.service];
        service.stored = versions;
        if (versions.changedAt.count() > 0) {
            // A time in the future comes from a clock that is ahead.
            service.storedChangeAt = now - std::max(unixNow - versions.changedAt, std::chrono::milliseconds(0));
        }
    }
    this->loadedEpoch = epoch;
}

const std::set<ServiceName> &VersionHistory::services() const
{
    return this->relevantServices;
}

bool VersionHistory::isLoaded() const
{
    return this->loadedEpoch.has_value();
}

std::uint64_t VersionHistory::epoch() const
{
    return this->loadedEpoch.value_or(0);
}

bool VersionHistory::hasUnstored() const
{
    return std::any_of(this->relevantServices.begin(), this->relevantServices.end(), [this](const ServiceName &name) {
        const Service *service = this->find(name);
        return service != nullptr && service->isUnstored(this->epoch());
    });
}

std::vector<ServiceVersions> VersionHistory::versionsToStore(std::chrono::milliseconds unixNow, TimePoint now) const
{
    std::vector<ServiceVersions> list;
    for (const ServiceName &name : this->relevantServices) {
        const Service *service = this->find(name);
        if (service == nullptr || (service->versions.empty() && !service->stored.has_value())) {
            continue;
        }
        if (!service->isUnstored(this->epoch())) {
            list.push_back(*service->stored);
            continue;
        }
        ServiceVersions versions;
        versions.service = name;
        versions.versions.assign(service->versions.begin(), service->versions.end());
        if (const std::optional<TimePoint> changedAt = this->changedAt(name)) {
            versions.changedAt = unixNow - std::chrono::duration_cast<std::chrono::milliseconds>(now - *changedAt);
        }
        versions.versionBefore = this->versionBefore(*service);
        versions.epoch = this->epoch();
        list.push_back(std::move(versions));
    }
    return list;
}

std::optional<TimePoint> VersionHistory::changedAt(const ServiceName &name) const
{
    const Service *service = this->find(name);
    if (service == nullptr) {
        return std::nullopt;
    }
    std::optional<TimePoint> latest = std::max(service->observedChangeAt, service->storedChangeAt);
    if (service->differsFromStore()) {
        latest = std::max(latest, std::optional(service->firstSeenAt));
    }
    return latest;
}

std::optional<std::string> VersionHistory::versionBeforeUnobservedRelease(const ServiceName &name, TimePoint now) const
{
    const std::optional<TimePoint> changedAt = this->changedAt(name);
    const bool isRecent = changedAt.has_value() && now < *changedAt + this->lifetime;
    return isRecent ? this->versionBefore(*this->find(name)) : std::nullopt;
}

const VersionHistory::Service *VersionHistory::find(const ServiceName &name) const
{
    const auto found = this->byService.find(name);
    return found == this->byService.end() ? nullptr : &found->second;
}

std::optional<std::string> VersionHistory::versionBefore(const Service &service) const
{
    // A restored store may have lost that an instance saw the release.
    const bool isCurrent = service.stored.has_value() && service.stored->epoch == this->epoch();
    if (!isCurrent || service.observedChangeAt.has_value()) {
        return std::nullopt;
    }
    if (!service.differsFromStore()) {
        // Instances that were lost since may have begun streams that nobody knows, if this one started much later.
        const bool startedWithOthers
            = service.storedChangeAt.has_value() && service.firstSeenAt <= *service.storedChangeAt + commonStartTime;
        return startedWithOthers ? service.stored->versionBefore : std::nullopt;
    }
    const bool wasSteady = !service.storedChangeAt.has_value() || *service.storedChangeAt + this->lifetime <= service.firstSeenAt;
    return wasSteady && service.stored->versions.size() == 1 ? std::optional(service.stored->versions.front()) : std::nullopt;
}

} // namespace flamingosaddle
