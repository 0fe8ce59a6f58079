#include <flamingosaddle/traffic/forward.h>

#include <algorithm>

namespace flamingosaddle
{

namespace
{

constexpr double maxPeerWaitFraction = 0.5; // maximum wait at the peer, as a fraction of the local wait

std::optional<double> waitOf(const QueueWaitReport &pressure, const ForwardRequest &request)
{
    if (pressure.model != request.model || pressure.service != request.service) {
        return std::nullopt;
    }
    for (const TierWait &wait : pressure.waits) {
        if (wait.tier == request.tier) {
            return wait.seconds;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::size_t> Forwarder::choosePeer(
    const ForwardRequest &request, const std::vector<QueueWaitReport> &peers, TimePoint now)
{
    if (request.forwarded || request.localWaitSeconds <= request.slackSeconds * maxSlackFraction) {
        return std::nullopt;
    }
    const double maxWait = std::min(request.localWaitSeconds * maxPeerWaitFraction, std::max(0.0, request.slackSeconds));
    this->candidates.clear();
    for (std::size_t i = 0; i < peers.size(); ++i) {
        const std::optional<double> wait = waitOf(peers[i], request);
        if (wait.has_value() && *wait <= maxWait && now - peers[i].measuredAt <= maxReportAge) {
            this->candidates.emplace_back(*wait, i);
        }
    }
    if (this->candidates.empty()) {
        return std::nullopt;
    }
    const auto &first = this->candidates[this->random() % this->candidates.size()];
    const auto &second = this->candidates[this->random() % this->candidates.size()];
    return std::min(first, second).second;
}

} // namespace flamingosaddle
