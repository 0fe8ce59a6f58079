#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace flamingosaddle::standins
{

enum class OrderOutcome {
    Applied,
    Refused, ///< its fencing number is older than one seen
    Duplicate, ///< an order with this id was applied before
};

const char *toString(OrderOutcome outcome);

/**
 * Decides whether an order is carried out: once per order id and, where fencing is checked, only with a fencing number
 * that is not older than the newest seen.
 */
class FencingGate
{
public:
    OrderOutcome judge(const std::string &orderId, std::uint64_t fencing, bool checkFencing);

private:
    std::uint64_t newestFencing = 0;
    std::set<std::string> appliedOrders;
};

} // namespace flamingosaddle::standins
