#include <flamingosaddle/control/logreplica.h>

#include <flamingosaddle/base/log.h>

#include <utility>

namespace flamingosaddle
{

LogReplica::LogReplica(const Platform &platform, LogStream stream, LogReplicaHooks hooks, std::uint64_t seed)
    : platform(platform)
    , stream(stream)
    , hooks(std::move(hooks))
    , tail(platform, stream,
          LogTailHooks{
              [this] {
                  return this->position();
              },
              [this](const LogBatch &batch, TimePoint sentAt) {
                  this->takeBatch(batch, sentAt);
              },
              [this] {
                  this->positioned = false;
              },
          },
          seed)
{
}

boost::asio::awaitable<void> LogReplica::run()
{
    return this->tail.run();
}

void LogReplica::stop()
{
    this->tail.stop();
}

bool LogReplica::isLogAnswering() const
{
    return this->tail.isLogAnswering();
}

bool LogReplica::hasGap() const
{
    return this->gap;
}

boost::asio::awaitable<Result<std::uint64_t>> LogReplica::position()
{
    if (this->positioned) {
        co_return this->hooks.nextOffset();
    }
    const Result<void> loaded = co_await this->loadSnapshot();
    if (loaded.has_error()) {
        co_return fail(loaded.error());
    }
    const Result<LogBounds> bounds = co_await this->platform.bounds(this->stream);
    if (bounds.has_error()) {
        co_return fail(bounds.error());
    }
    if (bounds.value().firstOffset > this->hooks.nextOffset()) {
        co_return fail(this->noteGap());
    }
    this->positioned = true;
    this->gap = false;
    co_return this->hooks.nextOffset();
}

boost::asio::awaitable<Result<void>> LogReplica::loadSnapshot()
{
    const Result<std::optional<std::string>> snapshot = co_await this->platform.newestSnapshot(this->stream);
    if (snapshot.has_error()) {
        co_return fail(snapshot.error());
    }
    if (!snapshot.value().has_value()) {
        co_return done();
    }
    const Result<void> restored = this->hooks.restore(*snapshot.value());
    if (restored.has_error()) {
        logStateChange(LogLevel::Error, "control", "snapshot is unreadable",
            {{"stream", toString(this->stream)}, {"error", restored.error().text()}});
    }
    co_return done();
}

void LogReplica::takeBatch(const LogBatch &batch, TimePoint sentAt)
{
    for (const LogRecord &record : batch.records) {
        // A snapshot may have advanced the state while the read was in flight.
        if (record.offset >= this->hooks.nextOffset()) {
            this->hooks.apply(record);
        }
    }
    if (this->hooks.atHead && batch.headOffset <= this->hooks.nextOffset()) {
        this->hooks.atHead(batch.headOffset, sentAt);
    }
}

Error LogReplica::noteGap()
{
    if (!this->gap) {
        logStateChange(
            LogLevel::Error, "control", "records were trimmed before they were read", {{"stream", toString(this->stream)}});
    }
    this->gap = true;
    return {ErrorKind::Trimmed,
        std::string("the log no longer holds the oldest records of ") + toString(this->stream) + " and no snapshot covers them",
        "increase the log's retention and let an up-to-date instance write a snapshot"};
}

} // namespace flamingosaddle
