#include <flamingosaddle/control/usagereporter.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr const char *keyPrefix = "usage/";
constexpr const char *epochKey = "usage-epoch";

/** Returns whether the stored decision is about the same window as @p other, or a later one of the same key. */
bool isNewerWindow(const std::string &stored, const std::string &other)
{
    const Result<FinalizedWindow> storedWindow = decodeFinalizedWindow(stored);
    const Result<FinalizedWindow> otherWindow = decodeFinalizedWindow(other);
    return storedWindow.has_value()
        && (otherWindow.has_error() || storedWindow.value().counts.window >= otherWindow.value().counts.window);
}

} // namespace

UsageReporter::UsageReporter(const DutyHooks &hooks, DutyLog &duties, Options options)
    : hooks(hooks)
    , dutyLog(duties)
    , options(std::move(options))
{
}

boost::asio::awaitable<void> UsageReporter::run()
{
    while (!this->stopped) {
        if (this->dutyLog.isLeading()) {
            FixedWindows fixed = this->fixedWindows();
            const std::optional<UsageEpoch> epoch = this->currentEpoch();
            if (!epoch.has_value()) {
                this->enqueueEpoch();
            } else if (this->hasUnfixedWindow(fixed)) {
                co_await this->readCounts();
                // The duty log may have advanced during the read.
                fixed = this->fixedWindows();
                this->fixEndedWindow(fixed, *epoch);
            }
            co_await this->reportFixedWindows(fixed);
        }
        co_await delay(this->options.tickInterval);
    }
}

void UsageReporter::stop()
{
    this->stopped = true;
}

boost::asio::awaitable<void> UsageReporter::readCounts()
{
    const Result<LogBatch> batch = co_await this->hooks.readCounts(this->nextCountsOffset);
    if (batch.has_error()) {
        logEvent(LogLevel::Warning, "control", "usage counts could not be read",
            {{"from", std::to_string(this->nextCountsOffset)}, {"reason", batch.error().text()}});
        co_return;
    }
    for (const LogRecord &record : batch.value().records) {
        const Result<UsageRecord> counts = decodeUsageRecord(record.body);
        if (counts.has_value()) {
            this->usageAggregator.apply(counts.value());
        } else {
            logEvent(LogLevel::Warning, "control", "undecodable record of usage counts was skipped",
                {{"reason", counts.error().text()}});
        }
    }
    this->nextCountsOffset = batch.value().nextOffset;
}

UsageReporter::FixedWindows UsageReporter::fixedWindows() const
{
    FixedWindows fixed;
    for (const auto *decisions : {&this->dutyLog.decisions(), &this->dutyLog.earlierDecisions()}) {
        for (const auto &[key, value] : *decisions) {
            Result<FinalizedWindow> window = decodeFinalizedWindow(key.starts_with(keyPrefix) ? value : std::string());
            if (window.has_value()) {
                const std::uint64_t number = window.value().counts.window;
                fixed.emplace(number, std::move(window.value()));
            }
        }
    }
    return fixed;
}

std::optional<UsageEpoch> UsageReporter::currentEpoch() const
{
    if (this->dutyLog.epoch() == 0) {
        return UsageEpoch(); // the store has never been restored
    }
    const auto found = this->dutyLog.decisions().find(epochKey);
    const Result<UsageEpoch> recorded
        = decodeUsageEpoch(found == this->dutyLog.decisions().end() ? std::string() : found->second);
    const bool isCurrent = recorded.has_value() && recorded.value().epoch == this->dutyLog.epoch();
    return isCurrent ? std::optional(recorded.value()) : std::nullopt;
}

void UsageReporter::enqueueEpoch()
{
    if (this->dutyLog.hasPendingDecision(epochKey)) {
        return;
    }
    UsageEpoch epoch{this->dutyLog.epoch(), 0};
    if (!this->dutyLog.knowsEarlierDecisions()) {
        epoch.firstWindow = static_cast<std::uint64_t>(this->options.unixTime() / this->options.windowLength);
    }
    logEvent(LogLevel::Info, "control", "usage windows of before the store was restored",
        {{"epoch", std::to_string(epoch.epoch)}, {"first_window", std::to_string(epoch.firstWindow)},
            {"known", std::to_string(this->dutyLog.earlierDecisions().size())}});
    for (const auto &[key, value] : this->dutyLog.earlierDecisions()) {
        const auto stored = this->dutyLog.decisions().find(key);
        const bool isStored = stored != this->dutyLog.decisions().end() && isNewerWindow(stored->second, value);
        if (key.starts_with(keyPrefix) && !isStored) {
            this->dutyLog.enqueueDecision(key, value);
        }
    }
    this->dutyLog.enqueueDecision(epochKey, encodeUsageEpoch(epoch));
}

bool UsageReporter::isReadyToFix(std::uint64_t window) const
{
    const std::chrono::milliseconds sinceEnd
        = this->options.unixTime() - this->options.windowLength * static_cast<std::int64_t>(window + 1);
    if (sinceEnd < this->options.gracePeriod) {
        return false;
    }
    return sinceEnd >= this->options.silentInstanceTimeout || this->usageAggregator.isComplete(window);
}

bool UsageReporter::hasUnfixedWindow(const FixedWindows &fixed) const
{
    const std::chrono::milliseconds settled = this->options.unixTime() - this->options.gracePeriod;
    const auto running = static_cast<std::uint64_t>(settled / this->options.windowLength);
    return fixed.empty() || fixed.rbegin()->first + 1 < running;
}

void UsageReporter::fixEndedWindow(const FixedWindows &fixed, const UsageEpoch &epoch)
{
    const std::optional<std::uint64_t> first = this->usageAggregator.firstWindow();
    if (fixed.empty() && !first.has_value()) {
        return;
    }
    const auto now = static_cast<std::uint64_t>(this->options.unixTime() / this->options.windowLength);
    const auto oldest = now - static_cast<std::uint64_t>(this->options.maxReportDelay / this->options.windowLength);
    std::uint64_t window = fixed.empty() ? *first : fixed.rbegin()->first + 1;
    window = std::max({window, oldest, epoch.firstWindow});
    const std::string key = keyPrefix + std::to_string(window % windowSlots);
    if (!this->isReadyToFix(window) || this->dutyLog.hasPendingDecision(key)) {
        return;
    }
    const FinalizedWindow decision{this->usageAggregator.countsOf(window), this->reportedBefore(fixed)};
    this->dutyLog.enqueueDecision(key, encodeFinalizedWindow(decision));
    this->usageAggregator.removeBefore(window > windowSlots ? window - windowSlots : 0);
}

std::uint64_t UsageReporter::reportedBefore(const FixedWindows &fixed) const
{
    std::uint64_t before = 0;
    for (const auto &[window, decision] : fixed) {
        before = std::max(before, decision.reportedBefore);
    }
    for (const auto &[window, decision] : fixed) {
        if (window < before) {
            continue;
        }
        if (!this->reportedWindows.contains(window)) {
            return window;
        }
        before = window + 1;
    }
    return before;
}

boost::asio::awaitable<void> UsageReporter::reportFixedWindows(FixedWindows fixed)
{
    const std::uint64_t from = this->reportedBefore(fixed);
    for (const auto &[window, decision] : fixed) {
        if (window < from || this->reportedWindows.contains(window)) {
            continue;
        }
        if (!this->dutyLog.isLeading() || this->stopped) {
            co_return;
        }
        const FencingToken stamp = this->dutyLog.fencingToken();
        const Result<void> sent = co_await this->hooks.reportWindow(decision.counts, stamp, this->dutyLog.permission());
        if (sent.has_error()) {
            logEvent(LogLevel::Warning, "control", "a usage report was not taken",
                {{"window", std::to_string(window)}, {"fence", std::to_string(stamp.fencingNumber)},
                    {"reason", sent.error().text()}});
            if (sent.error().kind() == ErrorKind::Conflict) {
                this->dutyLog.stepDown();
            }
            co_return;
        }
        logEvent(LogLevel::Info, "control", "usage reported",
            {{"window", std::to_string(window)}, {"fence", std::to_string(stamp.fencingNumber)},
                {"accounts", std::to_string(decision.counts.accounts.size())}});
        this->reportedWindows.insert(window);
    }
    while (this->reportedWindows.size() > 4 * windowSlots) {
        this->reportedWindows.erase(this->reportedWindows.begin());
    }
}

} // namespace flamingosaddle
