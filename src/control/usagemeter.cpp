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
// Records that wait while the log is away; beyond them the newest take in what comes.
constexpr std::size_t maxWaitingRecords = 4;
// Instances that flush at the interval of the options; twice as many flush half as often.
constexpr std::size_t instancesAFlush = 4;
// Keeps the longest interval within half of the shortest windows, of 5 s.
constexpr std::size_t mostFlushIntervals = 3;

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
    // What was told to be complete stays so.
    const std::uint64_t window = std::max(this->windowOf(unixTime), this->toldCompleteBefore);
    this->counted[window].add(count);
}

boost::asio::awaitable<void> UsageMeter::run()
{
    while (!this->stopped) {
        if (this->isFlushDue(RuntimeClock::now()) && this->records.size() < maxWaitingRecords) {
            this->cutRecord(false);
        }
        if (this->records.empty()) {
            co_await delay(tick);
            continue;
        }
        const bool appended = co_await this->appendFront();
        co_await delay(appended ? Duration(tick) : this->backoff.next());
    }
}

boost::asio::awaitable<void> UsageMeter::finish(TimePoint deadline)
{
    this->stopped = true;
    this->cutRecord(true);
    while (!this->records.empty() && RuntimeClock::now() < deadline) {
        const bool appended = co_await this->appendFront();
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
    const std::size_t times = std::clamp<std::size_t>(this->instances / instancesAFlush, 1, mostFlushIntervals);
    return this->options.flushInterval * static_cast<Duration::rep>(times);
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

boost::asio::awaitable<bool> UsageMeter::appendFront()
{
    // A record whose answer was lost is appended again: readers know it by its number.
    const Result<std::uint64_t> offset = co_await this->hooks.appendCounts(encodeMeterRecord(this->records.front()));
    if (offset.has_error()) {
        co_return false;
    }
    this->records.pop_front();
    this->backoff.reset();
    co_return true;
}

std::uint64_t UsageMeter::windowOf(std::chrono::milliseconds unixTime) const
{
    return static_cast<std::uint64_t>(unixTime / this->options.windowLength);
}

} // namespace flamingosaddle
