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
    const std::uint64_t key = pairKey(lane, account);
    const auto found = this->shareIndices.find(key);
    if (found != this->shareIndices.end()) {
        this->setWeight(found->second, weight);
        return found->second;
    }
    const auto index = static_cast<ShareIndex>(this->shares.size());
    this->shares.push_back(Share{std::max(weight, minWeight), lane, account, 0, 0, 0});
    this->counters.push_back(this->lanes[lane].virtualTime);
    this->sharesToReport.reserve(this->shares.capacity());
    this->shareIndices.emplace(key, index);
    return index;
}

void FairShares::setWeight(ShareIndex index, double weight)
{
    Share &share = this->shares[index];
    const double usedWeight = std::max(weight, minWeight);
    if (share.onTime > 0) {
        this->lanes[share.lane].onTimeWeight += usedWeight - share.weight;
    }
    share.weight = usedWeight;
}

void FairShares::addWaiting(ShareIndex index)
{
    Share &share = this->shares[index];
    if (share.waiting == 0) {
        this->counters[index] = std::max(this->counters[index], this->lanes[share.lane].virtualTime);
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
        lane.onTimeWeight = 0.0; // removes accumulated rounding errors
    }
}

void FairShares::recordPick(ShareIndex index)
{
    const Share &share = this->shares[index];
    Lane &lane = this->lanes[share.lane];
    lane.virtualTime = std::max(lane.virtualTime, this->counters[index]);
}

void FairShares::charge(ShareIndex index, double tokens)
{
    this->counters[index] += tokens / this->shares[index].weight;
}

void FairShares::recordServed(ShareIndex index, std::uint64_t tokens)
{
    Share &share = this->shares[index];
    if (share.unreportedTokens == 0 && tokens > 0) {
        this->sharesToReport.push_back(index);
    }
    share.unreportedTokens += tokens;
}

void FairShares::applyPeerServedTokens(ShareIndex index, std::uint64_t tokens)
{
    const Share &share = this->shares[index];
    double &counter = this->counters[index];
    const double limit = std::max(counter, this->lanes[share.lane].virtualTime + maxPeerLead);
    counter = std::min(counter + static_cast<double>(tokens) / share.weight, limit);
}

void FairShares::takeServed(const std::function<void(LaneIndex, ShareIndex, std::uint64_t)> &visit)
{
    for (const ShareIndex index : this->sharesToReport) {
        Share &share = this->shares[index];
        visit(share.lane, index, share.unreportedTokens);
        share.unreportedTokens = 0;
    }
    this->sharesToReport.clear();
}

double FairShares::lead(ShareIndex index) const
{
    return std::max(0.0, this->counters[index] - this->lanes[this->shares[index].lane].virtualTime);
}

} // namespace flamingosaddle
