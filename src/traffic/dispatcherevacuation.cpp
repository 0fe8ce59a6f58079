// Implements what the dispatcher does about evacuated data centres.

#include "dispatcherimplementation.h"

namespace flamingosaddle
{

void Dispatcher::Implementation::setEvacuated(const DataCentre &dataCentre, bool evacuated, TimePoint now)
{
    this->pool.setEvacuated(dataCentre, evacuated);
    this->serversChanged = true;
    // The limits of the remaining servers are divided anew.
    this->updateRejectionShares(now);
}

RefusalReason Dispatcher::Implementation::noServerReason(TargetIndex target) const
{
    return this->pool.hasEvacuatedServer(target) ? RefusalReason::DataCentreEvacuated : RefusalReason::NoServer;
}

} // namespace flamingosaddle
