#include <flamingosaddle/control/streamregistry.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/hash.h>
#include <flamingosaddle/base/log.h>

#include <boost/asio/co_spawn.hpp>
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

} // namespace

StreamRegistry::StreamRegistry(
    boost::asio::any_io_executor controlExecutor, StreamLogHooks hooks, Directory &directory, Options options)
    : controlExecutor(std::move(controlExecutor))
    , hooks(std::move(hooks))
    , directory(directory)
    , options(std::move(options))
    , backoff(initialRetryDelay, maxRetryDelay, this->options.seed)
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

void StreamRegistry::onDirectoryUpdate()
{
    if (this->directory.config().has_value()) {
        this->origins.setLifetime(streamLifetime(this->directory.config()->objects));
    }
    this->origins.observeServers(this->directory.servers().servers(), RuntimeClock::now());
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
        if (!version.isKnown && isRefreshed && this->versionBeforeRelease(service).isKnown) {
            co_await this->awaitSaves();
            const bool isRefreshedAgain = co_await this->refresh();
            version = this->knownVersion(request, service);
            if (!version.isKnown && isRefreshedAgain) {
                version = this->versionBeforeRelease(service);
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
    bool succeeded = co_await this->directory.readServersNow();
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
