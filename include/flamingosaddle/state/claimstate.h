#pragma once

#include <flamingosaddle/base/id.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/incarnation.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/**
 * At-most-once for non-idempotent requests that carry an idempotency key.
 *
 * Before such a request runs, its instance appends a Start record to the `claims` stream and reads it back: the first
 * Start of a key in log order wins and runs, every other one does not. The winner appends the Outcome, so that
 * repetitions are answered from it; without one the answer to them is that the request was started and nobody knows
 * more. A winner that gave the request up before any byte reached a backend server appends an Abandon, which frees the
 * key.
 *
 * A key is remembered for ClaimLimits::retention of the log's own time, counted from its Start. The log's time is the
 * highest time that a record states, but one record moves it on by at most ClaimLimits::maxTimeStep, so that a single
 * wrong clock cannot make keys forgotten.
 */
namespace flamingosaddle
{

struct ClaimKey {
    ClientAccountId clientAccount;
    std::uint64_t keyHash = 0; ///< hash64() of the Idempotency-Key header

    friend auto operator<=>(const ClaimKey &, const ClaimKey &) = default;
};

struct StoredAnswer {
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    bool bodyStored = true; ///< false when the body was too large, or no text, and is not given again

    friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

enum class ClaimRecordKind {
    Start,
    Outcome,
    Abandon, ///< the request never ran and never will under this claim
};

/**
 * One record of the `claims` stream.
 */
struct ClaimRecord {
    RecordId id;
    ClaimRecordKind kind = ClaimRecordKind::Start;
    ClaimKey key;
    std::uint64_t fingerprint = 0; ///< of a Start: hash of the whole request
    std::uint64_t claim = 0; ///< of an Outcome or Abandon: Claim::number
    std::chrono::seconds writtenAt{}; ///< wall time of the writer since the epoch
    StoredAnswer answer; ///< of an Outcome

    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

/**
 * The bounds of a ClaimTable; the same on every reader.
 */
struct ClaimLimits {
    std::chrono::seconds retention = std::chrono::hours(24);
    std::chrono::seconds maxTimeStep = std::chrono::minutes(1);
    std::size_t maxClaims = 100000;
    std::size_t maxStoredBytes = std::size_t{8} << 20; ///< bodies of all answers together

    friend bool operator==(const ClaimLimits &, const ClaimLimits &) = default;
};

inline constexpr std::size_t maxStoredAnswerBytes = std::size_t{16} << 10;

/**
 * The text of a record. A body over maxStoredAnswerBytes, or one that is no UTF-8, is left out.
 */
std::string encodeClaimRecord(ClaimRecord record);

/**
 * Fails with Protocol when @p text is no claim record. Never throws, whatever the bytes.
 */
Result<ClaimRecord> decodeClaimRecord(std::string_view text);

enum class ClaimResult {
    Won, ///< the writer of this Start runs the request, nobody else
    AlreadyStarted, ///< the request was started under another record; its outcome is unknown
    Answered, ///< the answer is stored
    OtherRequest, ///< the key was used for another request
    Full, ///< too many keys are remembered: nobody runs the request
    Recorded, ///< of an Outcome or Abandon
    Ignored, ///< seen before, or belongs to no claim that is in force
};

/**
 * What is remembered of one key.
 */
struct Claim {
    ClaimKey key;
    RecordId winner;
    std::uint64_t number = 0; ///< one more than the offset of the Start
    std::uint64_t fingerprint = 0;
    std::chrono::seconds startedAt{}; ///< log time
    std::optional<StoredAnswer> answer;

    friend bool operator==(const Claim &, const Claim &) = default;
};

/**
 * The claims after some prefix of the `claims` stream; the same on every reader.
 */
class ClaimTable
{
public:
    explicit ClaimTable(ClaimLimits limits = {});

    /** The table that other readers have before @p next. @p claims are in the order of their numbers. */
    static ClaimTable restore(ClaimLimits limits, std::vector<Claim> claims, std::chrono::seconds time, std::uint64_t next);

    // Commands.

    /**
     * Applies the record at @p offset. An instance acts on the result of its own record only, and only once; records
     * below nextOffset() are ignored.
     */
    ClaimResult apply(std::uint64_t offset, const ClaimRecord &record);

    /** Passes over a record that could not be decoded. */
    void skip(std::uint64_t offset);

    // Queries.

    /** What a repetition of the request would be told without another record; nullptr for a key not remembered. */
    const Claim *find(const ClaimKey &key) const;

    /** All claims in the order of their numbers. */
    std::vector<Claim> claims() const;

    std::size_t size() const;
    std::size_t storedBytes() const;
    std::chrono::seconds logTime() const;
    std::uint64_t nextOffset() const;

    friend bool operator==(const ClaimTable &, const ClaimTable &) = default;

private:
    ClaimResult start(std::uint64_t number, const ClaimRecord &record);
    ClaimResult finish(const ClaimRecord &record);
    void insert(Claim claim);
    void erase(std::map<ClaimKey, Claim>::iterator position);
    void passTime(std::chrono::seconds writtenAt);
    void forget();

    ClaimLimits limits;
    std::map<ClaimKey, Claim> table;
    std::map<std::uint64_t, ClaimKey> order; // key of each claim by its number
    std::chrono::seconds time{};
    std::size_t bodyBytes = 0;
    std::uint64_t next = 0;
};

std::string encodeClaimSnapshot(const ClaimTable &table);

/**
 * Fails with Protocol when @p text is no snapshot. Never throws, whatever the bytes.
 */
Result<ClaimTable> decodeClaimSnapshot(std::string_view text, ClaimLimits limits);

} // namespace flamingosaddle
