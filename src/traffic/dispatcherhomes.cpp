// Implements what the dispatcher does about the homes of requests.

#include "dispatcherimplementation.h"

namespace flamingosaddle
{

void Dispatcher::Implementation::setRegions(const DataCentreRegions &regions)
{
    this->peers.setRegions(regions);
    this->pool.setRegions(regions);
    this->serversChanged = true;
    this->pathsChanged = true;
}

TargetIndex Dispatcher::Implementation::withHomes(TargetIndex target, const Homes &homes)
{
    return homes.has_value() ? this->pool.internHomeTarget(target, *homes) : target;
}

void Dispatcher::Implementation::startByTier(bool continuesStreams, TimePoint now, Decisions &decisions)
{
    for (const Tier &tier : this->tiers) {
        // Requests with homes have fewer servers to choose from.
        for (const bool hasHomes : {true, false}) {
            for (TargetIndex target = 0; target < this->pool.targetCount(); ++target) {
                if (this->queue.waiting(target) > 0 && this->pool.continuesStreams(target) == continuesStreams
                    && this->pool.isHomeTarget(target) == hasHomes) {
                    this->startWaiting(target, tier.tier, now, decisions);
                }
            }
        }
    }
}

} // namespace flamingosaddle
