#include <flamingosaddle/control/directory.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds firstRetryDelay(50);
constexpr std::chrono::milliseconds longestRetryDelay(400); // bounds the delay until a recovered store is detected

} // namespace

Directory::Directory(
    DirectoryHooks hooks, DirectoryRelayHooks relayHooks, DirectoryOptions options, std::function<void()> onAdvance)
    : hooks(std::move(hooks))
    , relayHooks(std::move(relayHooks))
    , options(options)
    , onAdvance(std::move(onAdvance))
    , configBackoff(firstRetryDelay, longestRetryDelay, options.seed)
    , serverBackoff(firstRetryDelay, longestRetryDelay, options.seed + 1)
    , table(options.servers)
    , relayedConfig(options.configPatience, options.relayAnswerPatience)
    , relayedServers(options.serverPatience, options.relayAnswerPatience)
{
}

boost::asio::awaitable<void> Directory::runConfig()
{
    while (!this->stopped) {
        const TimePoint now = RuntimeClock::now();
        this->noteReliance(!this->relayHooks.isRelay() && this->relayedConfig.isFollowed(now));
        if (!this->isConfigReadDue(now)) {
            co_await this->waitForReadDue(this->configWake, this->relayedConfig.followedUntil());
            continue;
        }
        const bool succeeded = co_await this->readConfigOnce();
        if (succeeded != this->configAnswers) {
            this->configAnswers = succeeded;
            logStateChange(succeeded ? LogLevel::Info : LogLevel::Warning, "control",
                succeeded ? "the store of the configuration answers" : "the store of the configuration does not answer");
        }
        if (succeeded) {
            this->configBackoff.reset();
        } else if (!this->stopped) {
            co_await delay(this->configBackoff.next());
        }
    }
}

boost::asio::awaitable<void> Directory::runServers()
{
    while (!this->stopped) {
        if (this->table.expire(RuntimeClock::now())) {
            this->publish();
        }
        if (!this->isServerReadDue(RuntimeClock::now())) {
            const TimePoint expiry = this->table.nextExpiry().value_or(TimePoint::max());
            co_await this->waitForReadDue(this->serversWake, std::min(expiry, this->nextServerReadDue()));
            continue;
        }
        const bool succeeded = co_await this->readServersOnce();
        if (succeeded) {
            this->serverBackoff.reset();
            co_await delay(this->options.serverPause);
        } else if (!this->stopped) {
            co_await delay(this->serverBackoff.next());
        }
    }
}

void Directory::stop()
{
    this->stopped = true;
    this->wakeReaders();
}

bool Directory::isConfigReadDue(TimePoint now) const
{
    const bool isBehind = !this->configNext.has_value() || this->relayedConfig.end() > *this->configNext;
    return isBehind || this->relayHooks.isRelay() || !this->relayedConfig.isFollowed(now);
}

bool Directory::isServerReadDue(TimePoint now) const
{
    return !this->serversNext.has_value() || this->relayHooks.isRelay() || now >= this->nextServerReadDue();
}

TimePoint Directory::nextServerReadDue() const
{
    const TimePoint followedUntil = this->relayedServers.followedUntil();
    return this->behindSince.has_value() ? std::min(followedUntil, *this->behindSince + this->options.behindLimit)
                                         : followedUntil;
}

void Directory::noteServersNext(std::uint64_t next)
{
    this->serversNext = next;
    this->serversAskedAt.reset();
    if (next >= this->relayedServers.end()) {
        this->behindSince.reset();
    }
}

void Directory::noteReliance(bool relies)
{
    if (relies != this->reliesOnRelays) {
        this->reliesOnRelays = relies;
        logStateChange(LogLevel::Info, "control", relies ? "relies on relays for the store" : "reads the store itself",
            {{"config_next", std::to_string(this->configNext.value_or(0))}});
    }
}

boost::asio::awaitable<void> Directory::waitForReadDue(std::shared_ptr<Timer> &timer, TimePoint deadline)
{
    // A change of this instance's role as a relay is not signalled, so it is checked at this interval.
    const TimePoint latest = RuntimeClock::now() + this->options.behindLimit;
    const auto wake = std::make_shared<Timer>(co_await boost::asio::this_coro::executor, std::min(deadline, latest));
    timer = wake;
    boost::system::error_code ignored;
    co_await wake->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    timer.reset();
}

void Directory::wakeReaders()
{
    for (const std::shared_ptr<Timer> &timer : {this->configWake, this->serversWake}) {
        if (timer) {
            timer->cancel();
        }
    }
}

void Directory::notePeerProgress(
    const Endpoint &peer, bool isSameDataCentre, const StoreProgress &progress, TimePoint sentAt, TimePoint now)
{
    if (progress.config.has_value()) {
        this->relayedConfig.note(*progress.config, sentAt, now);
        this->adoptRelayedProof();
    }
    if (progress.servers.has_value()) {
        this->relayedServers.note(*progress.servers, sentAt, now);
        if (this->relayedServers.isFollowed(now)) {
            this->table.noteStoreBack(now);
        }
        this->requestMissingServers(peer, isSameDataCentre, *progress.servers, now);
    }
    if (this->isConfigReadDue(now)) {
        this->wakeReaders();
    }
}

void Directory::requestMissingServers(const Endpoint &peer, bool isSameDataCentre, const TopicProgress &progress, TimePoint now)
{
    if (!this->serversNext.has_value() || progress.next <= *this->serversNext || this->relayHooks.isRelay()) {
        return;
    }
    if (!this->behindSince.has_value()) {
        this->behindSince = now;
    }
    const bool isRequestPending = this->serversAskedAt.has_value() && now < *this->serversAskedAt + this->options.behindLimit / 2;
    if (isSameDataCentre && !isRequestPending) {
        this->serversAskedAt = now;
        this->relayHooks.requestServers(peer, *this->serversNext);
    }
}

void Directory::adoptRelayedProof()
{
    if (!this->configNext.has_value()) {
        return;
    }
    const std::optional<TimePoint> relayed = this->relayedConfig.provedAt(*this->configNext);
    if (relayed.has_value() && (!this->proof.has_value() || *relayed > *this->proof)) {
        this->proof = relayed;
        this->onAdvance();
    }
}

void Directory::takeRelayedServers(const ServersMessage &relayed)
{
    const bool isContiguous = relayed.isComplete || relayed.from <= this->serversNext.value_or(0);
    if (!this->serversNext.has_value() || !isContiguous || relayed.next <= *this->serversNext) {
        return;
    }
    const Duration grace = std::min<std::chrono::milliseconds>(
        relayed.grace, std::chrono::ceil<std::chrono::milliseconds>(this->options.servers.returnGrace));
    if (grace > Duration::zero()) {
        this->table.keepVanishedUntil(RuntimeClock::now() + grace);
    }
    this->batches.clear();
    this->noteServersNext(relayed.next);
    this->takeServers({relayed.next, relayed.isComplete, relayed.changes});
}

StoreProgress Directory::progress() const
{
    const TimePoint now = RuntimeClock::now();
    const auto ageOf = [now](TimePoint proved) {
        // Rounded up: the reported age may be too long, but never too short.
        return std::chrono::ceil<std::chrono::milliseconds>(now - proved);
    };
    StoreProgress progress;
    if (this->relayHooks.isRelay() && this->configNext.has_value() && this->ownConfigProof.has_value()) {
        progress.config = TopicProgress{*this->configNext, ageOf(*this->ownConfigProof)};
    }
    if (this->relayHooks.isRelay() && this->serversNext.has_value() && this->ownServersProof.has_value()) {
        progress.servers = TopicProgress{*this->serversNext, ageOf(*this->ownServersProof)};
    }
    return progress;
}

ServersMessage Directory::serversSince(std::uint64_t from) const
{
    const TimePoint now = RuntimeClock::now();
    ServersMessage relayed;
    relayed.next = this->serversNext.value_or(0);
    relayed.grace = std::chrono::ceil<std::chrono::milliseconds>(this->table.graceLeft(now));
    const bool isRetained = !this->batches.empty() && this->batches.front().from <= from;
    if (isRetained) {
        relayed.from = from;
        for (const Batch &batch : this->batches) {
            if (batch.next > from) {
                relayed.changes.insert(relayed.changes.end(), batch.changes.begin(), batch.changes.end());
            }
        }
        return relayed;
    }
    relayed.isComplete = true;
    for (const auto &[id, server] : this->table.servers()) {
        if (!this->table.isLapsing(id)) {
            relayed.changes.push_back({id, server});
        }
    }
    return relayed;
}

void Directory::keepBatch(std::uint64_t from, const ServerReading &reading)
{
    if (reading.isComplete || (!this->batches.empty() && this->batches.back().next != from)) {
        this->batches.clear();
    }
    if (reading.isComplete || reading.next == from) {
        return;
    }
    this->batches.push_back({from, reading.next, reading.changes});
    if (this->batches.size() > this->options.keptBatches) {
        this->batches.pop_front();
    }
}

boost::asio::awaitable<bool> Directory::readConfigOnce()
{
    const TimePoint sentAt = RuntimeClock::now();
    // After a failure the read does not wait, so that the configuration is confirmed to be current as soon as possible.
    const std::chrono::milliseconds wait = this->configAnswers ? this->options.configWait : std::chrono::milliseconds(0);
    Result<ConfigReading> reading = co_await this->hooks.readConfig(this->configNext, wait);
    if (this->stopped) {
        co_return false;
    }
    if (reading.has_error()) {
        if (reading.error().kind() == ErrorKind::Trimmed) {
            this->configNext.reset();
        }
        co_return false;
    }
    this->configNext = reading.value().next;
    if (reading.value().newest.has_value()) {
        this->takeConfig(std::move(*reading.value().newest));
    }
    if (reading.value().isAtEnd) {
        this->ownConfigProof = sentAt;
        this->proof = std::max(this->proof.value_or(sentAt), sentAt);
        this->onAdvance();
    }
    this->adoptRelayedProof();
    co_return true;
}

boost::asio::awaitable<bool> Directory::readServersOnce()
{
    const TimePoint sentAt = RuntimeClock::now();
    const std::optional<std::uint64_t> from = this->serversNext;
    const std::optional<TimePoint> expiry = this->table.nextExpiry();
    const bool isShortWait = !this->serversNext.has_value() || (expiry.has_value() && *expiry != TimePoint::max());
    const std::chrono::milliseconds wait = isShortWait ? std::chrono::milliseconds(100) : this->options.serverWait;
    const Result<ServerReading> reading = co_await this->hooks.readServers(this->serversNext, wait);
    if (this->stopped) {
        co_return false;
    }
    if (reading.has_error()) {
        if (reading.error().kind() == ErrorKind::Trimmed) {
            this->serversNext.reset();
        } else {
            this->table.noteStoreLost();
        }
        co_return false;
    }
    this->table.noteStoreBack(RuntimeClock::now());
    if (this->serversNext != from) {
        // A relay's entries were applied meanwhile; the next read continues after them.
        co_return true;
    }
    this->noteServersNext(reading.value().next);
    this->ownServersProof = sentAt;
    this->keepBatch(from.value_or(0), reading.value());
    this->takeServers(reading.value());
    co_return true;
}

void Directory::takeConfig(PublishedConfig config)
{
    if (this->newest.has_value() && config.version <= this->newest->version) {
        return;
    }
    logStateChange(LogLevel::Info, "control", "a configuration is in force",
        {{"version", std::to_string(config.version)}, {"offset", std::to_string(config.offset)},
            {"routes", std::to_string(config.objects.routes.size())}, {"keys", std::to_string(config.objects.keys.size())}});
    this->newest = std::move(config);
    this->publish();
}

void Directory::takeServers(const ServerReading &reading)
{
    const TimePoint now = RuntimeClock::now();
    bool changed = false;
    if (reading.isComplete) {
        changed = this->table.replace(reading.changes, now);
    } else {
        for (const ServerChange &change : reading.changes) {
            changed = this->table.apply(change, now) || changed;
        }
    }
    if (changed) {
        this->publish();
    }
}

void Directory::publish()
{
    if (!this->newest.has_value()) {
        return;
    }
    ConfigObjects objects = this->newest->objects;
    for (const auto &[id, registered] : this->table.servers()) {
        objects.backendServers.push_back(registered.server);
    }
    this->current = std::make_shared<const ConfigState>(ConfigState::ofObjects(objects, this->newest->offset + 1));
    this->onAdvance();
}

std::shared_ptr<const ConfigState> Directory::state() const
{
    return this->current;
}

const std::optional<PublishedConfig> &Directory::config() const
{
    return this->newest;
}

const ServerTable &Directory::servers() const
{
    return this->table;
}

std::optional<TimePoint> Directory::provedAt() const
{
    return this->proof;
}

} // namespace flamingosaddle
