// The part of the dispatcher that puts together what forecasts and reserves depend on.

#include "dispatcherimplementation.h"

#include <algorithm>
#include <limits>

namespace flamingosaddle
{

QueueSituation Dispatcher::Implementation::situationOfTier(TargetIndex target, int tier, TimePoint now)
{
    FairShares &shares = this->queue.shares();
    QueueSituation situation;
    situation.freeSlots = this->pool.freeSlots(target, true);
    situation.slots = this->pool.ownInFlight(target) + situation.freeSlots;
    situation.holdSeconds = this->forecast.holdSeconds(target);
    situation.higherWaiting = this->queue.waitingAbove(target, tier);
    for (const Tier &known : this->tiers) {
        if (known.tier < tier) {
            const LaneIndex higher = shares.lane(target, known.tier);
            situation.higherArrivalsPerSecond += this->forecast.arrivalsPerSecond(higher, now);
        }
    }
    situation.tierWaiting = shares.laneOnTime(shares.lane(target, tier));
    situation.ownWaiting = situation.tierWaiting;
    situation.firstTokenSeconds = this->forecast.firstTokenSeconds(target);
    return situation;
}

QueueSituation Dispatcher::Implementation::situationOf(const QueueEntry &entry, TimePoint now)
{
    FairShares &shares = this->queue.shares();
    const LaneIndex lane = shares.lane(entry.target, entry.tier);
    const ShareIndex share = shares.share(lane, entry.account, entry.weight);
    QueueSituation situation = this->situationOfTier(entry.target, entry.tier, now);
    situation.freeSlots = this->pool.freeSlots(entry.target, entry.cheapAllowed);
    situation.ownWaiting = shares.onTime(share);
    const double requestTokens = this->forecast.outputTokens(entry.requestClass) / shares.weight(share);
    situation.ownLead = shares.lead(share) / std::max(requestTokens, 1.0);
    const double otherWeight = shares.laneOnTimeWeight(lane) - (shares.onTime(share) > 0 ? shares.weight(share) : 0.0);
    situation.weightRatio = 1.0 + otherWeight / shares.weight(share);
    const std::uint64_t period = this->queue.floorPeriod(entry.target, entry.requestClass);
    situation.floorShare = period > 0 ? 1.0 / static_cast<double>(period) : 0.0;
    situation.classWaiting = this->queue.waitingOfClass(entry.target, entry.requestClass);
    return situation;
}

WaitForecast Dispatcher::Implementation::forecastOf(const RequestProfile &profile, TimePoint now)
{
    const std::optional<TargetIndex> target = this->pool.findTarget(profile.model, profile.service);
    return target.has_value() ? forecastWait(this->situationOf(this->entryOf(profile, *target), now)) : WaitForecast();
}

void Dispatcher::Implementation::pressure(
    const ModelName &model, const ServiceName &service, TimePoint now, std::vector<TierWait> &waits)
{
    waits.clear();
    const std::optional<TargetIndex> target = this->pool.findTarget(model, service);
    if (!target.has_value()) {
        return;
    }
    for (const Tier &tier : this->tiers) {
        waits.push_back(TierWait{tier.tier, forecastWait(this->situationOfTier(*target, tier.tier, now)).waitSeconds});
    }
}

int Dispatcher::Implementation::lowestTierToStart(TargetIndex target, TimePoint now)
{
    const std::uint32_t free = this->pool.freeSlots(target, true);
    const std::uint32_t slots = this->pool.ownInFlight(target) + free;
    const std::uint32_t most = slots * this->options.reservePercent / 100;
    const std::optional<double> hold = this->forecast.holdSeconds(target);
    constexpr int any = std::numeric_limits<int>::max();
    if (free > most || !hold.has_value()) {
        return any;
    }
    ReserveSituation situation;
    situation.startsPerSecond = slots / std::max(*hold, 1e-3);
    for (const Tier &tier : this->tiers) {
        if (tier.tier >= this->tiers.back().tier) {
            break;
        }
        situation.arrivalsPerSecond += this->forecast.arrivalsPerSecond(this->queue.shares().lane(target, tier.tier), now);
        const double targetSeconds = std::chrono::duration<double>(tier.firstTokenTarget).count();
        situation.slackSeconds = targetSeconds - this->forecast.firstTokenSeconds(target);
        if (free <= reservedSlots(situation, most)) {
            return tier.tier;
        }
    }
    return any;
}

} // namespace flamingosaddle
