#pragma once

#include <flamingosaddle/base/id.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/incarnation.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/**
 * Usage windows, whose figures the order of the `usage` stream fixes.
 *
 * The instance that served a request counts it and appends its counts in batches. The first Close record in log order
 * that covers a window fixes the window's figures: the counts before it are in, and later ones go to the next window as
 * a stated correction. So everyone who reports a window sends the same figures, and none is ever restated.
 *
 * Counting each batch once asks two things of its writer: a batch never changes once its sequence number is given (a
 * peer may then append a copy of it on behalf of a dead writer), and a batch is appended only when the one before it
 * is known to be in the log.
 */
namespace flamingosaddle
{

struct UsageTotals {
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;

    UsageTotals &operator+=(const UsageTotals &other);
    bool isZero() const;

    friend bool operator==(const UsageTotals &, const UsageTotals &) = default;
};

/**
 * Usage of one client account in one window.
 */
struct UsageCount {
    ClientAccountId clientAccount;
    std::uint64_t window = 0; ///< start of the window, seconds of wall time
    UsageTotals totals;

    friend bool operator==(const UsageCount &, const UsageCount &) = default;
};

enum class UsageRecordKind {
    Counts,
    Close, ///< closes all windows up to and including `window`
    Confirm, ///< the usage-report interface has taken the figure of `clientAccount` and `window`
};

/**
 * One record of the `usage` stream.
 */
struct UsageRecord {
    RecordId id;
    UsageRecordKind kind = UsageRecordKind::Counts;
    std::vector<UsageCount> counts; ///< of Counts
    std::uint64_t window = 0; ///< of Close and Confirm
    ClientAccountId clientAccount; ///< of Confirm

    friend bool operator==(const UsageRecord &, const UsageRecord &) = default;
};

std::string encodeUsageRecord(const UsageRecord &record);

/**
 * Fails with Protocol when @p text is no usage record. Never throws, whatever the bytes.
 */
Result<UsageRecord> decodeUsageRecord(std::string_view text);

/**
 * What is reported for one client account and window.
 */
struct UsageFigure {
    ClientAccountId clientAccount;
    std::uint64_t window = 0;
    UsageTotals totals; ///< everything to report, corrections included
    UsageTotals corrections; ///< the part that belongs to windows closed before it came

    friend bool operator==(const UsageFigure &, const UsageFigure &) = default;
};

/**
 * How far the batches of one writer are counted.
 */
struct UsageWriter {
    Incarnation writer;
    std::uint64_t lastSequence = 0;
    std::uint64_t closesBefore = 0; ///< closes that the ledger had taken when the last batch came

    friend bool operator==(const UsageWriter &, const UsageWriter &) = default;
};

/**
 * The windows after some prefix of the `usage` stream; the same on every reader with the same window length.
 */
class UsageLedger
{
public:
    explicit UsageLedger(std::chrono::seconds windowLength);

    // Commands.

    /** Applies the record at @p offset. Answers whether it changed anything. */
    bool apply(std::uint64_t offset, const UsageRecord &record);

    /** Passes over a record that could not be decoded. */
    void skip(std::uint64_t offset);

    // Queries.

    /** Start of the window that holds @p time, seconds of wall time. */
    std::uint64_t windowOf(std::uint64_t time) const;

    bool isClosed(std::uint64_t window) const;

    /** Start of the last closed window; nothing before the first Close. */
    std::optional<std::uint64_t> closedThrough() const;

    /** Figures of closed windows that are not confirmed, oldest window first. */
    std::vector<UsageFigure> pendingReports() const;

    /** The figure as it stands: fixed when the window is closed, nothing when it is zero or confirmed. */
    std::optional<UsageFigure> figure(const ClientAccountId &clientAccount, std::uint64_t window) const;

    std::uint64_t nextOffset() const;

    friend bool operator==(const UsageLedger &, const UsageLedger &) = default;

    /** A writer without batches over this many closes is forgotten; repetitions of its batches must have ended. */
    static constexpr std::uint64_t writerRetentionCloses = 24;

private:
    friend class UsageSnapshotCodec;

    struct Slot {
        std::uint64_t window = 0;
        ClientAccountId clientAccount;

        friend auto operator<=>(const Slot &, const Slot &) = default;
    };

    bool count(const UsageRecord &record);
    bool close(std::uint64_t window);
    bool confirm(const ClientAccountId &clientAccount, std::uint64_t window);
    void add(const UsageCount &count);

    std::uint64_t lengthSeconds;
    std::map<Slot, UsageFigure> figures; // open, or closed and not confirmed
    std::map<Incarnation, UsageWriter> writers;
    std::uint64_t closes = 0; // Close records that closed something
    std::uint64_t openFrom = 0; // start of the first window that is not closed
    std::uint64_t next = 0;
};

std::string encodeUsageSnapshot(const UsageLedger &ledger);

/**
 * Fails with Protocol when @p text is no snapshot. Never throws, whatever the bytes.
 */
Result<UsageLedger> decodeUsageSnapshot(std::string_view text);

} // namespace flamingosaddle
