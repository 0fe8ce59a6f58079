#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace flamingosaddle
{

using TargetIndex = std::uint32_t; ///< a model or a plain service
using AccountIndex = std::uint32_t;
using LaneIndex = std::uint32_t; ///< one tier of one target
using ShareIndex = std::uint32_t; ///< one client account in one lane

/**
 * Virtual token counters for weighted fair queuing: the tokens served to each client account in a lane, divided by its weight.
 * The account with the lowest counter is served next, so backlogged accounts are served in proportion to their weights.
 *
 * When an account becomes active, its counter is raised to that of the account picked last, so idle time earns no credit. Tokens
 * served by peers are added too, but raise an account's counter to at most maxPeerLead above the lane. Work on servers that
 * nobody else wanted therefore does not count against the account for long.
 */
class FairShares
{
public:
    static constexpr double maxPeerLead = 200000.0; ///< tokens per unit of weight

    // Commands.

    LaneIndex lane(TargetIndex target, int tier);
    ShareIndex share(LaneIndex lane, AccountIndex account, double weight);

    void setWeight(ShareIndex share, double weight);

    void addWaiting(ShareIndex share);
    void removeWaiting(ShareIndex share);

    /** Counts a waiting request as still able to meet its target; removeOnTime() reverses this. */
    void addOnTime(ShareIndex share);
    void removeOnTime(ShareIndex share);

    /** Records that a request of @p share was chosen to run. */
    void recordPick(ShareIndex share);

    /** Adds @p tokens to the counter. They are negative when a reservation is refunded. */
    void charge(ShareIndex share, double tokens);

    /** Records @p tokens that were actually served, to be reported to peers. */
    void recordServed(ShareIndex share, std::uint64_t tokens);

    void applyPeerServedTokens(ShareIndex share, std::uint64_t tokens);

    /** Calls @p visit with the tokens that each share served since the last call. */
    void takeServed(const std::function<void(LaneIndex, ShareIndex, std::uint64_t)> &visit);

    // Queries.

    double counter(ShareIndex share) const
    {
        return this->counters[share];
    }

    AccountIndex account(ShareIndex share) const
    {
        return this->shares[share].account;
    }

    double weight(ShareIndex share) const
    {
        return this->shares[share].weight;
    }

    std::uint32_t waiting(ShareIndex share) const
    {
        return this->shares[share].waiting;
    }

    /** Returns the lead of @p share over the lane, in tokens per unit of weight. */
    double lead(ShareIndex share) const;

    std::uint32_t onTime(ShareIndex share) const
    {
        return this->shares[share].onTime;
    }

    std::uint32_t laneOnTime(LaneIndex lane) const
    {
        return this->lanes[lane].onTime;
    }

    /** Returns the total weight of the client accounts that have requests in @p lane which can still meet their targets. */
    double laneOnTimeWeight(LaneIndex lane) const
    {
        return this->lanes[lane].onTimeWeight;
    }

    TargetIndex laneTarget(LaneIndex lane) const
    {
        return this->lanes[lane].target;
    }

    int laneTier(LaneIndex lane) const
    {
        return this->lanes[lane].tier;
    }

private:
    struct Lane {
        TargetIndex target = 0;
        int tier = 0;
        double virtualTime = 0.0; // counter of the share picked last; never decreases
        std::uint32_t onTime = 0;
        double onTimeWeight = 0.0;
    };

    struct Share {
        double weight = 1.0;
        LaneIndex lane = 0;
        AccountIndex account = 0;
        std::uint32_t waiting = 0;
        std::uint32_t onTime = 0; // waiting requests that can still meet their target
        std::uint64_t unreportedTokens = 0; // tokens not yet reported to peers
    };

    std::vector<Lane> lanes;
    std::vector<Share> shares;
    std::vector<double> counters; // by share; stored separately because choosing the next request scans many of them
    std::vector<ShareIndex> sharesToReport;
    std::unordered_map<std::uint64_t, LaneIndex> laneIndices;
    std::unordered_map<std::uint64_t, ShareIndex> shareIndices;
};

} // namespace flamingosaddle
