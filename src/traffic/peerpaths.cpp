#include <flamingosaddle/traffic/peerpaths.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

void PeerPaths::setPeers(const DataCentre &dataCentre, std::vector<PeerPath> next)
{
    this->ownDataCentre = dataCentre;
    this->peers = std::move(next);
    this->refused.clear();
}

void PeerPaths::setRegions(DataCentreRegions next)
{
    this->regions = std::move(next);
}

std::optional<PeerPath> PeerPaths::choose(const TargetName &target, const std::vector<InstanceId> &tried, const Homes &homes)
{
    const PeerPath *best = nullptr;
    std::uint32_t lowest = 0;
    std::size_t ties = 0;
    for (const PeerPath &peer : this->peers) {
        if (!this->isUsable(peer, target, homes) || std::find(tried.begin(), tried.end(), peer.instance) != tried.end()) {
            continue;
        }
        const std::uint32_t penalty = peer.dataCentre == this->ownDataCentre ? 0 : otherDataCentrePenalty;
        const std::uint32_t load = this->forwardedTo(peer.instance) + penalty;
        ties = best != nullptr && load == lowest ? ties + 1 : 1;
        const bool isBetter = best == nullptr || load < lowest;
        if (isBetter || (load == lowest && this->random() % ties == 0)) {
            best = &peer;
            lowest = load;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ++this->forwarded[best->instance];
    return *best;
}

void PeerPaths::release(const InstanceId &peer)
{
    const auto known = this->forwarded.find(peer);
    if (known != this->forwarded.end() && --known->second == 0) {
        this->forwarded.erase(known);
    }
}

void PeerPaths::recordUnreachable(const InstanceId &peer, const TargetName &target)
{
    this->refused.emplace(peer, target);
}

void PeerPaths::clearRefusals()
{
    this->refused.clear();
}

bool PeerPaths::canServe(const TargetName &target, const Homes &homes) const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [this, &target, &homes](const PeerPath &peer) {
        return this->isUsable(peer, target, homes);
    });
}

bool PeerPaths::isUsable(const PeerPath &peer, const TargetName &target, const Homes &homes) const
{
    // The body of a request must not leave its homes.
    return (!homes.has_value() || isHome(*homes, this->regions, peer.dataCentre))
        && this->forwardedTo(peer.instance) < maxForwarded
        && std::find(peer.unreachable.begin(), peer.unreachable.end(), target) == peer.unreachable.end()
        && !this->refused.contains({peer.instance, target});
}

std::uint32_t PeerPaths::forwardedTo(const InstanceId &peer) const
{
    const auto known = this->forwarded.find(peer);
    return known == this->forwarded.end() ? 0 : known->second;
}

} // namespace flamingosaddle
