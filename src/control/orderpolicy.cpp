#include <flamingosaddle/control/orderpolicy.h>

#include <flamingosaddle/base/hash.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::size_t maxRefusedDecisions = OrderLedger::maxClosedOrders;

std::string attemptId(const std::string &decision, std::uint32_t refusals)
{
    return decision + "~" + std::to_string(refusals);
}

std::string decisionOf(const std::string &orderId)
{
    return orderId.substr(0, orderId.rfind('~'));
}

} // namespace

std::vector<PlatformOrder> replaceReclaimed(
    const DataCentre &dataCentre, const std::vector<BackendMachine> &machines, TimePoint /*now*/)
{
    std::vector<PlatformOrder> orders;
    for (const BackendMachine &machine : machines) {
        if (!machine.reclaimNotice) {
            continue;
        }
        PlatformOrder order;
        // A machine's id may come back with another order, and is then replaced again.
        order.id = "replace/" + dataCentre.text() + "/" + machine.id + "/" + std::to_string(hash64(machine.orderId));
        order.kind = OrderKind::StartServer;
        order.model = machine.model;
        order.cheap = machine.cheap;
        orders.push_back(std::move(order));
    }
    return orders;
}

OrderIds::OrderIds(Duration refusalDelay)
    : refusalDelay(refusalDelay)
{
}

// Commands.

void OrderIds::noteRefusal(const std::string &orderId, TimePoint now)
{
    if (this->refusals.size() >= maxRefusedDecisions) {
        this->refusals.clear();
    }
    Refusals &refused = this->refusals[decisionOf(orderId)];
    ++refused.count;
    refused.retryAt = now + this->refusalDelay;
}

// Queries.

std::optional<std::string> OrderIds::next(
    const std::string &decision, const std::vector<BackendMachine> &machines, const OrderLedger &ledger, TimePoint now) const
{
    const auto refused = this->refusals.find(decision);
    const bool wasRefused = refused != this->refusals.end();
    // The copy of an order that another holder sent may have taken effect although this one's was refused.
    const bool shown = std::any_of(machines.begin(), machines.end(), [&decision](const BackendMachine &machine) {
        return decisionOf(machine.orderId) == decision;
    });
    const std::string id = attemptId(decision, wasRefused ? refused->second.count : 0);
    if (shown || ledger.isKnown(id) || (wasRefused && now < refused->second.retryAt)) {
        return std::nullopt;
    }
    return id;
}

} // namespace flamingosaddle
