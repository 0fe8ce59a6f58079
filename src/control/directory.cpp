#include <flamingosaddle/control/directory.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>
#include <flamingosaddle/control/serverlistlog.h>
#include <flamingosaddle/platform/storeoffset.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds initialRetryDelay(50);
constexpr Duration confirmationReportInterval = std::chrono::milliseconds(300); // between reports of how new entries are
constexpr std::chrono::milliseconds maxRetryDelay(400); // bounds the delay until a relay detects a recovered store
// Instances that are no relays learn from relays that the store is back, so they need not look themselves as often.
constexpr std::chrono::milliseconds maxFollowerRetryDelay(1500);
constexpr std::chrono::milliseconds relayCheckInterval(100); // between two looks whether a relay has reached the store again

} // namespace

Directory::Directory(DirectoryHooks hooks, DirectoryRelayHooks relayHooks, DirectoryOptions options,
    std::function<void()> onUpdate, ConfirmationHook onServersConfirmed)
    : hooks(std::move(hooks))
    , relayHooks(std::move(relayHooks))
    , options(options)
    , onUpdate(std::move(onUpdate))
    , onServersConfirmed(std::move(onServersConfirmed))
    , configBackoff(initialRetryDelay, maxRetryDelay, options.seed)
    , serverBackoff(initialRetryDelay, maxRetryDelay, options.seed + 1)
    , followerConfigBackoff(initialRetryDelay, maxFollowerRetryDelay, options.seed + 2)
    , followerServerBackoff(initialRetryDelay, maxFollowerRetryDelay, options.seed + 3)
    , serverTable(options.servers)
    , relayedConfig(options.configStalenessLimit, options.relaySilenceLimit)
    , relayedServers(options.serverStalenessLimit, options.relaySilenceLimit)
{
}

boost::asio::awaitable<void> Directory::runConfig()
{
    while (!this->stopped) {
        const TimePoint now = RuntimeClock::now();
        this->updateReliance(!this->relayHooks.isRelay() && this->relayedConfig.isFresh(now));
        if (!this->isConfigReadDue(now)) {
            co_await this->waitForReadDue(this->configWakeTimer, this->relayedConfig.freshUntil());
            continue;
        }
        const bool succeeded = co_await this->readConfigOnce();
        if (succeeded != this->isConfigStoreReachable) {
            this->isConfigStoreReachable = succeeded;
            logEvent(succeeded ? LogLevel::Info : LogLevel::Warning, "control",
                succeeded ? "the store of the configuration answers" : "the store of the configuration does not answer");
        }
        if (succeeded) {
            this->configBackoff.reset();
            this->followerConfigBackoff.reset();
        } else {
            co_await this->waitForRetry(this->configBackoff.next(), this->followerConfigBackoff.next(), this->relayedConfig);
        }
    }
}

boost::asio::awaitable<void> Directory::runServers()
{
    while (!this->stopped) {
        if (!this->isServerReadDue(RuntimeClock::now())) {
            co_await this->waitForReadDue(this->serversWakeTimer, this->nextServerReadDue());
            continue;
        }
        const bool succeeded = co_await this->readServersOnce(this->serverReadWait());
        this->recordServerStoreReachable(succeeded);
        if (succeeded) {
            this->serverBackoff.reset();
            this->followerServerBackoff.reset();
            co_await delay(this->options.serverPollPause);
        } else {
            co_await this->waitForRetry(this->serverBackoff.next(), this->followerServerBackoff.next(), this->relayedServers);
        }
    }
}

boost::asio::awaitable<void> Directory::runServerExpiry()
{
    while (!this->stopped) {
        this->expireServers();
        co_await this->waitUntil(this->expiryWakeTimer, this->serverTable.nextExpiry().value_or(TimePoint::max()));
    }
}

void Directory::recordServerStoreReachable(bool reachable)
{
    if (reachable != this->isServerStoreReachable && !this->stopped) {
        this->isServerStoreReachable = reachable;
        logEvent(reachable ? LogLevel::Info : LogLevel::Warning, "control",
            reachable ? "the store of the servers' entries answers" : "the store of the servers' entries does not answer",
            {{"next_offset", std::to_string(this->nextServersOffset.value_or(0))}});
    }
}

void Directory::stop()
{
    this->stopped = true;
    this->wakeReaders();
    this->wakeServerExpiry();
}

bool Directory::isConfigReadDue(TimePoint now) const
{
    const bool isBehind = !this->nextConfigOffset.has_value() || this->relayedConfig.logEnd() > *this->nextConfigOffset;
    return isBehind || this->relayHooks.isRelay() || !this->relayedConfig.isFresh(now);
}

bool Directory::isServerReadDue(TimePoint now) const
{
    return !this->nextServersOffset.has_value() || this->relayHooks.isRelay() || now >= this->nextServerReadDue();
}

TimePoint Directory::nextServerReadDue() const
{
    const TimePoint freshUntil = this->relayedServers.freshUntil();
    return this->laggingSince.has_value() ? std::min(freshUntil, *this->laggingSince + this->options.lagLimit) : freshUntil;
}

void Directory::advanceServersOffset(std::uint64_t next)
{
    this->nextServersOffset = next;
    this->serversRequestedAt.reset();
    if (next >= this->relayedServers.logEnd()) {
        this->laggingSince.reset();
    }
}

void Directory::updateReliance(bool relies)
{
    if (relies != this->reliesOnRelays) {
        this->reliesOnRelays = relies;
        logEvent(LogLevel::Info, "control", relies ? "relies on relays for the store" : "reads the store itself",
            {{"config_next", std::to_string(this->nextConfigOffset.value_or(0))}});
    }
}

boost::asio::awaitable<void> Directory::waitForRetry(Duration relayDelay, Duration followerDelay, const RelayedTopic &relayed)
{
    const TimePoint failedAt = RuntimeClock::now();
    co_await delay(relayDelay);
    const auto mustWait = [this, &relayed, until = failedAt + followerDelay]() {
        const TimePoint now = RuntimeClock::now();
        return !this->stopped && !this->relayHooks.isRelay() && now < until && !relayed.isFresh(now);
    };
    while (mustWait()) {
        co_await delay(relayCheckInterval);
    }
}

boost::asio::awaitable<void> Directory::waitForReadDue(std::shared_ptr<Timer> &timer, TimePoint deadline)
{
    // A change of this instance's role as a relay is not signalled, so it is checked at this interval.
    co_await this->waitUntil(timer, std::min(deadline, RuntimeClock::now() + this->options.lagLimit));
}

boost::asio::awaitable<void> Directory::waitUntil(std::shared_ptr<Timer> &timer, TimePoint deadline)
{
    const auto wake = std::make_shared<Timer>(co_await boost::asio::this_coro::executor, deadline);
    timer = wake;
    boost::system::error_code ignored;
    co_await wake->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    timer.reset();
}

void Directory::wakeReaders()
{
    for (const std::shared_ptr<Timer> &timer : {this->configWakeTimer, this->serversWakeTimer}) {
        if (timer) {
            timer->cancel();
        }
    }
}

void Directory::wakeServerExpiry()
{
    if (this->expiryWakeTimer) {
        this->expiryWakeTimer->cancel();
    }
}

void Directory::applyPeerProgress(
    const Endpoint &peer, bool isSameDataCentre, const StoreProgress &progress, TimePoint sentAt, TimePoint now)
{
    if (progress.config.has_value()) {
        this->relayedConfig.recordProgress(*progress.config, sentAt, now);
        this->adoptRelayedConfirmation();
    }
    if (progress.servers.has_value()) {
        this->relayedServers.recordProgress(*progress.servers, sentAt, now);
        if (this->relayedServers.isFresh(now)) {
            this->serverTable.onStoreRecovered(now);
            this->wakeServerExpiry();
        }
        this->requestMissingServers(peer, isSameDataCentre, *progress.servers, now);
        this->reportServersConfirmed(now);
    }
    if (this->isConfigReadDue(now)) {
        this->wakeReaders();
    }
}

void Directory::requestMissingServers(const Endpoint &peer, bool isSameDataCentre, const TopicProgress &progress, TimePoint now)
{
    if (!this->nextServersOffset.has_value() || progress.nextOffset <= *this->nextServersOffset || this->relayHooks.isRelay()) {
        return;
    }
    if (!this->laggingSince.has_value()) {
        this->laggingSince = now;
    }
    const bool isRequestPending
        = this->serversRequestedAt.has_value() && now < *this->serversRequestedAt + this->options.lagLimit / 2;
    if (isSameDataCentre && !isRequestPending) {
        this->serversRequestedAt = now;
        this->relayHooks.requestServers(peer, *this->nextServersOffset);
    }
}

void Directory::adoptRelayedConfirmation()
{
    if (!this->nextConfigOffset.has_value()) {
        return;
    }
    const std::optional<TimePoint> relayed = this->relayedConfig.confirmedAt(*this->nextConfigOffset);
    if (relayed.has_value() && (!this->configConfirmedAt.has_value() || *relayed > *this->configConfirmedAt)) {
        this->configConfirmedAt = relayed;
        this->onUpdate();
    }
}

void Directory::applyRelayedServers(const ServersMessage &relayed)
{
    const bool isContiguous = relayed.isComplete || relayed.fromOffset <= this->nextServersOffset.value_or(0);
    if (!this->nextServersOffset.has_value() || !isContiguous || relayed.nextOffset <= *this->nextServersOffset) {
        return;
    }
    const Duration grace = std::min<std::chrono::milliseconds>(
        relayed.gracePeriod, std::chrono::ceil<std::chrono::milliseconds>(this->options.servers.gracePeriod));
    if (grace > Duration::zero()) {
        this->serverTable.extendGraceUntil(RuntimeClock::now() + grace);
    }
    this->batches.clear();
    this->advanceServersOffset(relayed.nextOffset);
    this->applyServers({relayed.nextOffset, relayed.isComplete, relayed.changes}, "relay");
    this->reportServersConfirmed(RuntimeClock::now());
}

void Directory::recordServerLeaving(const BackendServerId &id, TimePoint sentAt)
{
    const ServerListLog log(this->serverTable, {ServerChange{id, std::nullopt}}, false);
    if (this->serverTable.recordLeaving(id, sentAt)) {
        log.logChanges(this->serverTable, "response", this->nextServersOffset.value_or(0));
        this->publishState();
    }
}

StoreProgress Directory::progress() const
{
    const TimePoint now = RuntimeClock::now();
    const auto ageOf = [now](TimePoint confirmed) {
        // Rounded up: the reported age may be too long, but never too short.
        return std::chrono::ceil<std::chrono::milliseconds>(now - confirmed);
    };
    StoreProgress progress;
    if (this->relayHooks.isRelay() && this->nextConfigOffset.has_value() && this->ownConfigConfirmedAt.has_value()) {
        progress.config = TopicProgress{*this->nextConfigOffset, ageOf(*this->ownConfigConfirmedAt)};
    }
    if (this->relayHooks.isRelay() && this->nextServersOffset.has_value() && this->ownServersConfirmedAt.has_value()) {
        progress.servers = TopicProgress{*this->nextServersOffset, ageOf(*this->ownServersConfirmedAt)};
    }
    return progress;
}

ServersMessage Directory::serversSince(std::uint64_t from) const
{
    const TimePoint now = RuntimeClock::now();
    ServersMessage relayed;
    relayed.nextOffset = this->nextServersOffset.value_or(0);
    relayed.gracePeriod = std::chrono::ceil<std::chrono::milliseconds>(this->serverTable.remainingGrace(now));
    const bool isRetained = !this->batches.empty() && this->batches.front().fromOffset <= from;
    if (isRetained) {
        relayed.fromOffset = from;
        for (const Batch &batch : this->batches) {
            if (batch.nextOffset > from) {
                relayed.changes.insert(relayed.changes.end(), batch.changes.begin(), batch.changes.end());
                const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - batch.readAt);
                for (auto change = relayed.changes.end() - static_cast<std::ptrdiff_t>(batch.changes.size());
                     change != relayed.changes.end(); ++change) {
                    if (change->server.has_value()) {
                        change->server->coldFor = std::max(change->server->coldFor - age, std::chrono::milliseconds(0));
                    }
                }
            }
        }
        return relayed;
    }
    relayed.isComplete = true;
    for (const auto &[id, registered] : this->serverTable.servers()) {
        if (!this->serverTable.isInGracePeriod(id)) {
            relayed.changes.push_back({id, this->serverTable.statementOf(id, now)});
        }
    }
    // The receiver may not know that these were removed, and needs them if they are renewed.
    const std::vector<ServerChange> withheld = this->serverTable.withheld();
    relayed.changes.insert(relayed.changes.end(), withheld.begin(), withheld.end());
    return relayed;
}

void Directory::retainBatch(std::uint64_t from, const ServerReadResult &reading)
{
    if (reading.isComplete || (!this->batches.empty() && this->batches.back().nextOffset != from)) {
        this->batches.clear();
    }
    if (reading.isComplete || reading.nextOffset == from) {
        return;
    }
    this->batches.push_back({from, reading.nextOffset, reading.changes, RuntimeClock::now()});
    if (this->batches.size() > this->options.maxRetainedBatches) {
        this->batches.pop_front();
    }
}

boost::asio::awaitable<bool> Directory::readConfigOnce()
{
    const TimePoint sentAt = RuntimeClock::now();
    // After a failure the read does not wait, so that the configuration is confirmed to be current as soon as possible.
    const std::chrono::milliseconds wait
        = this->isConfigStoreReachable ? this->options.configPollTimeout : std::chrono::milliseconds(0);
    Result<ConfigReadResult> reading = co_await this->hooks.readConfig(this->nextConfigOffset, wait);
    if (this->stopped) {
        co_return false;
    }
    if (reading.has_error()) {
        if (reading.error().kind() == ErrorKind::Trimmed) {
            logEvent(LogLevel::Info, "control", "the configuration is read anew", {{"reason", reading.error().text()}});
            this->nextConfigOffset.reset();
        }
        co_return false;
    }
    this->nextConfigOffset = reading.value().nextOffset;
    // Before the configuration, so that no request is sent to an evacuated data centre by the first one.
    const bool evacuationsChanged = this->applyEvacuations(reading.value());
    if (reading.value().newest.has_value()) {
        this->applyConfig(std::move(*reading.value().newest));
    }
    if (evacuationsChanged) {
        this->onUpdate();
    }
    if (reading.value().isAtEnd) {
        this->ownConfigConfirmedAt = sentAt;
        this->configConfirmedAt = std::max(this->configConfirmedAt.value_or(sentAt), sentAt);
        this->onUpdate();
    }
    this->adoptRelayedConfirmation();
    co_return true;
}

std::chrono::milliseconds Directory::serverReadWait() const
{
    // The grace period begins with the response, so the first one after a failure must not wait for a record.
    return this->isServerStoreReachable ? this->options.serverPollTimeout : std::chrono::milliseconds(0);
}

boost::asio::awaitable<bool> Directory::readServersNow()
{
    return this->readServersOnce(std::chrono::milliseconds(0));
}

boost::asio::awaitable<bool> Directory::readServersOnce(std::chrono::milliseconds wait)
{
    const TimePoint sentAt = RuntimeClock::now();
    const std::optional<std::uint64_t> from = this->nextServersOffset;
    Result<ServerReadResult> reading = co_await this->hooks.readServers(this->nextServersOffset, wait);
    if (this->stopped) {
        co_return false;
    }
    if (reading.has_error()) {
        if (reading.error().kind() == ErrorKind::Trimmed) {
            logEvent(LogLevel::Info, "control", "the servers' entries are read anew", {{"reason", reading.error().text()}});
            this->serversEpoch = epochOf(this->nextServersOffset.value_or(0));
            this->nextServersOffset.reset();
        } else {
            this->serverTable.onStoreLost();
        }
        co_return false;
    }
    if (epochOf(reading.value().nextOffset) > std::exchange(this->serversEpoch, epochOf(reading.value().nextOffset))) {
        // Entries that the restored store has lost are written again by the servers that are alive.
        this->serverTable.onStoreLost();
    }
    this->serverTable.onStoreRecovered(RuntimeClock::now());
    this->wakeServerExpiry();
    if (this->nextServersOffset != from) {
        // A relay's entries were applied meanwhile; the next read continues after them.
        co_return true;
    }
    this->advanceServersOffset(reading.value().nextOffset);
    if (reading.value().isAtEnd) {
        this->ownServersConfirmedAt = sentAt;
    }
    this->dropUnlimitedColdTimes(reading.value());
    this->retainBatch(from.value_or(0), reading.value());
    this->applyServers(reading.value(), "store");
    this->reportServersConfirmed(RuntimeClock::now());
    co_return true;
}

void Directory::applyConfig(PublishedConfig config)
{
    if (this->newestConfig.has_value() && config.version <= this->newestConfig->version) {
        return;
    }
    logEvent(LogLevel::Info, "control", "a configuration is in force",
        {{"version", std::to_string(config.version)}, {"offset", std::to_string(config.offset)},
            {"routes", std::to_string(config.objects.routes.size())}, {"keys", std::to_string(config.objects.keys.size())}});
    this->newestConfig = std::move(config);
    this->publishState();
}

bool Directory::applyEvacuations(const ConfigReadResult &reading)
{
    const std::set<DataCentre> before = this->evacuationTable.evacuated();
    EvacuationRecords records{reading.evacuations, reading.isComplete, reading.nextOffset, 0};
    records.epochBegin = makeOffset(epochOf(reading.nextOffset), 0);
    const std::vector<DataCentre> changed = this->evacuationTable.apply(records, RuntimeClock::now());
    for (const DataCentre &dataCentre : changed) {
        const EvacuationState &state = this->evacuationTable.states().at(dataCentre);
        logEvent(LogLevel::Info, "control", state.isEvacuated ? "a data centre is evacuated" : "a data centre was taken back",
            {{"data_centre", dataCentre.text()}, {"offset", std::to_string(state.offset)},
                {"was_evacuated", before.contains(dataCentre) ? "yes" : "no"}});
    }
    if (reading.isComplete) {
        for (const DataCentre &dataCentre : this->evacuationTable.evacuated()) {
            if (this->evacuationTable.states().at(dataCentre).offset < records.epochBegin) {
                logEvent(LogLevel::Warning, "control", "the restored store has no record of an evacuation, which holds on",
                    {{"data_centre", dataCentre.text()}, {"remedy", "evacuate the data centre and take it back once more"}});
            }
        }
    }
    return !changed.empty();
}

void Directory::applyServers(const ServerReadResult &reading, std::string_view source)
{
    if (reading.changes.empty() && !reading.isComplete) {
        return;
    }
    const TimePoint now = RuntimeClock::now();
    const ServerListLog log(this->serverTable, reading.changes, reading.isComplete);
    this->serverTable.setEpoch(epochOf(reading.nextOffset));
    bool changed = false;
    if (reading.isComplete) {
        changed = this->serverTable.replace(reading.changes, now);
    } else {
        for (const ServerChange &change : reading.changes) {
            changed = this->serverTable.apply(change, now) || changed;
        }
    }
    log.logChanges(this->serverTable, source, reading.nextOffset);
    this->wakeServerExpiry();
    if (changed) {
        this->publishState();
    }
}

double Directory::coldRequestsPerSecond(const ServiceName &service) const
{
    for (const ServiceRules &rules : this->newestConfig->services) {
        if (rules.name == service) {
            return rules.coldRequestsPerSecond;
        }
    }
    return 0.0;
}

void Directory::dropUnlimitedColdTimes(ServerReadResult &reading) const
{
    if (!this->newestConfig.has_value()) {
        return;
    }
    for (ServerChange &change : reading.changes) {
        if (change.server.has_value() && this->coldRequestsPerSecond(change.server->server.service) <= 0.0) {
            change.server->coldFor = std::chrono::milliseconds(0);
        }
    }
}

void Directory::reportServersConfirmed(TimePoint now)
{
    if (!this->newestConfig.has_value() || !this->onServersConfirmed || !this->nextServersOffset.has_value()) {
        return;
    }
    const bool hasLimits
        = std::any_of(this->newestConfig->services.begin(), this->newestConfig->services.end(), [](const ServiceRules &rules) {
              return rules.coldRequestsPerSecond > 0.0;
          });
    if (!hasLimits || this->serverTable.remainingGrace(now) > Duration::zero()) {
        return;
    }
    std::optional<TimePoint> confirmed = this->relayedServers.confirmedAt(*this->nextServersOffset);
    if (this->ownServersConfirmedAt.has_value()) {
        confirmed = std::max(confirmed.value_or(*this->ownServersConfirmedAt), *this->ownServersConfirmedAt);
    }
    if (confirmed.has_value()
        && (!this->reportedServersConfirmedAt.has_value()
            || *confirmed >= *this->reportedServersConfirmedAt + confirmationReportInterval)) {
        this->reportedServersConfirmedAt = confirmed;
        this->onServersConfirmed(*confirmed);
    }
}

void Directory::expireServers()
{
    const TimePoint now = RuntimeClock::now();
    if (this->serverTable.nextExpiry().value_or(TimePoint::max()) > now) {
        return;
    }
    const ServerListLog log(this->serverTable, {}, true);
    if (this->serverTable.expire(now)) {
        log.logChanges(this->serverTable, "grace period", this->nextServersOffset.value_or(0));
        this->publishState();
    }
}

void Directory::publishState()
{
    if (!this->newestConfig.has_value()) {
        return;
    }
    ConfigObjects objects = this->newestConfig->objects;
    for (const auto &[id, registered] : this->serverTable.servers()) {
        objects.backendServers.push_back(registered.server);
        objects.backendServers.back().coldRequestsPerSecond = this->coldRequestsPerSecond(registered.server.service);
    }
    this->currentState = std::make_shared<const ConfigState>(ConfigState::fromObjects(objects, this->newestConfig->offset + 1));
    this->onUpdate();
}

std::shared_ptr<const ConfigState> Directory::state() const
{
    return this->currentState;
}

const std::optional<PublishedConfig> &Directory::config() const
{
    return this->newestConfig;
}

const ServerTable &Directory::servers() const
{
    return this->serverTable;
}

const Evacuations &Directory::evacuations() const
{
    return this->evacuationTable;
}

std::optional<TimePoint> Directory::confirmedAt() const
{
    return this->configConfirmedAt;
}

std::uint64_t Directory::storeEpoch() const
{
    return this->serversEpoch;
}

} // namespace flamingosaddle
