#pragma once

#include <flamingosaddle/state/homes.h>
#include <flamingosaddle/state/peerpath.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace flamingosaddle
{

/**
 * Chooses the peer that a request is forwarded to: one that reaches the servers, with the fewest requests that this instance has
 * forwarded to it. Peers in other data centres are chosen once those in the own one have a few more.
 */
class PeerPaths
{
public:
    static constexpr std::uint32_t maxForwarded = 256; ///< requests forwarded to one peer at a time
    static constexpr std::uint32_t otherDataCentrePenalty = 4; ///< requests

    explicit PeerPaths(std::uint64_t seed)
        : random(seed)
    {
    }

    // Commands.

    /** Replaces what is known of the peers. */
    void setPeers(const DataCentre &ownDataCentre, std::vector<PeerPath> peers);

    /** Sets the regions by which peers are in the homes of a request or not. */
    void setRegions(DataCentreRegions regions);

    /**
     * Returns the peer to forward a request to and counts the request, until release(). Peers in @p tried and those outside of
     * the request's homes are not chosen. Returns nothing if there is no peer.
     */
    std::optional<PeerPath> choose(const TargetName &target, const std::vector<InstanceId> &tried, const Homes &homes = {});

    /** Records that a forwarded request has ended. */
    void release(const InstanceId &peer);

    /** Records that a peer has no path to the target's servers either. Holds until the peers are replaced or clearRefusals(). */
    void recordUnreachable(const InstanceId &peer, const TargetName &target);
    void clearRefusals();

    // Queries.

    /** Returns whether there is a peer to forward requests with these homes for the target to. */
    bool canServe(const TargetName &target, const Homes &homes = {}) const;

private:
    bool isUsable(const PeerPath &peer, const TargetName &target, const Homes &homes) const;
    std::uint32_t forwardedTo(const InstanceId &peer) const;

    DataCentre ownDataCentre;
    DataCentreRegions regions;
    std::vector<PeerPath> peers;
    std::set<std::pair<InstanceId, TargetName>> refused;
    std::map<InstanceId, std::uint32_t> forwarded; // requests that have not ended
    std::mt19937_64 random;
};

} // namespace flamingosaddle
