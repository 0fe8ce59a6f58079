#include <flamingosaddle/control/directory.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds firstRetryDelay(50);
constexpr std::chrono::milliseconds longestRetryDelay(400); // a store that is back is noticed this late

} // namespace

Directory::Directory(DirectoryHooks hooks, DirectoryOptions options, std::function<void()> onAdvance)
    : hooks(std::move(hooks))
    , options(options)
    , onAdvance(std::move(onAdvance))
    , configBackoff(firstRetryDelay, longestRetryDelay, options.seed)
    , serverBackoff(firstRetryDelay, longestRetryDelay, options.seed + 1)
    , table(options.servers)
{
}

boost::asio::awaitable<void> Directory::runConfig()
{
    while (!this->stopped) {
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
        const bool succeeded = co_await this->readServersOnce();
        if (this->table.expire(RuntimeClock::now())) {
            this->publish();
        }
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
}

boost::asio::awaitable<bool> Directory::readConfigOnce()
{
    const TimePoint sentAt = RuntimeClock::now();
    // After a failure the answer must come at once, so that the currency of the configuration is proved soon.
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
        this->proof = sentAt;
        this->onAdvance();
    }
    co_return true;
}

boost::asio::awaitable<bool> Directory::readServersOnce()
{
    const std::optional<TimePoint> expiry = this->table.nextExpiry();
    const bool atOnce = !this->serversNext.has_value() || (expiry.has_value() && *expiry != TimePoint::max());
    const std::chrono::milliseconds wait = atOnce ? std::chrono::milliseconds(100) : this->options.serverWait;
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
    this->serversNext = reading.value().next;
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
