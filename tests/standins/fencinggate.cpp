#include "fencinggate.h"

#include <algorithm>

namespace flamingosaddle::standins
{

const char *toString(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Applied:
        return "applied";
    case OrderOutcome::Refused:
        return "refused";
    case OrderOutcome::Duplicate:
        return "duplicate";
    }
    return "unknown";
}

OrderOutcome FencingGate::judge(const std::string &orderId, std::uint64_t fencing, bool checkFencing)
{
    if (checkFencing && fencing < this->newestFencing) {
        return OrderOutcome::Refused;
    }
    this->newestFencing = std::max(this->newestFencing, fencing);
    return this->appliedOrders.insert(orderId).second ? OrderOutcome::Applied : OrderOutcome::Duplicate;
}

} // namespace flamingosaddle::standins
