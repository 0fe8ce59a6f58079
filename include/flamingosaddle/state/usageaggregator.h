#pragma once

#include <flamingosaddle/base/id.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/incarnation.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace flamingosaddle
{

struct TokenCounts {
    std::uint64_t prompt = 0;
    std::uint64_t completion = 0;

    TokenCounts &operator+=(const TokenCounts &other);

    friend bool operator==(const TokenCounts &, const TokenCounts &) = default;
};

/**
 * A client account's usage in one window: the requests that backend servers started in it, and the tokens of the requests
 * that ended in it.
 */
struct AccountCount {
    ClientAccountId clientAccount;
    std::uint64_t requests = 0;
    std::optional<TokenCounts> tokens = std::nullopt; ///< nothing if no tokens were counted

    /** Adds the counts of the same client account. */
    void add(const AccountCount &other);

    friend bool operator==(const AccountCount &, const AccountCount &) = default;
};

/**
 * Sums of counts by client account.
 */
class AccountTotals
{
public:
    void add(const AccountCount &count);
    std::vector<AccountCount> list() const; ///< sorted by client account

private:
    std::map<ClientAccountId, AccountCount> totals;
};

struct WindowCounts {
    std::uint64_t window = 0; ///< number of the window, counted from the beginning of 1970
    std::vector<AccountCount> accounts;

    friend bool operator==(const WindowCounts &, const WindowCounts &) = default;
};

/**
 * The counts of one instance since its last record.
 */
struct UsageRecord {
    RecordId id;
    std::vector<WindowCounts> windows;
    std::uint64_t completeBefore = 0; ///< the writer adds no more counts to windows with lower numbers
    bool leaving = false; ///< the writer sends no further counts

    friend bool operator==(const UsageRecord &, const UsageRecord &) = default;
};

/**
 * The final counts of a window, appended before they are reported, so that every report of the window has the same counts.
 */
struct FinalizedWindow {
    WindowCounts counts;
    std::uint64_t reportedBefore = 0; ///< all windows with lower numbers have been reported

    friend bool operator==(const FinalizedWindow &, const FinalizedWindow &) = default;
};

/**
 * A record of the duty log that the first leader appends after the store was restored from an older copy, see storeoffset.h.
 * Windows that had ended by then, and whose counts are not in the log, may have been reported already.
 */
struct UsageEpoch {
    std::uint64_t epoch = 0;
    std::uint64_t firstWindow = 0; ///< first window whose counts cannot have been fixed in an earlier epoch

    friend bool operator==(const UsageEpoch &, const UsageEpoch &) = default;
};

std::string encodeUsageEpoch(const UsageEpoch &epoch);
/** Fails with Protocol if @p text is not such a record. Never throws, whatever the input. */
Result<UsageEpoch> decodeUsageEpoch(std::string_view text);
std::string encodeUsageRecord(const UsageRecord &record);
std::string encodeFinalizedWindow(const FinalizedWindow &window);
/** Decode the records. They fail with Protocol if @p text is not such a record, and never throw, whatever the input. */
Result<UsageRecord> decodeUsageRecord(std::string_view text);
Result<FinalizedWindow> decodeFinalizedWindow(std::string_view text);

/**
 * Adds up the counts of all instances by window. A record that is read or was appended more than once is counted once.
 */
class UsageAggregator
{
public:
    // Commands.
    void apply(const UsageRecord &record);
    /** Removes windows with lower numbers and drops counts for them that arrive later. */
    void removeBefore(std::uint64_t window);

    // Queries.
    std::optional<std::uint64_t> firstWindow() const;
    WindowCounts countsOf(std::uint64_t window) const;
    /**
     * Returns whether every instance that was counting shortly before the end of the window has reported all of its counts
     * for it. If one of them crashed before it did, the window never becomes complete and the caller has to apply a timeout.
     */
    bool isComplete(std::uint64_t window) const;

private:
    struct Writer {
        std::uint64_t sequence = 0;
        std::uint64_t completeBefore = 0;
        bool leaving = false;
    };

    std::map<Incarnation, Writer> writers;
    std::map<std::uint64_t, AccountTotals> windows;
    std::uint64_t removedBefore = 0;
};

} // namespace flamingosaddle
