#include <flamingosaddle/state/usageledger.h>

#include "recordfields.h"

#include <utility>

namespace flamingosaddle
{

template <>
struct EnumNames<UsageRecordKind> {
    static constexpr std::array values{
        std::pair{UsageRecordKind::Counts, "counts"},
        std::pair{UsageRecordKind::Close, "close"},
        std::pair{UsageRecordKind::Confirm, "confirm"},
    };
};

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<UsageTotals> value)
{
    archive.optional("requests", value.requests);
    archive.optional("promptTokens", value.promptTokens);
    archive.optional("completionTokens", value.completionTokens);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<UsageCount> value)
{
    archive.required("a", value.clientAccount);
    archive.required("w", value.window);
    archive.optional("r", value.totals.requests);
    archive.optional("p", value.totals.promptTokens);
    archive.optional("c", value.totals.completionTokens);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<UsageRecord> value)
{
    archive.required("id", value.id);
    archive.required("kind", value.kind);
    archive.optional("counts", value.counts);
    archive.optional("window", value.window);
    archive.optional("clientAccount", value.clientAccount);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<UsageFigure> value)
{
    archive.required("clientAccount", value.clientAccount);
    archive.required("window", value.window);
    archive.required("totals", value.totals);
    archive.required("corrections", value.corrections);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<UsageWriter> value)
{
    archive.required("writer", value.writer);
    archive.required("lastSequence", value.lastSequence);
    archive.required("closesBefore", value.closesBefore);
}

namespace
{

// A window or a count at the type's end would overflow when it is added to.
constexpr std::uint64_t maxUsageNumber = std::uint64_t{1} << 53;

struct UsageSnapshot {
    std::uint64_t next = 0;
    std::uint64_t windowSeconds = 0;
    std::uint64_t closes = 0;
    std::uint64_t openFrom = 0;
    std::vector<UsageFigure> figures;
    std::vector<UsageWriter> writers;
};

bool isInRange(const UsageCount &count)
{
    return count.window <= maxUsageNumber && count.totals.requests <= maxUsageNumber
        && count.totals.promptTokens <= maxUsageNumber && count.totals.completionTokens <= maxUsageNumber;
}

} // namespace

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<UsageSnapshot> value)
{
    archive.required("next", value.next);
    archive.required("windowSeconds", value.windowSeconds);
    archive.required("closes", value.closes);
    archive.required("openFrom", value.openFrom);
    archive.required("figures", value.figures);
    archive.required("writers", value.writers);
}

std::string encodeUsageRecord(const UsageRecord &record)
{
    return encodeRecord(record);
}

Result<UsageRecord> decodeUsageRecord(std::string_view text)
{
    Result<UsageRecord> record = decodeRecord<UsageRecord>(text);
    if (record.has_error()) {
        return record;
    }
    const std::vector<UsageCount> &counts = record.value().counts;
    if (record.value().window > maxUsageNumber || !std::all_of(counts.begin(), counts.end(), isInRange)) {
        return fail(ErrorKind::Protocol, "a window or a count is out of range", instanceRecordFormat.remedy);
    }
    return record;
}

class UsageSnapshotCodec
{
public:
    static UsageSnapshot toSnapshot(const UsageLedger &ledger)
    {
        UsageSnapshot snapshot{ledger.next, ledger.lengthSeconds, ledger.closes, ledger.openFrom, {}, {}};
        for (const auto &[slot, figure] : ledger.figures) {
            snapshot.figures.push_back(figure);
        }
        for (const auto &[incarnation, writer] : ledger.writers) {
            snapshot.writers.push_back(writer);
        }
        return snapshot;
    }

    static UsageLedger toLedger(const UsageSnapshot &snapshot)
    {
        UsageLedger ledger{std::chrono::seconds(snapshot.windowSeconds)};
        ledger.next = snapshot.next;
        ledger.closes = snapshot.closes;
        ledger.openFrom = snapshot.openFrom;
        for (const UsageFigure &figure : snapshot.figures) {
            ledger.figures[{figure.window, figure.clientAccount}] = figure;
        }
        for (const UsageWriter &writer : snapshot.writers) {
            ledger.writers[writer.writer] = writer;
        }
        return ledger;
    }
};

std::string encodeUsageSnapshot(const UsageLedger &ledger)
{
    return encodeRecord(UsageSnapshotCodec::toSnapshot(ledger));
}

Result<UsageLedger> decodeUsageSnapshot(std::string_view text)
{
    const Result<UsageSnapshot> snapshot = decodeRecord<UsageSnapshot>(text, snapshotFormat);
    if (snapshot.has_error()) {
        return fail(snapshot.error());
    }
    if (snapshot.value().windowSeconds == 0 || snapshot.value().windowSeconds > maxUsageNumber) {
        return fail(ErrorKind::Protocol, "field 'windowSeconds' is out of range", snapshotFormat.remedy);
    }
    return UsageSnapshotCodec::toLedger(snapshot.value());
}

} // namespace flamingosaddle
