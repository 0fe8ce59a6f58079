#include <flamingosaddle/traffic/rejectionlimits.h>

#include <algorithm>

namespace flamingosaddle
{

bool RejectionLimits::applyResponse(TargetIndex target, const ServerRejectionLimit &stated)
{
    const auto servers = this->entries.find(target);
    const bool isKnown = servers != this->entries.end() && servers->second.contains(stated.server);
    if (!stated.rejectionsPerSecond.has_value()) {
        if (isKnown && servers->second.erase(stated.server) > 0 && servers->second.empty()) {
            this->entries.erase(servers);
        }
        return this->removeUnconfirmed(target, stated.statedAt) || isKnown;
    }
    const bool isChanged = !isKnown || !this->isConfirmed(target, stated.statedAt)
        || servers->second.at(stated.server).rejectionsPerSecond != stated.rejectionsPerSecond;
    this->entries[target][stated.server] = stated;
    return isChanged;
}

bool RejectionLimits::applyPeerReport(TargetIndex target, std::uint32_t rejectionsPerSecond, TimePoint statedAt)
{
    const bool isNew = !this->hasLimit(target);
    PeerReport &report = this->peerReports[target];
    if (isNew || report.statedAt < statedAt) {
        report = {rejectionsPerSecond, statedAt};
    }
    return isNew;
}

void RejectionLimits::setInstances(const InstanceId &self, const std::vector<InstanceId> &peers)
{
    this->instances = peers.size() + 1;
    this->ownPosition = static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&self](const InstanceId &peer) {
        return peer < self;
    }));
}

bool RejectionLimits::removeUnconfirmed(TargetIndex target, TimePoint now)
{
    bool removed = false;
    const auto report = this->peerReports.find(target);
    if (report != this->peerReports.end() && now - report->second.statedAt >= statementValidity) {
        this->peerReports.erase(report);
        removed = true;
    }
    const auto known = this->entries.find(target);
    if (known == this->entries.end()) {
        return removed;
    }
    const std::size_t count = std::erase_if(known->second, [now](const auto &entry) {
        return now - entry.second.statedAt >= statementValidity;
    });
    if (known->second.empty()) {
        this->entries.erase(known);
    }
    return removed || count > 0;
}

bool RejectionLimits::hasLimit(TargetIndex target) const
{
    return this->entries.contains(target) || this->peerReports.contains(target);
}

std::optional<RejectionLimits::PeerReport> RejectionLimits::ownReport(TargetIndex target, TimePoint now) const
{
    const auto servers = this->entries.find(target);
    if (servers == this->entries.end()) {
        return std::nullopt;
    }
    std::optional<PeerReport> report;
    for (const auto &[id, stated] : servers->second) {
        if (now - stated.statedAt >= statementValidity) {
            continue;
        }
        if (!report.has_value()) {
            report = PeerReport{*stated.rejectionsPerSecond, stated.statedAt};
        }
        report->rejectionsPerSecond = std::min(report->rejectionsPerSecond, *stated.rejectionsPerSecond);
        report->statedAt = std::max(report->statedAt, stated.statedAt);
    }
    return report;
}

std::optional<std::uint32_t> RejectionLimits::limitOf(TargetIndex target, const BackendServerId &server) const
{
    std::optional<std::uint32_t> lowest;
    const auto take = [&lowest](std::uint32_t limit) {
        lowest = std::min(lowest.value_or(limit), limit);
    };
    const auto servers = this->entries.find(target);
    if (servers != this->entries.end()) {
        const auto own = servers->second.find(server);
        if (own != servers->second.end()) {
            return own->second.rejectionsPerSecond;
        }
        for (const auto &[id, stated] : servers->second) {
            take(*stated.rejectionsPerSecond);
        }
    }
    const auto peers = this->peerReports.find(target);
    if (peers != this->peerReports.end()) {
        take(peers->second.rejectionsPerSecond);
    }
    return lowest;
}

std::optional<std::size_t> RejectionLimits::serverToTry(TargetIndex target, std::size_t count, TimePoint now) const
{
    return count == 0 || this->isConfirmed(target, now) ? std::nullopt : std::optional(this->ownPosition % count);
}

bool RejectionLimits::isConfirmed(TargetIndex target, TimePoint now) const
{
    const auto peers = this->peerReports.find(target);
    const bool isReported = peers != this->peerReports.end() && now - peers->second.statedAt < statementValidity;
    return isReported || this->ownReport(target, now).has_value();
}

std::uint32_t RejectionLimits::ownPart(std::size_t amount, std::size_t position) const
{
    const std::size_t rest = amount % this->instances;
    const std::size_t first = position * rest % this->instances;
    const std::size_t turn = (this->ownPosition + this->instances - first) % this->instances;
    return static_cast<std::uint32_t>(amount / this->instances + (turn < rest ? 1 : 0));
}

std::optional<RejectionShare> RejectionLimits::share(
    TargetIndex target, const BackendServerId &server, const ServerPlace &place) const
{
    const std::optional<std::uint32_t> stated = this->limitOf(target, server);
    if (!stated.has_value()) {
        return std::nullopt;
    }
    const auto pause = std::chrono::duration_cast<Duration>(window * pauseMargin);
    const std::size_t limit = std::max<std::size_t>(*stated, 1);
    if (this->instances <= limit) {
        return RejectionShare{static_cast<std::uint32_t>(limit / this->instances), pause, std::nullopt};
    }
    if (place.count * limit >= this->instances) {
        return RejectionShare{this->ownPart(limit, place.position), pause, std::nullopt};
    }
    const double scale = static_cast<double>(this->instances) / static_cast<double>(limit);
    const std::uint32_t slots = this->ownPart(place.slots, place.position);
    return RejectionShare{std::min(slots, 1U), std::chrono::duration_cast<Duration>(pause * scale), slots};
}

} // namespace flamingosaddle
