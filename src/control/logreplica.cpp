#include <flamingosaddle/control/logreplica.h>

#include <flamingosaddle/base/log.h>
#include <flamingosaddle/platform/storeoffset.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

LogReplica::LogReplica(const Platform &platform, LogStream stream, LogReplicaHooks hooks, std::uint64_t seed)
    : platform(platform)
    , stream(stream)
    , hooks(std::move(hooks))
    , reader(platform, stream,
          LogReaderHooks{
              [this] {
                  return this->nextReadOffset();
              },
              [this](const LogBatch &batch, TimePoint sentAt) {
                  this->applyBatch(batch, sentAt);
              },
              [this] {
                  this->isPositioned = false;
              },
          },
          seed)
{
}

boost::asio::awaitable<void> LogReplica::run()
{
    return this->reader.run();
}

void LogReplica::stop()
{
    this->reader.stop();
}

bool LogReplica::isLogReachable() const
{
    return this->reader.isLogReachable();
}

bool LogReplica::hasGap() const
{
    return this->isGapFound;
}

boost::asio::awaitable<Result<std::uint64_t>> LogReplica::nextReadOffset()
{
    if (this->isPositioned) {
        co_return std::max(this->hooks.nextOffset(), this->readFrom);
    }
    const Result<void> loaded = co_await this->loadSnapshot();
    if (loaded.has_error()) {
        co_return fail(loaded.error());
    }
    // The state may advance while the bounds are read, so that only the state before tells whether it is ahead of the log.
    const std::uint64_t nextBefore = this->hooks.nextOffset();
    const Result<LogBounds> bounds = co_await this->platform.bounds(this->stream);
    if (bounds.has_error()) {
        co_return fail(bounds.error());
    }
    if (nextBefore > bounds.value().endOffset) {
        const Result<void> discarded = co_await this->discardState(bounds.value().endOffset);
        if (discarded.has_error()) {
            co_return fail(discarded.error());
        }
    }
    const std::uint64_t first = bounds.value().firstOffset;
    const std::uint64_t next = this->hooks.nextOffset();
    // The records of a restored store are read again from the first one: which of them the state contains is unknown, and a
    // change that it contains has no effect.
    const bool wasRestored = epochOf(first) > epochOf(next);
    if (wasRestored ? positionOf(first) > positionOf(next) : first > next) {
        co_return fail(this->reportGap());
    }
    this->readFrom = wasRestored ? first : 0;
    this->isPositioned = true;
    this->isGapFound = false;
    co_return std::max(next, this->readFrom);
}

boost::asio::awaitable<Result<void>> LogReplica::loadSnapshot()
{
    const Result<std::optional<std::string>> snapshot = co_await this->platform.newestSnapshot(this->stream);
    if (snapshot.has_error()) {
        co_return fail(snapshot.error());
    }
    if (!snapshot.value().has_value()) {
        co_return success();
    }
    const Result<void> restored = this->hooks.restoreSnapshot(*snapshot.value());
    if (restored.has_error()) {
        logEvent(LogLevel::Error, "control", "snapshot is unreadable",
            {{"stream", toString(this->stream)}, {"error", restored.error().text()}});
    }
    co_return success();
}

boost::asio::awaitable<Result<void>> LogReplica::discardState(std::uint64_t logEnd)
{
    logEvent(LogLevel::Error, "control", "the state is ahead of the log and is read anew",
        {{"stream", toString(this->stream)}, {"next", std::to_string(this->hooks.nextOffset())},
            {"log_end", std::to_string(logEnd)}});
    this->hooks.discardState();
    const Result<void> loaded = co_await this->loadSnapshot();
    if (loaded.has_error()) {
        co_return fail(loaded.error());
    }
    if (this->hooks.nextOffset() > logEnd) {
        logEvent(LogLevel::Error, "control", "the newest snapshot is ahead of the log and is ignored",
            {{"stream", toString(this->stream)}, {"next", std::to_string(this->hooks.nextOffset())},
                {"log_end", std::to_string(logEnd)}});
        this->hooks.discardState();
    }
    co_return success();
}

void LogReplica::applyBatch(const LogBatch &batch, TimePoint sentAt)
{
    for (const LogRecord &record : batch.records) {
        // A snapshot may have advanced the state while the read was in flight.
        if (record.offset >= this->hooks.nextOffset()) {
            this->hooks.applyRecord(record);
        }
    }
    if (this->hooks.onLogEnd && batch.endOffset <= std::max(this->hooks.nextOffset(), this->readFrom)) {
        this->hooks.onLogEnd(batch.endOffset, sentAt);
    }
}

Error LogReplica::reportGap()
{
    if (!this->isGapFound) {
        logEvent(LogLevel::Error, "control", "records were trimmed before they were read", {{"stream", toString(this->stream)}});
    }
    this->isGapFound = true;
    return {ErrorKind::Trimmed,
        std::string("the log no longer holds the oldest records of ") + toString(this->stream) + " and no snapshot covers them",
        "increase the log's retention and let an up-to-date instance write a snapshot"};
}

} // namespace flamingosaddle
