#include <flamingosaddle/state/streamorigins.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <unordered_set>

namespace flamingosaddle
{

namespace
{

using nlohmann::json;

// Streams are saved for so much longer than others rely on it, because the clocks of instances differ.
constexpr Duration clockMargin = std::chrono::seconds(5);

constexpr std::int64_t maxUnixMilliseconds = 100'000'000'000'000; // bounds arithmetic on a time that another process wrote

auto invalidRecord()
{
    return fail(ErrorKind::Protocol, "a record of the origins of streams is invalid", "check the versions of the instances");
}

} // namespace

std::string encodeStreamOrigins(const std::vector<StreamOriginRecord> &records)
{
    json list = json::array();
    for (const StreamOriginRecord &record : records) {
        list.push_back({{"service", record.origin.service.text()}, {"version", record.origin.softwareVersion},
            {"mixedAt", record.mixedAt.count()}, {"streams", record.streams}});
    }
    return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<std::vector<StreamOriginRecord>> decodeStreamOrigins(std::string_view text)
{
    const json list = json::parse(text, nullptr, false);
    if (!list.is_array()) {
        return invalidRecord();
    }
    std::vector<StreamOriginRecord> records;
    for (const json &entry : list) {
        const bool isValid = entry.is_object() && entry.contains("service") && entry["service"].is_string()
            && entry.contains("version") && entry["version"].is_string() && entry.contains("mixedAt")
            && entry["mixedAt"].is_number_integer() && entry.contains("streams") && entry["streams"].is_array()
            && std::all_of(entry["streams"].begin(), entry["streams"].end(), [](const json &stream) {
                   return stream.is_number_unsigned();
               });
        const std::int64_t mixedAt = isValid ? entry["mixedAt"].get<std::int64_t>() : -1;
        if (mixedAt < 0 || mixedAt > maxUnixMilliseconds) {
            return invalidRecord();
        }
        records.push_back({{ServiceName(entry["service"].get<std::string>()), entry["version"].get<std::string>()},
            std::chrono::milliseconds(mixedAt), entry["streams"].get<std::vector<std::uint64_t>>()});
    }
    return records;
}

bool StreamOrigins::Service::isMixed(Duration lifetime, TimePoint now) const
{
    return this->versions.size() > 1 || (this->mixedAt.has_value() && now < *this->mixedAt + lifetime);
}

void StreamOrigins::setLifetime(Duration streamLifetime)
{
    this->lifetime = streamLifetime;
}

void StreamOrigins::observeServers(const std::map<BackendServerId, RegisteredServer> &servers, TimePoint now)
{
    std::map<ServiceName, std::map<std::string, std::uint64_t>> current; // with the first start of each version's servers
    for (const auto &[id, registered] : servers) {
        std::map<std::string, std::uint64_t> &firstStarts = current[registered.server.service];
        const auto known = firstStarts.emplace(registered.server.softwareVersion, registered.startedAt).first;
        known->second = std::min(known->second, registered.startedAt);
    }
    for (const auto &[name, firstStarts] : current) {
        Service &service = this->services[name];
        this->observeRelease(service, firstStarts, now);
        std::set<std::string> versions;
        for (const auto &[version, startedAt] : firstStarts) {
            versions.insert(version);
        }
        const bool hasChanged = !service.versions.empty() && service.versions != versions;
        if (hasChanged || versions.size() > 1) {
            service.mixedAt = now;
        }
        if (hasChanged) {
            service.changedAt = now;
        }
        service.versions = std::move(versions);
    }
}

void StreamOrigins::observeRelease(Service &service, const std::map<std::string, std::uint64_t> &firstStarts, TimePoint now) const
{
    const bool hasNewVersion = std::any_of(firstStarts.begin(), firstStarts.end(), [&service](const auto &entry) {
        return !service.versions.contains(entry.first);
    });
    if (hasNewVersion && !service.versions.empty()) {
        const bool wasSteady
            = service.versions.size() == 1 && (!service.changedAt.has_value() || now >= *service.changedAt + this->lifetime);
        service.release.reset();
        if (wasSteady) {
            service.release = {*service.versions.begin(), std::numeric_limits<std::uint64_t>::max(), now};
        }
    }
    if (service.release.has_value()) {
        for (const auto &[version, startedAt] : firstStarts) {
            if (version != service.release->versionBefore) {
                service.release->firstStartedAt = std::min(service.release->firstStartedAt, startedAt);
            }
        }
    }
}

void StreamOrigins::recordVersionChange(const ServiceName &name, TimePoint changedAt)
{
    Service &service = this->services[name];
    service.mixedAt = std::max(service.mixedAt.value_or(changedAt), changedAt);
}

void StreamOrigins::recordStart(std::uint64_t stream, StreamOrigin origin, TimePoint now)
{
    this->add(stream, std::move(origin), now);
    this->unsaved.push_back(stream);
}

void StreamOrigins::add(std::uint64_t stream, StreamOrigin origin, TimePoint now)
{
    this->streams.insert_or_assign(stream, std::move(origin));
    this->byAge.emplace_back(now, stream);
    if (this->byAge.size() > maxStreams) {
        this->streams.erase(this->byAge.front().second);
        this->byAge.pop_front();
    }
}

void StreamOrigins::recordCompletion(std::uint64_t stream)
{
    this->streams.erase(stream);
}

void StreamOrigins::applyRecords(const std::vector<StreamOriginRecord> &records, std::chrono::milliseconds unixNow, TimePoint now)
{
    for (const StreamOriginRecord &record : records) {
        // A time in the future comes from a clock that is ahead.
        const Duration age = std::max(unixNow - record.mixedAt, std::chrono::milliseconds(0));
        Service &service = this->services.try_emplace(record.origin.service).first->second;
        const TimePoint mixedAt = now - std::min(age, this->lifetime + clockMargin);
        service.mixedAt = std::max(service.mixedAt.value_or(TimePoint::min()), mixedAt);
        TimePoint &recordedAt = service.recordedVersions.try_emplace(record.origin.softwareVersion, mixedAt).first->second;
        recordedAt = std::max(recordedAt, mixedAt);
        for (const std::uint64_t stream : record.streams) {
            if (!this->streams.contains(stream)) {
                this->add(stream, record.origin, now);
            }
        }
    }
}

std::vector<StreamOriginRecord> StreamOrigins::takeUnsaved(std::chrono::milliseconds unixNow, TimePoint now)
{
    this->repeatSaves(now - saveRepetition);
    std::map<std::pair<ServiceName, std::string>, StreamOriginRecord> records;
    std::erase_if(this->unsaved, [&](std::uint64_t id) {
        const auto stream = this->streams.find(id);
        if (stream == this->streams.end()) {
            return true;
        }
        const StreamOrigin &origin = stream->second;
        const auto service = this->services.find(origin.service);
        if (service == this->services.end() || !service->second.isMixed(this->lifetime + clockMargin, now)) {
            return false;
        }
        StreamOriginRecord &record = records[{origin.service, origin.softwareVersion}];
        record.origin = origin;
        const Duration sinceMixed = service->second.versions.size() > 1 ? Duration::zero() : now - *service->second.mixedAt;
        record.mixedAt = unixNow - std::chrono::duration_cast<std::chrono::milliseconds>(sinceMixed);
        record.streams.push_back(id);
        this->saved.emplace_back(now, id);
        return true;
    });
    std::vector<StreamOriginRecord> taken;
    taken.reserve(records.size());
    for (auto &[key, record] : records) {
        taken.push_back(std::move(record));
    }
    return taken;
}

void StreamOrigins::restoreUnsaved(const std::vector<StreamOriginRecord> &records)
{
    std::unordered_set<std::uint64_t> ids;
    for (const StreamOriginRecord &record : records) {
        ids.insert(record.streams.begin(), record.streams.end());
    }
    std::erase_if(this->saved, [&ids](const auto &entry) {
        return ids.contains(entry.second);
    });
    this->unsaved.insert(this->unsaved.end(), ids.begin(), ids.end());
}

void StreamOrigins::forgetSaves()
{
    this->repeatSaves(TimePoint::max());
}

void StreamOrigins::repeatSaves(TimePoint savedUntil)
{
    while (!this->saved.empty() && this->saved.front().first <= savedUntil) {
        this->unsaved.push_back(this->saved.front().second);
        this->saved.pop_front();
    }
}

void StreamOrigins::expire(TimePoint now)
{
    while (!this->byAge.empty() && this->byAge.front().first + this->lifetime <= now) {
        this->streams.erase(this->byAge.front().second);
        this->byAge.pop_front();
    }
}

Duration StreamOrigins::streamLifetime() const
{
    return this->lifetime;
}

const StreamOrigin *StreamOrigins::find(std::uint64_t stream) const
{
    const auto found = this->streams.find(stream);
    return found == this->streams.end() ? nullptr : &found->second;
}

std::optional<std::string> StreamOrigins::soleVersion(const ServiceName &service, TimePoint now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || found->second.versions.empty() || found->second.isMixed(this->lifetime, now)) {
        return std::nullopt;
    }
    return *found->second.versions.begin();
}

const ServiceRelease *StreamOrigins::release(const ServiceName &name, TimePoint now) const
{
    const auto found = this->services.find(name);
    if (found == this->services.end() || !found->second.release.has_value() || !found->second.isMixed(this->lifetime, now)) {
        return nullptr;
    }
    const Service &service = found->second;
    // A stream of a version that this instance did not see may have begun before the instance did.
    const bool hasOtherVersion = std::any_of(
        service.recordedVersions.begin(), service.recordedVersions.end(), [&service, this, now](const auto &recorded) {
            const bool isSeen = recorded.first == service.release->versionBefore || service.versions.contains(recorded.first);
            return !isSeen && now < recorded.second + this->lifetime;
        });
    return hasOtherVersion ? nullptr : &*service.release;
}

} // namespace flamingosaddle
