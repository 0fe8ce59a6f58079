#include <flamingosaddle/control/windowreporter.h>

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

} // namespace

WindowReporter::WindowReporter(const DutyHooks &hooks, DutyLog &duties, Options options)
    : hooks(hooks)
    , duties(duties)
    , options(std::move(options))
{
}

boost::asio::awaitable<void> WindowReporter::run()
{
    while (!this->stopped) {
        if (this->duties.isLeading()) {
            FixedWindows fixed = this->fixedWindows();
            if (this->hasUnfixedWindow(fixed)) {
                co_await this->readCounts();
                // The duty log may have advanced during the read.
                fixed = this->fixedWindows();
                this->fixEnded(fixed);
            }
            co_await this->reportFixed(fixed);
        }
        co_await delay(this->options.tick);
    }
}

void WindowReporter::stop()
{
    this->stopped = true;
}

boost::asio::awaitable<void> WindowReporter::readCounts()
{
    const Result<LogBatch> batch = co_await this->hooks.readCounts(this->next);
    if (batch.has_error()) {
        logStateChange(LogLevel::Warning, "control", "usage counts could not be read",
            {{"from", std::to_string(this->next)}, {"reason", batch.error().text()}});
        co_return;
    }
    for (const LogRecord &record : batch.value().records) {
        const Result<MeterRecord> counts = decodeMeterRecord(record.body);
        if (counts.has_value()) {
            this->book.apply(counts.value());
        } else {
            logStateChange(LogLevel::Warning, "control", "undecodable record of usage counts was skipped",
                {{"reason", counts.error().text()}});
        }
    }
    this->next = batch.value().nextOffset;
}

WindowReporter::FixedWindows WindowReporter::fixedWindows() const
{
    FixedWindows fixed;
    for (const auto &[key, value] : this->duties.decisions()) {
        if (!key.starts_with(keyPrefix)) {
            continue;
        }
        Result<FixedWindow> window = decodeFixedWindow(value);
        if (window.has_value()) {
            const std::uint64_t number = window.value().counts.window;
            fixed.emplace(number, std::move(window.value()));
        }
    }
    return fixed;
}

bool WindowReporter::isDue(std::uint64_t window) const
{
    const std::chrono::milliseconds sinceEnd
        = this->options.unixTime() - this->options.windowLength * static_cast<std::int64_t>(window + 1);
    if (sinceEnd < this->options.settleTime) {
        return false;
    }
    return sinceEnd >= this->options.patience || this->book.isComplete(window);
}

bool WindowReporter::hasUnfixedWindow(const FixedWindows &fixed) const
{
    const std::chrono::milliseconds settled = this->options.unixTime() - this->options.settleTime;
    const auto running = static_cast<std::uint64_t>(settled / this->options.windowLength);
    return fixed.empty() || fixed.rbegin()->first + 1 < running;
}

void WindowReporter::fixEnded(const FixedWindows &fixed)
{
    const std::optional<std::uint64_t> first = this->book.firstWindow();
    if (fixed.empty() && !first.has_value()) {
        return;
    }
    const auto now = static_cast<std::uint64_t>(this->options.unixTime() / this->options.windowLength);
    const auto oldest = now - static_cast<std::uint64_t>(this->options.longestDelay / this->options.windowLength);
    std::uint64_t window = fixed.empty() ? *first : fixed.rbegin()->first + 1;
    window = std::max(window, oldest);
    const std::string key = keyPrefix + std::to_string(window % slots);
    if (!this->isDue(window) || this->duties.hasPending(key)) {
        return;
    }
    const FixedWindow decision{this->book.countsOf(window), this->reportedBefore(fixed)};
    this->duties.decide(key, encodeFixedWindow(decision));
    this->book.forgetBefore(window > slots ? window - slots : 0);
}

std::uint64_t WindowReporter::reportedBefore(const FixedWindows &fixed) const
{
    std::uint64_t before = 0;
    for (const auto &[window, decision] : fixed) {
        before = std::max(before, decision.reportedBefore);
    }
    for (const auto &[window, decision] : fixed) {
        if (window < before) {
            continue;
        }
        if (!this->reported.contains(window)) {
            return window;
        }
        before = window + 1;
    }
    return before;
}

boost::asio::awaitable<void> WindowReporter::reportFixed(FixedWindows fixed)
{
    const std::uint64_t from = this->reportedBefore(fixed);
    for (const auto &[window, decision] : fixed) {
        if (window < from || this->reported.contains(window)) {
            continue;
        }
        if (!this->duties.isLeading() || this->stopped) {
            co_return;
        }
        const DutyStamp stamp = this->duties.stamp();
        const Result<void> sent = co_await this->hooks.reportWindow(decision.counts, stamp, this->duties.permission());
        if (sent.has_error()) {
            logStateChange(LogLevel::Warning, "control", "a usage report was not taken",
                {{"window", std::to_string(window)}, {"fence", std::to_string(stamp.fence)}, {"reason", sent.error().text()}});
            if (sent.error().kind() == ErrorKind::Conflict) {
                this->duties.lose();
            }
            co_return;
        }
        logStateChange(LogLevel::Info, "control", "usage reported",
            {{"window", std::to_string(window)}, {"fence", std::to_string(stamp.fence)},
                {"accounts", std::to_string(decision.counts.accounts.size())}});
        this->reported.insert(window);
    }
    while (this->reported.size() > 4 * slots) {
        this->reported.erase(this->reported.begin());
    }
}

} // namespace flamingosaddle
