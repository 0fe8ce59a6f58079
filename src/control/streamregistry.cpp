#include <flamingosaddle/control/streamregistry.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/hash.h>
#include <flamingosaddle/base/log.h>
#include <flamingosaddle/platform/storeoffset.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds initialRetryDelay(100);
constexpr std::chrono::seconds maxRetryDelay(2);
constexpr std::chrono::milliseconds refreshPollInterval(2); // while another resumption refreshes
// A stream lasts for its first request and its last resumption, each up to the time limit.
constexpr int requestsPerStream = 2;

/** Returns the longest time from the begin of a resumable stream to its last resumption. */
Duration streamLifetime(const ConfigObjects &objects)
{
    Duration longest = Duration::zero();
    for (const Route &route : objects.routes) {
        if (route.resumable && route.requestClass.has_value()) {
            longest = std::max<Duration>(longest, route.requestClass->deadline);
        }
    }
    return requestsPerStream * longest;
}

std::set<ServiceName> resumableServices(const ConfigObjects &objects)
{
    std::set<ServiceName> services;
    for (const Route &route : objects.routes) {
        if (!route.resumable) {
            continue;
        }
        for (const ServiceWeight &part : route.split) {
            services.insert(part.service);
        }
        if (route.split.empty()) {
            services.insert(route.service);
        }
    }
    return services;
}

} // namespace

StreamRegistry::StreamRegistry(
    boost::asio::any_io_executor controlExecutor, StreamLogHooks hooks, Directory &directory, Options options)
    : controlExecutor(std::move(controlExecutor))
    , hooks(std::move(hooks))
    , directory(directory)
    , options(std::move(options))
    , backoff(initialRetryDelay, maxRetryDelay, this->options.seed)
    , versionsBackoff(initialRetryDelay, maxRetryDelay, this->options.seed)
{
}

boost::asio::awaitable<void> StreamRegistry::run()
{
    while (!this->stopped) {
        co_await delay(this->saveInterval());
        this->origins.expire(RuntimeClock::now());
        co_await this->saveUnsaved();
    }
}

boost::asio::awaitable<void> StreamRegistry::runVersions()
{
    while (!this->stopped) {
        co_await delay(this->saveInterval());
        co_await this->followVersions();
    }
}

void StreamRegistry::stop()
{
    this->stopped = true;
}

boost::asio::awaitable<void> StreamRegistry::flush()
{
    this->origins.forgetSaves();
    co_await this->saveUnsaved();
}

boost::asio::awaitable<void> StreamRegistry::saveUnsaved()
{
    const std::vector<StreamOriginRecord> unsaved = this->origins.takeUnsaved(this->options.unixTime(), RuntimeClock::now());
    if (unsaved.empty()) {
        co_return;
    }
    const Result<void> appended = co_await this->hooks.append(encodeStreamOrigins(unsaved));
    if (appended.has_value()) {
        this->backoff.reset();
        co_return;
    }
    this->origins.restoreUnsaved(unsaved);
    logEvent(LogLevel::Warning, "control", "the origins of streams were not saved", {{"reason", appended.error().text()}});
    if (!this->stopped) {
        co_await delay(this->backoff.next());
    }
}

boost::asio::awaitable<void> StreamRegistry::followVersions()
{
    if (this->stopped || this->versions.services().empty() || !this->hooks.readVersions) {
        co_return;
    }
    const bool isRestored = this->directory.storeEpoch() > this->versions.epoch();
    Result<void> result = success();
    if (!this->versions.isLoaded() || (isRestored && this->mayUpdateVersions())) {
        result = co_await this->loadVersions();
    }
    if (result.has_value() && this->mayUpdateVersions() && this->versions.hasUnstored()) {
        result = co_await this->updateVersions();
    }
    if (result.has_error() && !this->stopped) {
        logEvent(LogLevel::Warning, "control", "the software versions of services were not read or stored",
            {{"reason", result.error().text()}});
        co_await delay(this->versionsBackoff.next());
    } else {
        this->versionsBackoff.reset();
    }
}

bool StreamRegistry::mayUpdateVersions() const
{
    const bool isRelay = !this->options.isRelay || this->options.isRelay();
    return isRelay && RuntimeClock::now() >= this->startedAt + this->options.initialVersionsDelay;
}

void StreamRegistry::updateVersionsSoon()
{
    if (this->stopped || this->isUpdatingVersions || !this->versions.isLoaded() || !this->versions.hasUnstored()
        || !this->mayUpdateVersions()) {
        return;
    }
    // runVersions() tries again if this fails.
    boost::asio::co_spawn(this->controlExecutor, this->tryUpdateVersions(), boost::asio::detached);
}

boost::asio::awaitable<void> StreamRegistry::tryUpdateVersions()
{
    const Result<void> updated = co_await this->updateVersions();
    if (updated.has_error()) {
        logEvent(
            LogLevel::Info, "control", "a change of software versions is not stored yet", {{"reason", updated.error().text()}});
    }
}

boost::asio::awaitable<Result<void>> StreamRegistry::loadVersions()
{
    const Result<StoredVersions> stored = co_await this->hooks.readVersions();
    if (stored.has_error()) {
        co_return fail(stored.error());
    }
    std::vector<ServiceVersions> services;
    if (stored.value().record.has_value()) {
        Result<std::vector<ServiceVersions>> decoded = decodeServiceVersions(*stored.value().record);
        if (decoded.has_error()) {
            logEvent(LogLevel::Warning, "control", "skipped a record of software versions", {{"reason", decoded.error().text()}});
        } else {
            services = std::move(decoded.value());
        }
    }
    this->versionsEndOffset = stored.value().endOffset;
    this->versions.applyStored(services, epochOf(stored.value().endOffset), this->options.unixTime(), RuntimeClock::now());
    this->applyVersionChanges();
    co_return success();
}

boost::asio::awaitable<Result<void>> StreamRegistry::updateVersions()
{
    if (this->isUpdatingVersions) {
        co_return success();
    }
    this->isUpdatingVersions = true;
    Result<void> result = co_await this->loadVersions();
    // The servers' entries have to be newer than the versions that are replaced.
    if (result.has_value() && this->versions.hasUnstored() && co_await this->directory.readServersNow()
        && this->versions.hasUnstored()) {
        const std::vector<ServiceVersions> services
            = this->versions.versionsToStore(this->options.unixTime(), RuntimeClock::now());
        result = co_await this->hooks.appendVersions(encodeServiceVersions(services), this->versionsEndOffset);
        const bool isOvertaken = result.has_error() && result.error().kind() == ErrorKind::Conflict;
        if (result.has_value() || isOvertaken) {
            result = co_await this->loadVersions();
        }
    }
    this->isUpdatingVersions = false;
    co_return result;
}

void StreamRegistry::applyVersionChanges()
{
    for (const ServiceName &service : this->versions.services()) {
        if (const std::optional<TimePoint> changedAt = this->versions.changedAt(service)) {
            this->origins.recordVersionChange(service, *changedAt);
        }
    }
}

void StreamRegistry::onDirectoryUpdate()
{
    const std::map<BackendServerId, RegisteredServer> &servers = this->directory.servers().servers();
    if (this->directory.config().has_value()) {
        const ConfigObjects &objects = this->directory.config()->objects;
        this->origins.setLifetime(streamLifetime(objects));
        this->versions.configure(resumableServices(objects), streamLifetime(objects));
    }
    this->origins.observeServers(servers, RuntimeClock::now());
    this->versions.observeServers(servers, RuntimeClock::now());
    this->applyVersionChanges();
    this->updateVersionsSoon();
}

void StreamRegistry::setInstanceCount(std::size_t count)
{
    this->instanceCount = count;
}

void StreamRegistry::recordStart(const std::string &request, const ServiceName &service, const std::string &softwareVersion)
{
    this->origins.recordStart(hash64(request), {service, softwareVersion}, RuntimeClock::now());
}

void StreamRegistry::recordCompletion(const std::string &request)
{
    this->origins.recordCompletion(hash64(request));
}

StreamVersionHook StreamRegistry::hook()
{
    return [this](std::string request, ServiceName service) -> boost::asio::awaitable<StreamVersion> {
        StreamVersion version = co_await boost::asio::co_spawn(
            this->controlExecutor, this->versionOf(std::move(request), std::move(service)), boost::asio::use_awaitable);
        co_return version;
    };
}

boost::asio::awaitable<StreamVersion> StreamRegistry::versionOf(std::string request, ServiceName service)
{
    StreamVersion version = this->knownVersion(request, service);
    if (!version.isKnown) {
        // The list of servers may lack a version that served before the stream broke off.
        const bool isRefreshed = co_await this->refresh();
        version = this->knownVersion(request, service);
        if (!version.isKnown && isRefreshed) {
            version = this->soleVersion(service);
        }
        if (!version.isKnown && isRefreshed && this->versionOfUnsaved(service).isKnown) {
            co_await this->awaitSaves();
            const bool isRefreshedAgain = co_await this->refresh();
            version = this->knownVersion(request, service);
            if (!version.isKnown && isRefreshedAgain) {
                version = this->versionOfUnsaved(service);
            }
        }
    }
    logEvent(version.isKnown ? LogLevel::Info : LogLevel::Warning, "control",
        version.isKnown ? "a stream is resumed at its software version" : "the software version of a stream is not known",
        {{"began_as", request}, {"service", service.text()}, {"version", version.text}, {"source", version.source}});
    co_return version;
}

StreamVersion StreamRegistry::knownVersion(const std::string &request, const ServiceName &service) const
{
    const StreamOrigin *origin = request.empty() ? nullptr : this->origins.find(hash64(request));
    if (origin == nullptr || origin->service != service) {
        return {};
    }
    return {true, origin->softwareVersion, "record"};
}

StreamVersion StreamRegistry::soleVersion(const ServiceName &service) const
{
    const std::optional<std::string> version = this->origins.soleVersion(service, RuntimeClock::now());
    if (!version.has_value()) {
        return {};
    }
    return {true, *version, "only version"};
}

StreamVersion StreamRegistry::versionBeforeRelease(const ServiceName &service) const
{
    const TimePoint now = RuntimeClock::now();
    const ServiceRelease *release = this->origins.release(service, now);
    const std::optional<TimePoint> loss = this->options.latestLossOfContact ? this->options.latestLossOfContact() : std::nullopt;
    if (release == nullptr || !loss.has_value() || *loss < this->startedAt || *loss < now - this->origins.streamLifetime()) {
        return {};
    }
    // The server's clock may be wrong, but it did not start after it was seen.
    const auto unixLoss = this->options.unixTime() - std::chrono::ceil<std::chrono::milliseconds>(now - *loss);
    if (*loss >= release->observedAt || unixLoss >= std::chrono::milliseconds(release->firstStartedAt)) {
        return {};
    }
    return {true, release->versionBefore, "version before the release"};
}

StreamVersion StreamRegistry::versionBeforeUnobservedRelease(const ServiceName &service) const
{
    const std::optional<std::string> version = this->versions.versionBeforeUnobservedRelease(service, RuntimeClock::now());
    const std::optional<TimePoint> loss = this->options.latestLossOfContact ? this->options.latestLossOfContact() : std::nullopt;
    if (!version.has_value() || (loss.has_value() && *loss >= this->startedAt)) {
        return {};
    }
    return {true, *version, "version before a release that no instance saw"};
}

StreamVersion StreamRegistry::versionOfUnsaved(const ServiceName &service) const
{
    const StreamVersion version = this->versionBeforeRelease(service);
    return version.isKnown ? version : this->versionBeforeUnobservedRelease(service);
}

boost::asio::awaitable<void> StreamRegistry::awaitSaves()
{
    co_await delay(this->saveInterval() + this->options.flushInterval);
}

Duration StreamRegistry::saveInterval() const
{
    return this->options.flushInterval + this->instanceCount * this->options.flushIntervalPerInstance;
}

boost::asio::awaitable<bool> StreamRegistry::refresh()
{
    const TimePoint requestedAt = RuntimeClock::now();
    while (this->isRefreshing) {
        co_await delay(refreshPollInterval);
    }
    if (this->lastRefresh.has_value() && this->lastRefresh->startedAt >= requestedAt) {
        co_return this->lastRefresh->hasSucceeded;
    }
    this->isRefreshing = true;
    const TimePoint startedAt = RuntimeClock::now();
    bool succeeded = true;
    if (this->hooks.readVersions && !this->versions.services().empty()) {
        succeeded = (co_await this->loadVersions()).has_value();
    }
    if (succeeded) {
        // After the versions in the store, so that a release which these lack is one that nobody has seen.
        succeeded = co_await this->directory.readServersNow();
    }
    if (succeeded) {
        succeeded = co_await this->readLog();
    }
    this->lastRefresh = {startedAt, succeeded};
    this->isRefreshing = false;
    co_return succeeded;
}

boost::asio::awaitable<bool> StreamRegistry::readLog()
{
    while (!this->stopped) {
        const Result<StreamLogBatch> batch = co_await this->hooks.read(this->nextOffset);
        if (batch.has_error()) {
            const bool wasTrimmed = batch.error().kind() == ErrorKind::Trimmed && this->nextOffset.has_value();
            if (!wasTrimmed) {
                co_return false;
            }
            this->nextOffset.reset();
            continue;
        }
        for (const std::string &text : batch.value().records) {
            const Result<std::vector<StreamOriginRecord>> records = decodeStreamOrigins(text);
            if (records.has_value()) {
                this->origins.applyRecords(records.value(), this->options.unixTime(), RuntimeClock::now());
            } else {
                logEvent(LogLevel::Warning, "control", "skipped a record of streams", {{"reason", records.error().text()}});
            }
        }
        this->nextOffset = batch.value().nextOffset;
        if (batch.value().isAtEnd) {
            co_return true;
        }
    }
    co_return false;
}

} // namespace flamingosaddle
