#include <flamingosaddle/control/usagedesk.h>

#include <flamingosaddle/base/delay.h>

#include <utility>

namespace flamingosaddle
{

UsageDesk::UsageDesk(const Platform &platform, const LeaseKeeper &leases, Options options)
    : platform(platform)
    , leases(leases)
    , options(std::move(options))
    , replica(platform, LogStream::Usage, LogStream::UsageSnapshot,
          LogReplicaHooks{
              [this] {
                  return this->usageLedger.nextOffset();
              },
              [this](std::string_view text) {
                  return this->restore(text);
              },
              [this](const LogRecord &record) {
                  this->takeRecord(record);
              },
              {},
          },
          this->options.seed)
    , appender(platform, LogStream::Usage, LogAppenderOptions{}, this->options.seed)
    , usageLedger(this->options.windowLength)
{
}

void UsageDesk::count(const ClientAccountId &clientAccount, const UsageTotals &totals)
{
    const auto now = static_cast<std::uint64_t>(this->options.wallTime().count());
    this->unflushed[{clientAccount, this->usageLedger.windowOf(now)}] += totals;
}

void UsageDesk::flush()
{
    if (this->unflushed.empty()) {
        return;
    }
    UsageRecord record;
    record.kind = UsageRecordKind::Counts;
    for (const auto &[key, totals] : this->unflushed) {
        record.counts.push_back({key.first, key.second, totals});
    }
    this->unflushed.clear();
    this->push(std::move(record));
}

boost::asio::awaitable<void> UsageDesk::runTail()
{
    return this->replica.run();
}

boost::asio::awaitable<void> UsageDesk::runAppender()
{
    return this->appender.run();
}

boost::asio::awaitable<void> UsageDesk::runFlush()
{
    while (!this->stopped) {
        this->flush();
        co_await delay(this->options.flushInterval);
    }
}

boost::asio::awaitable<void> UsageDesk::runReporter()
{
    while (!this->stopped) {
        if (this->leases.isHeld(this->options.role, RuntimeClock::now())) {
            this->closeEndedWindows();
            co_await this->reportPending();
        }
        co_await delay(this->options.reportInterval);
    }
}

void UsageDesk::stop()
{
    this->stopped = true;
    this->replica.stop();
    this->appender.stop();
}

const UsageLedger &UsageDesk::ledger() const
{
    return this->usageLedger;
}

std::size_t UsageDesk::unflushedCount() const
{
    return this->unflushed.size();
}

std::size_t UsageDesk::unappendedCount() const
{
    return this->appender.bufferedCount();
}

std::uint64_t UsageDesk::reportCount() const
{
    return this->reports;
}

Result<void> UsageDesk::restore(std::string_view text)
{
    BOOST_OUTCOME_TRY(ledger, decodeUsageSnapshot(text));
    if (ledger.nextOffset() > this->usageLedger.nextOffset()) {
        this->usageLedger = std::move(ledger);
    }
    return done();
}

void UsageDesk::takeRecord(const LogRecord &record)
{
    const Result<UsageRecord> decoded = decodeUsageRecord(record.body);
    if (decoded.has_error()) {
        this->usageLedger.skip(record.offset);
        return;
    }
    this->usageLedger.apply(record.offset, decoded.value());
    if (decoded.value().kind == UsageRecordKind::Confirm) {
        this->confirming.erase({decoded.value().clientAccount, decoded.value().window});
    }
}

void UsageDesk::closeEndedWindows()
{
    const std::chrono::seconds now = this->options.wallTime() - this->options.closeDelay;
    if (now < this->options.windowLength) {
        return;
    }
    const auto ended = static_cast<std::uint64_t>((now - this->options.windowLength).count());
    const std::uint64_t window = this->usageLedger.windowOf(ended);
    if (this->usageLedger.isClosed(window) || this->requestedClose > window) {
        return;
    }
    UsageRecord record;
    record.kind = UsageRecordKind::Close;
    record.window = window;
    this->requestedClose = window + 1;
    this->push(std::move(record));
}

boost::asio::awaitable<void> UsageDesk::reportPending()
{
    for (const UsageFigure &figure : this->usageLedger.pendingReports()) {
        const ReportKey key{figure.clientAccount, figure.window};
        if (this->confirming.contains(key)) {
            continue;
        }
        const bool taken = co_await this->report(figure);
        if (!taken) {
            co_return;
        }
        this->confirming.insert(key);
        UsageRecord record;
        record.kind = UsageRecordKind::Confirm;
        record.clientAccount = figure.clientAccount;
        record.window = figure.window;
        this->push(std::move(record));
    }
}

boost::asio::awaitable<bool> UsageDesk::report(const UsageFigure &figure)
{
    UsageReport report;
    report.clientAccount = figure.clientAccount.text();
    report.window = figure.window;
    report.requests = figure.totals.requests;
    report.promptTokens = figure.totals.promptTokens;
    report.completionTokens = figure.totals.completionTokens;
    report.fencing = this->leases.epoch(this->options.role);
    report.holder = this->options.self.text();
    ++this->reports;
    const Result<void> sent = co_await this->platform.reportUsage(std::move(report), [this] {
        return this->leases.remaining(this->options.role, RuntimeClock::now());
    });
    co_return sent.has_value();
}

void UsageDesk::push(UsageRecord record)
{
    record.id = this->nextId();
    this->appender.push(encodeUsageRecord(record));
}

RecordId UsageDesk::nextId()
{
    return {this->options.self, ++this->sequence};
}

} // namespace flamingosaddle
