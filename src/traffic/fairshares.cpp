#include <flamingosaddle/traffic/fairshares.h>

#include <algorithm>

namespace flamingosaddle
{

namespace
{

constexpr double minWeight = 1e-6; // keeps the counters finite

std::uint64_t pairKey(std::uint32_t high, std::uint32_t low)
{
    return (static_cast<std::uint64_t>(high) << 32) | low;
}

} // namespace

LaneIndex FairShares::lane(TargetIndex target, int tier)
{
    const std::uint64_t key = pairKey(target, static_cast<std::uint32_t>(tier));
    const auto found = this->laneIndices.find(key);
    if (found != this->laneIndices.end()) {
        return found->second;
    }
    const auto index = static_cast<LaneIndex>(this->lanes.size());
    this->lanes.push_back(Lane{target, tier, 0.0, 0, 0.0});
    this->laneIndices.emplace(key, index);
    return index;
}

ShareIndex FairShares::share(LaneIndex lane, AccountIndex account, double weight)
{
    const double usedWeight = std::max(weight, minWeight);
    const std::uint64_t key = pairKey(lane, account);
    const auto found = this->shareIndices.find(key);
    if (found != this->shareIndices.end()) {
        Share &share = this->shares[found->second];
        if (share.onTime > 0) {
            this->lanes[lane].onTimeWeight += usedWeight - share.weight;
        }
        share.weight = usedWeight;
        return found->second;
    }
    const auto index = static_cast<ShareIndex>(this->shares.size());
    this->shares.push_back(Share{this->lanes[lane].virtualTime, usedWeight, lane, account, 0, 0, 0});
    this->unreportedShares.reserve(this->shares.capacity());
    this->shareIndices.emplace(key, index);
    return index;
}

void FairShares::addWaiting(ShareIndex index)
{
    Share &share = this->shares[index];
    if (share.waiting == 0) {
        share.counter = std::max(share.counter, this->lanes[share.lane].virtualTime);
    }
    ++share.waiting;
}

void FairShares::removeWaiting(ShareIndex index)
{
    --this->shares[index].waiting;
}

void FairShares::addOnTime(ShareIndex index)
{
    Share &share = this->shares[index];
    Lane &lane = this->lanes[share.lane];
    if (share.onTime == 0) {
        lane.onTimeWeight += share.weight;
    }
    ++share.onTime;
    ++lane.onTime;
}

void FairShares::removeOnTime(ShareIndex index)
{
    Share &share = this->shares[index];
    Lane &lane = this->lanes[share.lane];
    --share.onTime;
    --lane.onTime;
    if (share.onTime == 0) {
        lane.onTimeWeight -= share.weight;
    }
    if (lane.onTime == 0) {
        lane.onTimeWeight = 0.0; // drops what rounding left
    }
}

void FairShares::notePicked(ShareIndex index)
{
    const Share &share = this->shares[index];
    Lane &lane = this->lanes[share.lane];
    lane.virtualTime = std::max(lane.virtualTime, share.counter);
}

void FairShares::charge(ShareIndex index, double tokens)
{
    Share &share = this->shares[index];
    share.counter += tokens / share.weight;
}

void FairShares::noteServed(ShareIndex index, std::uint64_t tokens)
{
    Share &share = this->shares[index];
    if (share.unreported == 0 && tokens > 0) {
        this->unreportedShares.push_back(index);
    }
    share.unreported += tokens;
}

void FairShares::notePeerService(ShareIndex index, std::uint64_t tokens)
{
    Share &share = this->shares[index];
    const double limit = std::max(share.counter, this->lanes[share.lane].virtualTime + maxPeerLead);
    share.counter = std::min(share.counter + static_cast<double>(tokens) / share.weight, limit);
}

void FairShares::takeServed(const std::function<void(LaneIndex, ShareIndex, std::uint64_t)> &visit)
{
    for (const ShareIndex index : this->unreportedShares) {
        Share &share = this->shares[index];
        visit(share.lane, index, share.unreported);
        share.unreported = 0;
    }
    this->unreportedShares.clear();
}

double FairShares::lead(ShareIndex index) const
{
    const Share &share = this->shares[index];
    return std::max(0.0, share.counter - this->lanes[share.lane].virtualTime);
}

} // namespace flamingosaddle
