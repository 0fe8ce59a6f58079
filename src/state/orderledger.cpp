#include <flamingosaddle/state/orderledger.h>

#include <algorithm>

namespace flamingosaddle
{

// Commands.

OrderResult OrderLedger::apply(std::uint64_t offset, const OrderRecord &record)
{
    if (offset < this->next) {
        return OrderResult::Ignored;
    }
    this->next = offset + 1;
    switch (record.kind) {
    case OrderRecordKind::Takeover:
        return this->takeOver(record.order);
    case OrderRecordKind::Intent:
        return this->intend(record.order);
    case OrderRecordKind::Outcome:
        return this->conclude(record.order.id);
    }
    return OrderResult::Ignored;
}

void OrderLedger::skip(std::uint64_t offset)
{
    this->next = std::max(this->next, offset + 1);
}

OrderResult OrderLedger::takeOver(const PlatformOrder &order)
{
    std::uint64_t &epoch = this->epochs[order.dataCentre];
    if (order.fencing < epoch) {
        return OrderResult::Void;
    }
    epoch = order.fencing;
    return OrderResult::Recorded;
}

OrderResult OrderLedger::intend(const PlatformOrder &order)
{
    if (this->isKnown(order.id)) {
        return OrderResult::Ignored;
    }
    const OrderResult result = this->takeOver(order);
    if (result == OrderResult::Recorded) {
        this->open[order.id] = order;
    }
    return result;
}

OrderResult OrderLedger::conclude(const std::string &orderId)
{
    if (this->open.erase(orderId) == 0) {
        return OrderResult::Ignored;
    }
    this->rememberClosed(orderId);
    return OrderResult::Recorded;
}

void OrderLedger::rememberClosed(const std::string &orderId)
{
    this->closed.insert(orderId);
    this->closedOrder.push_back(orderId);
    if (this->closedOrder.size() > maxClosedOrders) {
        this->closed.erase(this->closedOrder.front());
        this->closedOrder.pop_front();
    }
}

// Queries.

std::vector<PlatformOrder> OrderLedger::openIntents(const DataCentre &dataCentre) const
{
    std::vector<PlatformOrder> intents;
    for (const auto &[id, order] : this->open) {
        if (order.dataCentre == dataCentre) {
            intents.push_back(order);
        }
    }
    return intents;
}

std::vector<PlatformOrder> OrderLedger::intentsToAskFor(const DataCentre &dataCentre, std::uint64_t epoch) const
{
    std::vector<PlatformOrder> intents = this->openIntents(dataCentre);
    std::erase_if(intents, [epoch](const PlatformOrder &order) {
        return order.fencing >= epoch;
    });
    return intents;
}

bool OrderLedger::maySend(const std::string &orderId, std::uint64_t epoch) const
{
    const auto found = this->open.find(orderId);
    if (found == this->open.end()) {
        return false;
    }
    const PlatformOrder &order = found->second;
    return order.fencing == epoch && this->epochOf(order.dataCentre) == epoch
        && this->intentsToAskFor(order.dataCentre, epoch).empty();
}

bool OrderLedger::isKnown(const std::string &orderId) const
{
    return this->open.contains(orderId) || this->closed.contains(orderId);
}

std::uint64_t OrderLedger::epochOf(const DataCentre &dataCentre) const
{
    const auto found = this->epochs.find(dataCentre);
    return found == this->epochs.end() ? 0 : found->second;
}

std::uint64_t OrderLedger::nextOffset() const
{
    return this->next;
}

} // namespace flamingosaddle
