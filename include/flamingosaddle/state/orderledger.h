#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/incarnation.h>
#include <flamingosaddle/state/order.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/**
 * Orders to the backend server interface and to engines, as the `orders` stream tells them.
 *
 * The holder of a data centre's lease appends the intent, reads it back as recorded, checks its lease and sends the
 * order; then it appends the outcome. An intent without an outcome may have taken effect, or still do so within the
 * order's life. A successor appends a Takeover first, which makes later intents of older epochs void, and orders
 * nothing in the data centre until it has asked the interface for every open intent of an older epoch and appended what
 * it learnt.
 */
namespace flamingosaddle
{

enum class OrderOutcome {
    Done,
    NotDone, ///< has no effect and will have none: refused, not sent, or not known to the interface after its life
};

enum class OrderRecordKind {
    Takeover,
    Intent,
    Outcome,
};

/**
 * One record of the `orders` stream.
 */
struct OrderRecord {
    RecordId id;
    OrderRecordKind kind = OrderRecordKind::Intent;
    /** The order of an Intent. A Takeover sets `dataCentre` and `fencing` only, an Outcome `id` only. */
    PlatformOrder order;
    OrderOutcome outcome = OrderOutcome::Done; ///< of an Outcome

    friend bool operator==(const OrderRecord &, const OrderRecord &) = default;
};

std::string encodeOrderRecord(const OrderRecord &record);

/**
 * Fails with Protocol when @p text is no order record. Never throws, whatever the bytes.
 */
Result<OrderRecord> decodeOrderRecord(std::string_view text);

enum class OrderResult {
    Recorded,
    Void, ///< an intent or takeover of a superseded epoch: its order must not be sent
    Ignored, ///< seen before, or an outcome of an intent that is not open
};

/**
 * The orders after some prefix of the `orders` stream; the same on every reader.
 */
class OrderLedger
{
public:
    // Commands.

    /** Applies the record at @p offset; records below nextOffset() are ignored. */
    OrderResult apply(std::uint64_t offset, const OrderRecord &record);

    /** Passes over a record that could not be decoded. */
    void skip(std::uint64_t offset);

    // Queries.

    /** Intents without an outcome in one data centre, oldest id first. */
    std::vector<PlatformOrder> openIntents(const DataCentre &dataCentre) const;

    /** The open intents that the holder of @p epoch must ask the interface for before it orders anything. */
    std::vector<PlatformOrder> intentsToAskFor(const DataCentre &dataCentre, std::uint64_t epoch) const;

    /**
     * Whether the holder of @p epoch may send the order: its intent is open, and no newer epoch is known. The lease is
     * checked besides.
     */
    bool maySend(const std::string &orderId, std::uint64_t epoch) const;

    /** Whether the intent of the order is open, or was closed and is still recognised. */
    bool isKnown(const std::string &orderId) const;

    /** The newest epoch that the stream knows for a data centre; 0 for none. */
    std::uint64_t epochOf(const DataCentre &dataCentre) const;

    std::uint64_t nextOffset() const;

    friend bool operator==(const OrderLedger &, const OrderLedger &) = default;

    /** Closed orders whose ids are still recognised. */
    static constexpr std::size_t maxClosedOrders = 4096;

private:
    friend class OrderSnapshotCodec;

    OrderResult takeOver(const PlatformOrder &order);
    OrderResult intend(const PlatformOrder &order);
    OrderResult conclude(const std::string &orderId);
    void rememberClosed(const std::string &orderId);

    std::map<DataCentre, std::uint64_t> epochs;
    std::map<std::string, PlatformOrder> open; // by order id
    std::deque<std::string> closedOrder; // oldest first
    std::set<std::string> closed;
    std::uint64_t next = 0;
};

std::string encodeOrderSnapshot(const OrderLedger &ledger);

/**
 * Fails with Protocol when @p text is no snapshot. Never throws, whatever the bytes.
 */
Result<OrderLedger> decodeOrderSnapshot(std::string_view text);

} // namespace flamingosaddle
