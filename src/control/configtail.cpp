#include <flamingosaddle/control/configtail.h>

#include <flamingosaddle/base/log.h>
#include <flamingosaddle/control/delay.h>

#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds readWait(1000);
constexpr std::chrono::milliseconds firstRetryDelay(50);
constexpr std::chrono::seconds longestRetryDelay(2);

} // namespace

ConfigTail::ConfigTail(Platform platform, std::function<void()> onAdvance, std::uint64_t seed)
    : platform(std::move(platform))
    , onAdvance(std::move(onAdvance))
    , backoff(firstRetryDelay, longestRetryDelay, seed)
    , current(std::make_shared<const ConfigState>())
{
}

boost::asio::awaitable<void> ConfigTail::run()
{
    while (!this->stopped) {
        if (!this->snapshotSought) {
            co_await this->loadSnapshot();
        }
        const bool succeeded = co_await this->readOnce();
        if (succeeded) {
            this->backoff.reset();
        } else if (!this->stopped) {
            co_await delay(this->backoff.next());
        }
    }
}

void ConfigTail::stop()
{
    this->stopped = true;
}

bool ConfigTail::applyForwarded(std::uint64_t offset, std::string_view body)
{
    if (offset != this->current->nextOffset()) {
        return false;
    }
    ConfigState next = *this->current;
    this->applyRecord(next, offset, body);
    this->replaceState(std::move(next));
    return true;
}

bool ConfigTail::adoptSnapshot(const ConfigState &snapshot)
{
    if (snapshot.nextOffset() <= this->current->nextOffset()) {
        return false;
    }
    this->replaceState(snapshot);
    return true;
}

std::shared_ptr<const ConfigState> ConfigTail::state() const
{
    return this->current;
}

std::optional<TimePoint> ConfigTail::lastReadAt() const
{
    return this->readAt;
}

bool ConfigTail::hasGap() const
{
    return this->gap;
}

std::uint64_t ConfigTail::undecodableCount() const
{
    return this->undecodable;
}

boost::asio::awaitable<void> ConfigTail::loadSnapshot()
{
    const Result<LogBounds> bounds = co_await this->platform.bounds(LogStream::ConfigSnapshot);
    if (bounds.has_error()) {
        co_return;
    }
    this->snapshotSought = true;
    if (bounds.value().headOffset == bounds.value().firstOffset) {
        co_return;
    }
    const std::uint64_t newest = bounds.value().headOffset - 1;
    const Result<LogBatch> batch = co_await this->platform.read(LogStream::ConfigSnapshot, newest, std::chrono::milliseconds(0));
    if (batch.has_error()) {
        this->snapshotSought = false;
        co_return;
    }
    for (const LogRecord &record : batch.value().records) {
        const Result<ConfigState> snapshot = decodeConfigSnapshot(record.body);
        if (snapshot.has_value()) {
            this->adoptSnapshot(snapshot.value());
        } else {
            logStateChange(LogLevel::Error, "control", "config snapshot unreadable", {{"error", snapshot.error().text()}});
        }
    }
}

boost::asio::awaitable<bool> ConfigTail::readOnce()
{
    const std::uint64_t from = this->current->nextOffset();
    const TimePoint sentAt = RuntimeClock::now();
    const Result<LogBatch> batch = co_await this->platform.read(LogStream::Config, from, readWait);
    if (batch.has_error()) {
        if (batch.error().kind() == ErrorKind::Trimmed) {
            this->noteGap();
        }
        co_return false;
    }
    this->gap = false;
    // A peer may have forwarded records while the read was under way: only what is still ahead is applied.
    ConfigState next = *this->current;
    for (const LogRecord &record : batch.value().records) {
        if (record.offset >= next.nextOffset()) {
            this->applyRecord(next, record.offset, record.body);
        }
    }
    if (batch.value().headOffset <= next.nextOffset()) {
        this->readAt = sentAt;
    }
    if (next.nextOffset() > this->current->nextOffset()) {
        this->replaceState(std::move(next));
    } else {
        this->onAdvance();
    }
    co_return true;
}

void ConfigTail::noteGap()
{
    if (!this->gap) {
        logStateChange(LogLevel::Error, "control", "config records were trimmed before they were read");
    }
    this->gap = true;
    this->snapshotSought = false;
}

void ConfigTail::applyRecord(ConfigState &target, std::uint64_t offset, std::string_view body)
{
    const Result<ConfigChange> change = decodeConfigChange(body);
    if (change.has_error()) {
        ++this->undecodable;
        target.skip(offset);
        return;
    }
    target.apply(offset, change.value());
}

void ConfigTail::replaceState(ConfigState next)
{
    this->current = std::make_shared<const ConfigState>(std::move(next));
    this->onAdvance();
}

} // namespace flamingosaddle
