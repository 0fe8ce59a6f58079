#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/platform/platform.h>
#include <flamingosaddle/state/orderledger.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * Which orders a data centre needs, and under which ids.
 */
namespace flamingosaddle
{

/**
 * Decides which orders a data centre needs. Called when no order is open there, with a list of machines that was read
 * after the last outcome. Names kind, server, model and cheap; the caller sets the rest. An order with an id is carried
 * out at most once, and again under another id after a refusal; one without an id is a new order at each call.
 */
using WantedOrders = std::function<std::vector<PlatformOrder>(
    const DataCentre &dataCentre, const std::vector<BackendMachine> &machines, TimePoint now)>;

/**
 * One machine of the same model and kind for each machine that is about to be taken away.
 */
std::vector<PlatformOrder> replaceReclaimed(
    const DataCentre &dataCentre, const std::vector<BackendMachine> &machines, TimePoint now);

/**
 * Gives orders their ids. The id of an order is that of the decision and the number of refusals before, so that every holder
 * of a lease comes to the same id for the same attempt.
 */
class OrderIds
{
public:
    /** @param refusalDelay until an order that was refused is tried under another id */
    explicit OrderIds(Duration refusalDelay);

    // Commands.

    /** The order with the id @p orderId was refused. The refusals before the newest snapshot of the ledger are not known. */
    void noteRefusal(const std::string &orderId, TimePoint now);

    // Queries.

    /**
     * The id for an order of @p decision; nothing when it was carried out, is under way, or was refused a short time ago.
     */
    std::optional<std::string> next(
        const std::string &decision, const std::vector<BackendMachine> &machines, const OrderLedger &ledger, TimePoint now) const;

private:
    struct Refusals {
        std::uint32_t count = 0;
        TimePoint retryAt{};
    };

    Duration refusalDelay;
    std::map<std::string, Refusals> refusals; // by decision
};

} // namespace flamingosaddle
