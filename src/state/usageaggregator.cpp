#include <flamingosaddle/state/usageaggregator.h>

#include "recordfields.h"

#include <algorithm>

namespace flamingosaddle
{

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<TokenCounts> value)
{
    archive.required("p", value.prompt);
    archive.required("c", value.completion);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<AccountCount> value)
{
    archive.required("a", value.clientAccount);
    archive.required("r", value.requests);
    archive.optional("t", value.tokens);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<WindowCounts> value)
{
    archive.required("w", value.window);
    archive.required("counts", value.accounts);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<UsageRecord> value)
{
    archive.required("id", value.id);
    archive.required("windows", value.windows);
    archive.required("completeBefore", value.completeBefore);
    archive.optional("leaving", value.leaving);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<FinalizedWindow> value)
{
    archive.required("window", value.counts);
    archive.optional("reportedBefore", value.reportedBefore);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<UsageEpoch> value)
{
    archive.required("epoch", value.epoch);
    archive.required("firstWindow", value.firstWindow);
}

TokenCounts &TokenCounts::operator+=(const TokenCounts &other)
{
    this->prompt += other.prompt;
    this->completion += other.completion;
    return *this;
}

void AccountCount::add(const AccountCount &other)
{
    this->requests += other.requests;
    if (other.tokens.has_value()) {
        this->tokens = this->tokens.value_or(TokenCounts()) += *other.tokens;
    }
}

void AccountTotals::add(const AccountCount &count)
{
    this->totals.try_emplace(count.clientAccount, AccountCount{count.clientAccount}).first->second.add(count);
}

std::vector<AccountCount> AccountTotals::list() const
{
    std::vector<AccountCount> counts;
    counts.reserve(this->totals.size());
    for (const auto &[id, count] : this->totals) {
        counts.push_back(count);
    }
    return counts;
}

std::string encodeUsageEpoch(const UsageEpoch &epoch)
{
    return encodeRecord(epoch);
}

Result<UsageEpoch> decodeUsageEpoch(std::string_view text)
{
    return decodeRecord<UsageEpoch>(text);
}

std::string encodeUsageRecord(const UsageRecord &record)
{
    return encodeRecord(record);
}

std::string encodeFinalizedWindow(const FinalizedWindow &window)
{
    return encodeRecord(window);
}

Result<UsageRecord> decodeUsageRecord(std::string_view text)
{
    return decodeRecord<UsageRecord>(text);
}

Result<FinalizedWindow> decodeFinalizedWindow(std::string_view text)
{
    return decodeRecord<FinalizedWindow>(text);
}

void UsageAggregator::apply(const UsageRecord &record)
{
    Writer &writer = this->writers[record.id.writer];
    if (record.id.sequence <= writer.sequence) {
        return;
    }
    writer.sequence = record.id.sequence;
    writer.completeBefore = std::max(writer.completeBefore, record.completeBefore);
    writer.leaving = record.leaving;
    for (const WindowCounts &counts : record.windows) {
        if (counts.window < this->removedBefore) {
            continue;
        }
        for (const AccountCount &account : counts.accounts) {
            this->windows[counts.window].add(account);
        }
    }
}

void UsageAggregator::removeBefore(std::uint64_t window)
{
    this->removedBefore = std::max(this->removedBefore, window);
    this->windows.erase(this->windows.begin(), this->windows.lower_bound(window));
    std::erase_if(this->writers, [window](const auto &entry) {
        // The sum cannot overflow: windows are numbered from 1970. Writers are kept for another 60 windows.
        return entry.second.completeBefore + 60 < window;
    });
}

std::optional<std::uint64_t> UsageAggregator::firstWindow() const
{
    return this->windows.empty() ? std::nullopt : std::optional(this->windows.begin()->first);
}

WindowCounts UsageAggregator::countsOf(std::uint64_t window) const
{
    const auto found = this->windows.find(window);
    return {window, found == this->windows.end() ? std::vector<AccountCount>() : found->second.list()};
}

bool UsageAggregator::isComplete(std::uint64_t window) const
{
    bool any = false;
    for (const auto &[incarnation, writer] : this->writers) {
        const bool wasCounting = writer.completeBefore >= window;
        if (wasCounting && !writer.leaving && writer.completeBefore <= window) {
            return false;
        }
        any = any || wasCounting;
    }
    return any;
}

} // namespace flamingosaddle
