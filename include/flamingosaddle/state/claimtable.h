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
 * At-most-once execution of non-idempotent requests that carry an idempotency key.
 *
 * Before such a request runs, its instance appends a Start record to the `claims` stream and reads it back. The first
 * Start of a key in log order wins and its request runs; no other request with the key does. The winner appends an
 * Outcome with the response, which is replayed to later requests with the same key. Until there is an Outcome, they are
 * told that the request was started and that its outcome is unknown. A winner that gives up before any byte reached a
 * backend server appends an Abandon, which frees the key.
 *
 * A claim is kept for ClaimLimits::retention of log time, counted from its Start. Log time is the highest time stated by
 * any record. One record advances it by at most ClaimLimits::maxTimeStep, so a single wrong clock cannot expire claims
 * early.
 */
namespace flamingosaddle
{

struct ClaimKey {
    ClientAccountId clientAccount;
    std::uint64_t keyHash = 0; ///< hash64() of the Idempotency-Key header

    friend auto operator<=>(const ClaimKey &, const ClaimKey &) = default;
};

struct StoredResponse {
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    bool bodyStored = true; ///< false if the body was too large or not UTF-8 and cannot be replayed

    friend bool operator==(const StoredResponse &, const StoredResponse &) = default;
};

enum class ClaimRecordKind {
    Start,
    Outcome,
    Abandon, ///< the request has not run and will not run under this claim
};

/**
 * A record of the `claims` stream.
 */
struct ClaimRecord {
    RecordId id;
    ClaimRecordKind kind = ClaimRecordKind::Start;
    ClaimKey key;
    std::uint64_t fingerprint = 0; ///< hash of the whole request; set in a Start
    std::uint64_t claimNumber = 0; ///< Claim::number; set in an Outcome or Abandon
    std::chrono::seconds writtenAt{}; ///< the writer's wall clock, since the epoch
    StoredResponse response; ///< set in an Outcome

    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

/**
 * Limits of a ClaimTable. All readers of the stream must use the same values.
 */
struct ClaimLimits {
    std::chrono::seconds retention = std::chrono::hours(24);
    std::chrono::seconds maxTimeStep = std::chrono::minutes(1);
    std::size_t maxClaims = 100000;
    std::size_t maxStoredBytes = std::size_t{8} << 20; ///< total size of the stored response bodies

    friend bool operator==(const ClaimLimits &, const ClaimLimits &) = default;
};

inline constexpr std::size_t maxStoredResponseBytes = std::size_t{16} << 10;

/**
 * Encodes a record as JSON. A body that is larger than maxStoredResponseBytes or not valid UTF-8 is left out.
 */
std::string encodeClaimRecord(ClaimRecord record);

/**
 * Decodes a record. Fails with Protocol if @p text is not a claim record. Never throws, whatever the input.
 */
Result<ClaimRecord> decodeClaimRecord(std::string_view text);

enum class ClaimResult {
    Won, ///< the writer of this Start, and no other instance, runs the request
    AlreadyStarted, ///< the request was started by another record; its outcome is unknown
    Completed, ///< the request has completed and its response is stored
    KeyReused, ///< the key was used for a different request
    TableFull, ///< the table holds maxClaims claims; the request must not run
    Recorded, ///< the Outcome or Abandon was applied
    Ignored, ///< the record was applied before or refers to no current claim
};

/**
 * The current claim of an idempotency key.
 */
struct Claim {
    ClaimKey key;
    RecordId winner;
    std::uint64_t number = 0; ///< offset of the Start record plus one
    std::uint64_t fingerprint = 0;
    std::chrono::seconds startedAt{}; ///< log time
    std::optional<StoredResponse> response;

    friend bool operator==(const Claim &, const Claim &) = default;
};

/**
 * The claims that result from applying the `claims` stream up to nextOffset(). Readers that have applied the same
 * records hold equal tables.
 */
class ClaimTable
{
public:
    explicit ClaimTable(ClaimLimits limits = {});

    /** Restores a table from a snapshot taken before offset @p next. @p claims are sorted by number. */
    static ClaimTable restore(ClaimLimits limits, std::vector<Claim> claims, std::chrono::seconds time, std::uint64_t next);

    // Commands.

    /**
     * Applies the record at @p offset. Records below nextOffset() are ignored. An instance acts only on the results of
     * its own records, once for each.
     */
    ClaimResult apply(std::uint64_t offset, const ClaimRecord &record);

    /** Skips a record that could not be decoded. */
    void skip(std::uint64_t offset);

    // Queries.

    /** Returns the current claim of @p key, or nullptr if there is none. */
    const Claim *find(const ClaimKey &key) const;

    /** Returns all claims, sorted by number. */
    std::vector<Claim> claims() const;

    std::size_t size() const;
    std::size_t storedBytes() const;
    std::chrono::seconds logTime() const;
    std::uint64_t nextOffset() const;

    friend bool operator==(const ClaimTable &, const ClaimTable &) = default;

private:
    ClaimResult applyStart(std::uint64_t number, const ClaimRecord &record);
    ClaimResult applyCompletion(const ClaimRecord &record);
    void insert(Claim claim);
    void erase(std::map<ClaimKey, Claim>::iterator position);
    void advanceLogTime(std::chrono::seconds writtenAt);
    void expireClaims();

    ClaimLimits limits;
    std::map<ClaimKey, Claim> claimsByKey;
    std::map<std::uint64_t, ClaimKey> keysByNumber;
    std::chrono::seconds time{};
    std::size_t storedBodyBytes = 0;
    std::uint64_t next = 0;
};

std::string encodeClaimSnapshot(const ClaimTable &table);

/**
 * Decodes a snapshot. Fails with Protocol if @p text is not a snapshot. Never throws, whatever the input.
 */
Result<ClaimTable> decodeClaimSnapshot(std::string_view text, ClaimLimits limits);

} // namespace flamingosaddle
