#include <flamingosaddle/control/usagemeter.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds tick(100);
constexpr std::chrono::milliseconds initialRetryDelay(100);
constexpr std::chrono::milliseconds maxRetryDelay(500);
// Limit on records that wait for the log. When it is reached, further counts accumulate for the next record.
constexpr std::size_t maxPendingRecords = 4;
// Limits on other instances' records. The log accepts 256 KiB in a record and 2 MiB in a call.
constexpr std::size_t maxPeerRecordBytes = std::size_t{128} << 10;
constexpr std::size_t maxPeerBatchBytes = std::size_t{1} << 20;
// Up to this number of instances flush at the configured interval; the interval grows in proportion to their number.
constexpr std::size_t instancesPerFlushInterval = 4;
// Keeps the longest interval below half of the shortest window, which is 5 s.
constexpr std::size_t maxFlushIntervalFactor = 3;

} // namespace

UsageMeter::UsageMeter(const DutyHooks &hooks, Options options)
    : hooks(hooks)
    , options(std::move(options))
    , backoff(initialRetryDelay, maxRetryDelay, this->options.seed)
    , lastFlushAt(RuntimeClock::now())
{
}

void UsageMeter::recordRequestStart(const ClientAccountId &clientAccount, Duration ago)
{
    const std::chrono::milliseconds began = this->options.unixTime() - std::chrono::duration_cast<std::chrono::milliseconds>(ago);
    this->addToWindow(began, AccountCount{clientAccount, 1});
}

void UsageMeter::recordTokens(const ClientAccountId &clientAccount, const TokenCounts &tokens)
{
    this->addToWindow(this->options.unixTime(), AccountCount{clientAccount, 0, tokens});
}

void UsageMeter::addToWindow(std::chrono::milliseconds unixTime, const AccountCount &count)
{
    // Nothing is added to windows that were announced to be complete.
    const std::uint64_t window = std::max(this->windowOf(unixTime), this->announcedCompleteBefore);
    this->countsByWindow[window].add(count);
}

boost::asio::awaitable<void> UsageMeter::run()
{
    while (!this->stopped) {
        const TimePoint now = RuntimeClock::now();
        if (this->isFlushDue(now) && this->pendingRecords.size() < maxPendingRecords) {
            this->buildRecord(false);
        }
        if (this->pendingRecords.empty() && !this->isPeerBatchDue(now)) {
            co_await delay(tick);
            continue;
        }
        const bool passedOn = co_await this->flushNext();
        co_await delay(passedOn ? Duration(tick) : this->backoff.next());
    }
}

boost::asio::awaitable<void> UsageMeter::flush(TimePoint deadline)
{
    this->stopped = true;
    this->buildRecord(true);
    while ((!this->pendingRecords.empty() || !this->peerRecords.empty()) && RuntimeClock::now() < deadline) {
        const bool appended = co_await this->appendBatch();
        if (!appended) {
            co_await delay(initialRetryDelay);
        }
    }
}

void UsageMeter::stop()
{
    this->stopped = true;
}

void UsageMeter::setInstanceCount(std::size_t count)
{
    this->instanceCount = count;
}

void UsageMeter::onRelayAcknowledged(std::uint64_t sequence)
{
    this->acknowledgedSequence = std::max(this->acknowledgedSequence, sequence);
}

void UsageMeter::enqueuePeerRecord(std::string record, std::function<void()> acknowledge)
{
    std::size_t bytes = record.size();
    for (const PeerRecord &other : this->peerRecords) {
        bytes += other.record.size();
    }
    // A record above the limits is dropped here; its sender appends it itself.
    if (!this->stopped && record.size() <= maxPeerRecordBytes && bytes <= maxPeerBatchBytes) {
        this->peerRecords.push_back({std::move(record), std::move(acknowledge)});
    }
}

bool UsageMeter::isPeerBatchDue(TimePoint now) const
{
    return !this->peerRecords.empty() && now - this->lastAppendAt >= this->options.peerBatchInterval;
}

std::size_t UsageMeter::pendingRecordCount() const
{
    return this->pendingRecords.size() + (this->countsByWindow.empty() ? 0 : 1);
}

bool UsageMeter::isFlushDue(TimePoint now) const
{
    const std::uint64_t complete = this->windowOf(this->options.unixTime() - this->options.gracePeriod);
    return complete > this->announcedCompleteBefore
        || (!this->countsByWindow.empty() && now - this->lastFlushAt >= this->flushInterval());
}

Duration UsageMeter::flushInterval() const
{
    const std::size_t factor
        = std::clamp<std::size_t>(this->instanceCount / instancesPerFlushInterval, 1, maxFlushIntervalFactor);
    return this->options.flushInterval * static_cast<Duration::rep>(factor);
}

void UsageMeter::buildRecord(bool leaving)
{
    UsageRecord record;
    record.id = {this->options.self, ++this->sequence};
    record.leaving = leaving;
    record.completeBefore = this->windowOf(this->options.unixTime() - this->options.gracePeriod);
    for (const auto &[window, accounts] : this->countsByWindow) {
        record.windows.push_back({window, accounts.list()});
    }
    this->countsByWindow.clear();
    this->announcedCompleteBefore = record.completeBefore;
    this->lastFlushAt = RuntimeClock::now();
    this->pendingRecords.push_back(std::move(record));
}

boost::asio::awaitable<bool> UsageMeter::flushNext()
{
    if (!this->pendingRecords.empty() && this->peerRecords.empty()) {
        const bool isTaken = co_await this->sendNextToRelay();
        if (isTaken) {
            this->pendingRecords.pop_front();
            this->backoff.reset();
            co_return true;
        }
    }
    const bool appended = co_await this->appendBatch();
    co_return appended;
}

boost::asio::awaitable<bool> UsageMeter::sendNextToRelay()
{
    const UsageRecord &record = this->pendingRecords.front();
    const std::uint64_t sentSequence = record.id.sequence;
    if (!this->options.sendToRelay(sentSequence, encodeUsageRecord(record))) {
        co_return false;
    }
    const TimePoint deadline = RuntimeClock::now() + this->options.relayTimeout;
    while (!this->stopped && this->acknowledgedSequence < sentSequence && RuntimeClock::now() < deadline) {
        co_await delay(tick);
    }
    co_return this->acknowledgedSequence >= sentSequence;
}

boost::asio::awaitable<bool> UsageMeter::appendBatch()
{
    // A record is appended twice when the response was lost, or when a relay has appended it but its acknowledgement was lost.
    // Readers drop the duplicate by its sequence number.
    std::vector<std::string> batch;
    std::uint64_t ownSequence = 0;
    if (!this->pendingRecords.empty()) {
        ownSequence = this->pendingRecords.front().id.sequence;
        batch.push_back(encodeUsageRecord(this->pendingRecords.front()));
    }
    std::deque<PeerRecord> others;
    others.swap(this->peerRecords);
    for (const PeerRecord &other : others) {
        batch.push_back(other.record);
    }
    this->lastAppendAt = RuntimeClock::now();
    const Result<std::uint64_t> offset = co_await this->hooks.appendCounts(std::move(batch));
    if (offset.has_error()) {
        // The writers of the other records get no acknowledgement and therefore append them themselves.
        co_return false;
    }
    // A concurrent flush() may have appended and removed the record already.
    if (!this->pendingRecords.empty() && this->pendingRecords.front().id.sequence == ownSequence) {
        this->pendingRecords.pop_front();
    }
    for (const PeerRecord &other : others) {
        other.acknowledge();
    }
    this->backoff.reset();
    co_return true;
}

std::uint64_t UsageMeter::windowOf(std::chrono::milliseconds unixTime) const
{
    return static_cast<std::uint64_t>(unixTime / this->options.windowLength);
}

} // namespace flamingosaddle
