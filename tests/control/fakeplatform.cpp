#include "fakeplatform.h"

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/platform/storeoffset.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds pollInterval(1);
constexpr std::size_t maxBatchBytes = 1 << 20; ///< bytes of one batch

// Waits by the real clock: the platform is another process, which a paused clock of this one does not stop.
boost::asio::awaitable<void> realTimeDelay(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

// Consumes one of @p count faults. Returns whether there was one.
bool consumeFault(std::uint32_t &count)
{
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

auto unreachable()
{
    return fail(ErrorKind::Unreachable, "the log is unreachable", "retry later");
}

auto lostResponse()
{
    return fail(ErrorKind::Timeout, "no response", "check whether the call took effect");
}

} // namespace

Platform FakePlatform::hooks()
{
    Platform platform;
    platform.append = [this](LogStream stream, std::string body) {
        return this->append(stream, std::move(body));
    };
    platform.read = [this](LogStream stream, std::uint64_t from, std::chrono::milliseconds wait) {
        return this->read(stream, from, wait);
    };
    platform.bounds = [this](LogStream stream) {
        return this->bounds(stream);
    };
    platform.registerInstance
        = [this](const Incarnation &, const Endpoint &) -> Platform::AsyncResult<std::vector<InstanceEntry>> {
        co_return this->instanceList;
    };
    platform.saveSnapshot = [this](LogStream stream, std::string snapshot) {
        return this->saveSnapshot(stream, std::move(snapshot));
    };
    platform.newestSnapshot = [this](LogStream stream) {
        return this->newestSnapshot(stream);
    };
    return platform;
}

Platform::AsyncResult<std::uint64_t> FakePlatform::append(LogStream stream, std::string body)
{
    if (this->isLogDown) {
        co_return unreachable();
    }
    if (this->beforeAppend) {
        this->beforeAppend(stream);
    }
    const std::optional<std::uint64_t> offset = this->log.append(toString(stream), std::move(body));
    if (consumeFault(this->lostAppendResponses)) {
        co_return lostResponse();
    }
    co_return makeOffset(this->epoch, offset.value());
}

Platform::AsyncResult<LogBatch> FakePlatform::read(LogStream stream, std::uint64_t from, std::chrono::milliseconds wait)
{
    if (this->isLogDown) {
        co_return unreachable();
    }
    if (from > this->boundsOf(stream).endOffset) {
        co_return fail(ErrorKind::Trimmed, "the log does not have this offset", "start from a snapshot");
    }
    const TimePoint deadline = RuntimeClock::now() + wait;
    while (this->boundsOf(stream).endOffset <= from && RuntimeClock::now() < deadline && !this->isLogDown) {
        co_await realTimeDelay(pollInterval);
    }
    if (this->isLogDown) {
        co_return unreachable();
    }
    const LogBounds bounds = this->boundsOf(stream);
    if (from < bounds.firstOffset || epochOf(from) != this->epoch) {
        co_return fail(ErrorKind::Trimmed, "the oldest record is " + std::to_string(bounds.firstOffset), "start from a snapshot");
    }
    LogBatch batch{bounds.firstOffset, from, bounds.endOffset, {}};
    for (standins::StoredRecord &record : this->log.read(toString(stream), positionOf(from), maxBatchBytes)) {
        const std::uint64_t offset = makeOffset(this->epoch, record.offset);
        batch.nextOffset = offset + 1;
        batch.records.push_back({offset, std::move(record.body)});
    }
    co_return batch;
}

Platform::AsyncResult<LogBounds> FakePlatform::bounds(LogStream stream)
{
    if (this->isLogDown) {
        co_return unreachable();
    }
    co_return this->boundsOf(stream);
}

Platform::AsyncResult<void> FakePlatform::saveSnapshot(LogStream stream, std::string snapshot)
{
    if (this->isLogDown) {
        co_return unreachable();
    }
    this->snapshots[stream] = std::move(snapshot);
    co_return success();
}

Platform::AsyncResult<std::optional<std::string>> FakePlatform::newestSnapshot(LogStream stream) const
{
    if (this->isLogDown) {
        co_return unreachable();
    }
    const auto found = this->snapshots.find(stream);
    if (this->afterSnapshot && found != this->snapshots.end()) {
        this->afterSnapshot(stream);
    }
    co_return found == this->snapshots.end() ? std::nullopt : std::optional(found->second);
}

LogBounds FakePlatform::boundsOf(LogStream stream) const
{
    return {
        makeOffset(this->epoch, this->log.first(toString(stream))), makeOffset(this->epoch, this->log.head(toString(stream)))};
}

} // namespace flamingosaddle
