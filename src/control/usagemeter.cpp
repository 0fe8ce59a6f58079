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
constexpr std::chrono::milliseconds firstRetryDelay(100);
constexpr std::chrono::milliseconds longestRetryDelay(500);
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
    , backoff(firstRetryDelay, longestRetryDelay, this->options.seed)
    , lastFlush(RuntimeClock::now())
{
}

void UsageMeter::count(const ClientAccountId &clientAccount, Duration ago)
{
    const std::chrono::milliseconds began = this->options.unixTime() - std::chrono::duration_cast<std::chrono::milliseconds>(ago);
    this->add(began, AccountCount{clientAccount, 1});
}

void UsageMeter::countTokens(const ClientAccountId &clientAccount, const TokenCounts &tokens)
{
    this->add(this->options.unixTime(), AccountCount{clientAccount, 0, tokens});
}

void UsageMeter::add(std::chrono::milliseconds unixTime, const AccountCount &count)
{
    // Nothing is added to windows that were announced to be complete.
    const std::uint64_t window = std::max(this->windowOf(unixTime), this->toldCompleteBefore);
    this->counted[window].add(count);
}

boost::asio::awaitable<void> UsageMeter::run()
{
    while (!this->stopped) {
        const TimePoint now = RuntimeClock::now();
        if (this->isFlushDue(now) && this->records.size() < maxPendingRecords) {
            this->cutRecord(false);
        }
        if (this->records.empty() && !this->hasGathered(now)) {
            co_await delay(tick);
            continue;
        }
        const bool passedOn = co_await this->passOn();
        co_await delay(passedOn ? Duration(tick) : this->backoff.next());
    }
}

boost::asio::awaitable<void> UsageMeter::finish(TimePoint deadline)
{
    this->stopped = true;
    this->cutRecord(true);
    while ((!this->records.empty() || !this->gathered.empty()) && RuntimeClock::now() < deadline) {
        const bool appended = co_await this->append();
        if (!appended) {
            co_await delay(firstRetryDelay);
        }
    }
}

void UsageMeter::stop()
{
    this->stopped = true;
}

void UsageMeter::setInstances(std::size_t count)
{
    this->instances = count;
}

void UsageMeter::noteTaken(std::uint64_t sequence)
{
    this->takenSequence = std::max(this->takenSequence, sequence);
}

void UsageMeter::gather(std::string record, std::function<void()> acknowledge)
{
    std::size_t bytes = record.size();
    for (const Gathered &other : this->gathered) {
        bytes += other.record.size();
    }
    // A record above the limits is dropped here; its sender appends it itself.
    if (!this->stopped && record.size() <= maxPeerRecordBytes && bytes <= maxPeerBatchBytes) {
        this->gathered.push_back({std::move(record), std::move(acknowledge)});
    }
}

bool UsageMeter::hasGathered(TimePoint now) const
{
    return !this->gathered.empty() && now - this->lastAppend >= this->options.gatherInterval;
}

std::size_t UsageMeter::waitingRecords() const
{
    return this->records.size() + (this->counted.empty() ? 0 : 1);
}

bool UsageMeter::isFlushDue(TimePoint now) const
{
    const std::uint64_t complete = this->windowOf(this->options.unixTime() - this->options.settleTime);
    return complete > this->toldCompleteBefore || (!this->counted.empty() && now - this->lastFlush >= this->flushInterval());
}

Duration UsageMeter::flushInterval() const
{
    const std::size_t factor = std::clamp<std::size_t>(this->instances / instancesPerFlushInterval, 1, maxFlushIntervalFactor);
    return this->options.flushInterval * static_cast<Duration::rep>(factor);
}

void UsageMeter::cutRecord(bool leaving)
{
    MeterRecord record;
    record.id = {this->options.self, ++this->sequence};
    record.leaving = leaving;
    record.completeBefore = this->windowOf(this->options.unixTime() - this->options.settleTime);
    for (const auto &[window, accounts] : this->counted) {
        record.windows.push_back({window, accounts.list()});
    }
    this->counted.clear();
    this->toldCompleteBefore = record.completeBefore;
    this->lastFlush = RuntimeClock::now();
    this->records.push_back(std::move(record));
}

boost::asio::awaitable<bool> UsageMeter::passOn()
{
    if (!this->records.empty() && this->gathered.empty()) {
        const bool isTaken = co_await this->isTakenByRelay();
        if (isTaken) {
            this->records.pop_front();
            this->backoff.reset();
            co_return true;
        }
    }
    const bool appended = co_await this->append();
    co_return appended;
}

boost::asio::awaitable<bool> UsageMeter::isTakenByRelay()
{
    const MeterRecord &record = this->records.front();
    const std::uint64_t sentSequence = record.id.sequence;
    if (!this->options.handToRelay(sentSequence, encodeMeterRecord(record))) {
        co_return false;
    }
    const TimePoint deadline = RuntimeClock::now() + this->options.relayAnswerLimit;
    while (!this->stopped && this->takenSequence < sentSequence && RuntimeClock::now() < deadline) {
        co_await delay(tick);
    }
    co_return this->takenSequence >= sentSequence;
}

boost::asio::awaitable<bool> UsageMeter::append()
{
    // A record is appended twice when the response was lost, or when a relay has appended it but its acknowledgement was lost.
    // Readers drop the duplicate by its sequence number.
    std::vector<std::string> batch;
    std::uint64_t ownSequence = 0;
    if (!this->records.empty()) {
        ownSequence = this->records.front().id.sequence;
        batch.push_back(encodeMeterRecord(this->records.front()));
    }
    std::deque<Gathered> others;
    others.swap(this->gathered);
    for (const Gathered &other : others) {
        batch.push_back(other.record);
    }
    this->lastAppend = RuntimeClock::now();
    const Result<std::uint64_t> offset = co_await this->hooks.appendCounts(std::move(batch));
    if (offset.has_error()) {
        // The writers of the other records get no acknowledgement and therefore append them themselves.
        co_return false;
    }
    // A concurrent flush() may have appended and removed the record already.
    if (!this->records.empty() && this->records.front().id.sequence == ownSequence) {
        this->records.pop_front();
    }
    for (const Gathered &other : others) {
        other.taken();
    }
    this->backoff.reset();
    co_return true;
}

std::uint64_t UsageMeter::windowOf(std::chrono::milliseconds unixTime) const
{
    return static_cast<std::uint64_t>(unixTime / this->options.windowLength);
}

} // namespace flamingosaddle
