// Collects the inputs of wait forecasts and of the reserve for higher tiers.

#include "dispatcherimplementation.h"

#include <algorithm>
#include <limits>

namespace flamingosaddle
{

QueueSnapshot Dispatcher::Implementation::tierSnapshot(TargetIndex target, int tier, TimePoint now)
{
    FairShares &shares = this->queue.shares();
    QueueSnapshot snapshot;
    snapshot.freeSlots = this->pool.freeSlots(target, true);
    const RateLimitedCapacity limited = this->pool.rateLimitedCapacity(target);
    snapshot.slots = this->pool.localInFlight(target) + snapshot.freeSlots - limited.localInFlight - limited.freeSlots;
    snapshot.rateLimitedStartsPerSecond = limited.startsPerSecond;
    if (const std::optional<TimePoint> pausedUntil = this->pool.pausedUntil(target)) {
        snapshot.pausedSeconds = std::max(0.0, std::chrono::duration<double>(*pausedUntil - now).count());
    }
    snapshot.holdSeconds = this->statistics.holdSeconds(target);
    snapshot.higherWaiting = this->queue.waitingAbove(target, tier);
    for (const Tier &known : this->tiers) {
        if (known.tier < tier) {
            const LaneIndex higher = shares.lane(target, known.tier);
            snapshot.higherArrivalsPerSecond += this->statistics.arrivalsPerSecond(higher, now);
        }
    }
    snapshot.tierWaiting = shares.laneOnTime(shares.lane(target, tier));
    snapshot.accountWaiting = snapshot.tierWaiting;
    snapshot.firstTokenSeconds = this->statistics.firstTokenSeconds(target);
    return snapshot;
}

QueueSnapshot Dispatcher::Implementation::queueSnapshot(const QueueEntry &entry, TimePoint now)
{
    FairShares &shares = this->queue.shares();
    const LaneIndex lane = shares.lane(entry.target, entry.tier);
    const ShareIndex share = shares.share(lane, entry.account, entry.weight);
    QueueSnapshot snapshot = this->tierSnapshot(entry.target, entry.tier, now);
    snapshot.freeSlots = this->pool.freeSlots(entry.target, entry.cheapAllowed);
    snapshot.accountWaiting = shares.onTime(share);
    const double requestTokens = this->statistics.outputTokens(entry.requestClass) / shares.weight(share);
    snapshot.accountLead = shares.lead(share) / std::max(requestTokens, 1.0);
    const double otherWeight = shares.laneOnTimeWeight(lane) - (shares.onTime(share) > 0 ? shares.weight(share) : 0.0);
    snapshot.weightRatio = 1.0 + otherWeight / shares.weight(share);
    const std::uint64_t period = this->queue.floorPeriod(entry.target, entry.requestClass);
    snapshot.floorShare = period > 0 ? 1.0 / static_cast<double>(period) : 0.0;
    snapshot.classWaiting = this->queue.waitingOfClass(entry.target, entry.requestClass);
    return snapshot;
}

WaitForecast Dispatcher::Implementation::forecastOf(const RequestProfile &profile, TimePoint now)
{
    const std::optional<TargetIndex> target = this->pool.findTarget(profile.model, profile.service);
    if (!target.has_value()) {
        return WaitForecast();
    }
    const QueueEntry entry = this->makeEntry(profile, this->withHomes(*target, profile.homes));
    return forecastWait(this->queueSnapshot(entry, now));
}

void Dispatcher::Implementation::forecastTierWaits(
    const ModelName &model, const ServiceName &service, TimePoint now, std::vector<TierWait> &waits)
{
    waits.clear();
    const std::optional<TargetIndex> target = this->pool.findTarget(model, service);
    if (!target.has_value()) {
        return;
    }
    for (const Tier &tier : this->tiers) {
        waits.push_back(TierWait{tier.tier, forecastWait(this->tierSnapshot(*target, tier.tier, now)).waitSeconds});
    }
}

int Dispatcher::Implementation::lowestStartableTier(TargetIndex target, TimePoint now)
{
    const std::uint32_t freeSlots = this->pool.freeSlots(target, true);
    const std::uint32_t slots = this->pool.localInFlight(target) + freeSlots;
    const std::uint32_t maxReservedFraction = slots * this->options.reservePercent / 100;
    const std::optional<double> holdSeconds = this->statistics.holdSeconds(target);
    constexpr int allTiers = std::numeric_limits<int>::max();
    if (freeSlots > maxReservedFraction || !holdSeconds.has_value()) {
        return allTiers;
    }
    ReserveInputs inputs;
    inputs.startsPerSecond = slots / std::max(*holdSeconds, 1e-3);
    for (const Tier &tier : this->tiers) {
        if (tier.tier >= this->tiers.back().tier) {
            break;
        }
        inputs.arrivalsPerSecond += this->statistics.arrivalsPerSecond(this->queue.shares().lane(target, tier.tier), now);
        const double targetSeconds = std::chrono::duration<double>(tier.firstTokenTarget).count();
        inputs.slackSeconds = targetSeconds - this->statistics.firstTokenSeconds(target);
        if (freeSlots <= reservedSlots(inputs, maxReservedFraction)) {
            return tier.tier;
        }
    }
    return allTiers;
}

} // namespace flamingosaddle
