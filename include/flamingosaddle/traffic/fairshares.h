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
 * Virtual token counters: what each client account was served in a lane, divided by its weight. The account with the
 * lowest counter is served next, so that backlogged accounts are served in proportion to their weights.
 *
 * An account that begins to wait is lifted to the counter of the account that was picked last: idle time earns no
 * credit. What peers served counts as well, but leads an account no further than maxPeerLead ahead of the lane, so
 * that work on servers which nobody else wanted is not held against it for long.
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

    /** Counts a waiting request among those that can still meet their target, or no longer. */
    void addOnTime(ShareIndex share);
    void removeOnTime(ShareIndex share);

    /** A request of @p share was chosen to run. */
    void notePicked(ShareIndex share);

    /** Adds @p tokens, which are negative when a reservation is given back, to the counter. */
    void charge(ShareIndex share, double tokens);

    /** Counts @p tokens that were really served, for the peers' counters. */
    void noteServed(ShareIndex share, std::uint64_t tokens);

    void notePeerService(ShareIndex share, std::uint64_t tokens);

    /** Calls @p visit with what each share served since the last call. */
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

    /** Tokens per unit of weight by which @p share is ahead of the lane. */
    double lead(ShareIndex share) const;

    std::uint32_t onTime(ShareIndex share) const
    {
        return this->shares[share].onTime;
    }

    std::uint32_t laneOnTime(LaneIndex lane) const
    {
        return this->lanes[lane].onTime;
    }

    /** The weights of all client accounts that have requests in @p lane which can still meet their targets. */
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
        double virtualTime = 0.0; // the counter of the share that was picked last; never falls
        std::uint32_t onTime = 0;
        double onTimeWeight = 0.0;
    };

    struct Share {
        double weight = 1.0;
        LaneIndex lane = 0;
        AccountIndex account = 0;
        std::uint32_t waiting = 0;
        std::uint32_t onTime = 0; // of the waiting ones
        std::uint64_t unreported = 0; // tokens
    };

    std::vector<Lane> lanes;
    std::vector<Share> shares;
    std::vector<double> counters; // by share; apart from the rest, since the choice of the next request reads many
    std::vector<ShareIndex> unreportedShares;
    std::unordered_map<std::uint64_t, LaneIndex> laneIndices;
    std::unordered_map<std::uint64_t, ShareIndex> shareIndices;
};

} // namespace flamingosaddle
