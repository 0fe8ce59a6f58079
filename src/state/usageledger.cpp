#include <flamingosaddle/state/usageledger.h>

#include <algorithm>
#include <iterator>

namespace flamingosaddle
{

UsageTotals &UsageTotals::operator+=(const UsageTotals &other)
{
    this->requests += other.requests;
    this->promptTokens += other.promptTokens;
    this->completionTokens += other.completionTokens;
    return *this;
}

bool UsageTotals::isZero() const
{
    return *this == UsageTotals();
}

UsageLedger::UsageLedger(std::chrono::seconds windowLength)
    : lengthSeconds(std::max<std::uint64_t>(1, static_cast<std::uint64_t>(windowLength.count())))
{
}

// Commands.

bool UsageLedger::apply(std::uint64_t offset, const UsageRecord &record)
{
    if (offset < this->next) {
        return false;
    }
    this->next = offset + 1;
    switch (record.kind) {
    case UsageRecordKind::Counts:
        return this->count(record);
    case UsageRecordKind::Close:
        return this->close(this->windowOf(record.window));
    case UsageRecordKind::Confirm:
        return this->confirm(record.clientAccount, this->windowOf(record.window));
    }
    return false;
}

void UsageLedger::skip(std::uint64_t offset)
{
    this->next = std::max(this->next, offset + 1);
}

bool UsageLedger::count(const UsageRecord &record)
{
    UsageWriter &writer = this->writers[record.id.writer];
    if (record.id.sequence <= writer.lastSequence) {
        return false;
    }
    writer.writer = record.id.writer;
    writer.lastSequence = record.id.sequence;
    writer.closesBefore = this->closes;
    for (const UsageCount &entry : record.counts) {
        this->add(entry);
    }
    return true;
}

void UsageLedger::add(const UsageCount &count)
{
    if (count.totals.isZero()) {
        return;
    }
    const std::uint64_t own = this->windowOf(count.window);
    const std::uint64_t window = std::max(own, this->openFrom);
    UsageFigure &figure = this->figures[{window, count.clientAccount}];
    figure.clientAccount = count.clientAccount;
    figure.window = window;
    figure.totals += count.totals;
    if (own != window) {
        figure.corrections += count.totals;
    }
}

bool UsageLedger::close(std::uint64_t window)
{
    // Without this bound one wrong clock could close the windows of the years to come.
    const bool isCounted = !this->figures.empty() && window <= this->figures.rbegin()->first.window;
    if (window < this->openFrom || !isCounted) {
        return false;
    }
    this->openFrom = window + this->lengthSeconds;
    ++this->closes;
    std::erase_if(this->writers, [this](const auto &entry) {
        return entry.second.closesBefore + writerRetentionCloses < this->closes;
    });
    return true;
}

bool UsageLedger::confirm(const ClientAccountId &clientAccount, std::uint64_t window)
{
    return this->isClosed(window) && this->figures.erase({window, clientAccount}) > 0;
}

// Queries.

std::uint64_t UsageLedger::windowOf(std::uint64_t time) const
{
    return time - time % this->lengthSeconds;
}

bool UsageLedger::isClosed(std::uint64_t window) const
{
    return window < this->openFrom;
}

std::optional<std::uint64_t> UsageLedger::closedThrough() const
{
    if (this->openFrom == 0) {
        return std::nullopt;
    }
    return this->openFrom - this->lengthSeconds;
}

std::vector<UsageFigure> UsageLedger::pendingReports() const
{
    std::vector<UsageFigure> pending;
    for (const auto &[slot, figure] : this->figures) {
        if (!this->isClosed(slot.window)) {
            break;
        }
        pending.push_back(figure);
    }
    return pending;
}

std::optional<UsageFigure> UsageLedger::figure(const ClientAccountId &clientAccount, std::uint64_t window) const
{
    const auto found = this->figures.find({this->windowOf(window), clientAccount});
    if (found == this->figures.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::uint64_t UsageLedger::nextOffset() const
{
    return this->next;
}

} // namespace flamingosaddle
