#include <flamingosaddle/control/configtail.h>

#include <flamingosaddle/base/log.h>

#include <utility>

namespace flamingosaddle
{

ConfigTail::ConfigTail(const Platform &platform, std::function<void()> onAdvance, std::uint64_t seed)
    : platform(platform)
    , onAdvance(std::move(onAdvance))
    , tail(platform, LogStream::Config,
          LogTailHooks{
              [this] {
                  return this->position();
              },
              [this](const LogBatch &batch, TimePoint sentAt) {
                  this->takeBatch(batch, sentAt);
              },
              [this] {
                  this->noteGap();
              },
          },
          seed)
    , current(std::make_shared<const ConfigState>())
{
}

boost::asio::awaitable<void> ConfigTail::run()
{
    return this->tail.run();
}

void ConfigTail::stop()
{
    this->tail.stop();
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

boost::asio::awaitable<Result<std::uint64_t>> ConfigTail::position()
{
    if (!this->snapshotSought) {
        const Result<void> loaded = co_await this->loadSnapshot();
        if (loaded.has_error()) {
            co_return fail(loaded.error());
        }
        this->snapshotSought = true;
    }
    co_return this->current->nextOffset();
}

boost::asio::awaitable<Result<void>> ConfigTail::loadSnapshot()
{
    const Result<LogBounds> bounds = co_await this->platform.bounds(LogStream::ConfigSnapshot);
    if (bounds.has_error()) {
        co_return fail(bounds.error());
    }
    if (bounds.value().headOffset == bounds.value().firstOffset) {
        co_return done();
    }
    const std::uint64_t newest = bounds.value().headOffset - 1;
    const Result<LogBatch> batch = co_await this->platform.read(LogStream::ConfigSnapshot, newest, std::chrono::milliseconds(0));
    if (batch.has_error()) {
        co_return fail(batch.error());
    }
    for (const LogRecord &record : batch.value().records) {
        const Result<ConfigState> snapshot = decodeConfigSnapshot(record.body);
        if (snapshot.has_value()) {
            this->adoptSnapshot(snapshot.value());
        } else {
            logStateChange(LogLevel::Error, "control", "config snapshot is unreadable", {{"error", snapshot.error().text()}});
        }
    }
    co_return done();
}

void ConfigTail::takeBatch(const LogBatch &batch, TimePoint sentAt)
{
    this->gap = false;
    if (batch.records.empty()) {
        this->noteReadTo(batch.headOffset, sentAt);
        this->onAdvance();
        return;
    }
    // A peer may have forwarded records while the read was under way: only what is still ahead is applied.
    ConfigState next = *this->current;
    for (const LogRecord &record : batch.records) {
        if (record.offset >= next.nextOffset()) {
            this->applyRecord(next, record.offset, record.body);
        }
    }
    this->current = std::make_shared<const ConfigState>(std::move(next));
    this->noteReadTo(batch.headOffset, sentAt);
    this->onAdvance();
}

void ConfigTail::noteReadTo(std::uint64_t headOffset, TimePoint sentAt)
{
    if (headOffset <= this->current->nextOffset()) {
        this->readAt = sentAt;
    }
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
