#include <flamingosaddle/state/orderledger.h>

#include "recordfields.h"

namespace flamingosaddle
{

template <>
struct EnumNames<OrderKind> {
    static constexpr std::array values{
        std::pair{OrderKind::StartServer, "startServer"},
        std::pair{OrderKind::StopServer, "stopServer"},
        std::pair{OrderKind::LoadModel, "loadModel"},
        std::pair{OrderKind::ChangeRole, "changeRole"},
    };
};

template <>
struct EnumNames<OrderOutcome> {
    static constexpr std::array values{std::pair{OrderOutcome::Done, "done"}, std::pair{OrderOutcome::NotDone, "notDone"}};
};

template <>
struct EnumNames<OrderRecordKind> {
    static constexpr std::array values{
        std::pair{OrderRecordKind::Takeover, "takeover"},
        std::pair{OrderRecordKind::Intent, "intent"},
        std::pair{OrderRecordKind::Outcome, "outcome"},
    };
};

const char *toString(OrderKind kind)
{
    return enumName(kind);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<PlatformOrder> value)
{
    archive.optional("id", value.id);
    archive.optional("kind", value.kind);
    archive.optional("dataCentre", value.dataCentre);
    archive.optional("server", value.server);
    archive.optional("model", value.model);
    archive.optional("cheap", value.cheap);
    archive.optional("fencing", value.fencing);
    archive.optional("holder", value.holder);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<OrderRecord> value)
{
    archive.required("id", value.id);
    archive.required("kind", value.kind);
    archive.required("order", value.order);
    archive.optional("outcome", value.outcome);
}

namespace
{

struct DataCentreEpoch {
    DataCentre dataCentre;
    std::uint64_t epoch = 0;
};

struct OrderSnapshot {
    std::uint64_t next = 0;
    std::vector<DataCentreEpoch> epochs;
    std::vector<PlatformOrder> open;
    std::vector<std::string> closed;
};

} // namespace

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<DataCentreEpoch> value)
{
    archive.required("dataCentre", value.dataCentre);
    archive.required("epoch", value.epoch);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<OrderSnapshot> value)
{
    archive.required("next", value.next);
    archive.required("epochs", value.epochs);
    archive.required("open", value.open);
    archive.required("closed", value.closed);
}

std::string encodeOrderRecord(const OrderRecord &record)
{
    return encodeRecord(record);
}

Result<OrderRecord> decodeOrderRecord(std::string_view text)
{
    return decodeRecord<OrderRecord>(text);
}

class OrderSnapshotCodec
{
public:
    static OrderSnapshot toSnapshot(const OrderLedger &ledger)
    {
        OrderSnapshot snapshot;
        snapshot.next = ledger.next;
        for (const auto &[dataCentre, epoch] : ledger.epochs) {
            snapshot.epochs.push_back({dataCentre, epoch});
        }
        for (const auto &[id, order] : ledger.open) {
            snapshot.open.push_back(order);
        }
        snapshot.closed.assign(ledger.closedOrder.begin(), ledger.closedOrder.end());
        return snapshot;
    }

    static OrderLedger toLedger(const OrderSnapshot &snapshot)
    {
        OrderLedger ledger;
        ledger.next = snapshot.next;
        for (const DataCentreEpoch &entry : snapshot.epochs) {
            ledger.epochs[entry.dataCentre] = entry.epoch;
        }
        for (const PlatformOrder &order : snapshot.open) {
            ledger.open[order.id] = order;
        }
        for (const std::string &orderId : snapshot.closed) {
            ledger.rememberClosed(orderId);
        }
        return ledger;
    }
};

std::string encodeOrderSnapshot(const OrderLedger &ledger)
{
    return encodeRecord(OrderSnapshotCodec::toSnapshot(ledger));
}

Result<OrderLedger> decodeOrderSnapshot(std::string_view text)
{
    const Result<OrderSnapshot> snapshot = decodeRecord<OrderSnapshot>(text, snapshotFormat);
    if (snapshot.has_error()) {
        return fail(snapshot.error());
    }
    return OrderSnapshotCodec::toLedger(snapshot.value());
}

} // namespace flamingosaddle
