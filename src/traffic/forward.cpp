#include <flamingosaddle/traffic/forward.h>

#include <algorithm>

namespace flamingosaddle
{

namespace
{

constexpr double worthwhilePart = 0.5; // of the wait here, at most, that the wait there may take

std::optional<double> waitOf(const QueuePressure &pressure, const ForwardQuestion &question)
{
    if (pressure.model != question.model || pressure.service != question.service) {
        return std::nullopt;
    }
    for (const TierWait &wait : pressure.waits) {
        if (wait.tier == question.tier) {
            return wait.seconds;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::size_t> Forwarder::choose(
    const ForwardQuestion &question, const std::vector<QueuePressure> &peers, TimePoint now)
{
    if (question.forwarded || question.ownWaitSeconds <= question.slackSeconds * maxSlackPart) {
        return std::nullopt;
    }
    const double longest = std::min(question.ownWaitSeconds * worthwhilePart, std::max(0.0, question.slackSeconds));
    this->candidates.clear();
    for (std::size_t i = 0; i < peers.size(); ++i) {
        const std::optional<double> wait = waitOf(peers[i], question);
        if (wait.has_value() && *wait <= longest && now - peers[i].measuredAt <= maxAge) {
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
