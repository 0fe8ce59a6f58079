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
 * Requests of a client account that backend servers began in one window, and the tokens of those that ended in it.
 */
struct AccountCount {
    ClientAccountId clientAccount;
    std::uint64_t requests = 0;
    std::optional<TokenCounts> tokens = std::nullopt; ///< nothing where nobody counted any

    /** Adds the counts of the same client account. */
    void add(const AccountCount &other);

    friend bool operator==(const AccountCount &, const AccountCount &) = default;
};

/**
 * Counts that are added up by client account.
 */
class AccountTotals
{
public:
    void add(const AccountCount &count);
    std::vector<AccountCount> list() const; ///< in the order of their names

private:
    std::map<ClientAccountId, AccountCount> totals;
};

struct WindowCounts {
    std::uint64_t window = 0; ///< number of the window since the beginning of 1970
    std::vector<AccountCount> accounts;

    friend bool operator==(const WindowCounts &, const WindowCounts &) = default;
};

/**
 * What one instance counted since its last record.
 */
struct MeterRecord {
    RecordId id;
    std::vector<WindowCounts> windows;
    std::uint64_t completeBefore = 0; ///< the writer counts no more in windows with lower numbers
    bool leaving = false; ///< the writer counts no more at all

    friend bool operator==(const MeterRecord &, const MeterRecord &) = default;
};

/**
 * The figures of a window, fixed before they are reported: whoever reports the window reports these.
 */
struct FixedWindow {
    WindowCounts counts;
    std::uint64_t reportedBefore = 0; ///< windows with lower numbers were reported

    friend bool operator==(const FixedWindow &, const FixedWindow &) = default;
};

std::string encodeMeterRecord(const MeterRecord &record);
std::string encodeFixedWindow(const FixedWindow &fixed);
/** Both fail with Protocol. They never throw, whatever the bytes. */
Result<MeterRecord> decodeMeterRecord(std::string_view text);
Result<FixedWindow> decodeFixedWindow(std::string_view text);

/**
 * The counts of all instances by window. A record that is read twice, or was appended twice, counts once.
 */
class UsageBook
{
public:
    // Commands.
    void apply(const MeterRecord &record);
    /** Forgets windows with lower numbers; what comes for them later is dropped. */
    void forgetBefore(std::uint64_t window);

    // Queries.
    std::optional<std::uint64_t> firstWindow() const;
    WindowCounts countsOf(std::uint64_t window) const;
    /**
     * Whether every instance that was counting shortly before the window's end has told all of its counts. One that ended
     * without a word is waited for by the caller's patience.
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
    std::uint64_t forgotten = 0;
};

} // namespace flamingosaddle
