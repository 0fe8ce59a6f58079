#include <flamingosaddle/state/storeprogress.h>

#include <algorithm>

namespace flamingosaddle
{

namespace
{

// Bounds the age that a peer reports; a proof older than this is useless.
constexpr std::chrono::milliseconds maxAge = std::chrono::hours(1);

} // namespace

RelayedTopic::RelayedTopic(Duration stalenessLimit, Duration responseTimeout)
    : patience(stalenessLimit)
    , answerPatience(responseTimeout)
{
}

void RelayedTopic::note(const TopicProgress &progress, TimePoint requestedAt, TimePoint now)
{
    this->answeredAt = now;
    this->highest = std::max(this->highest, progress.next);
    // A time after the request was sent would claim more freshness than the response proves.
    const TimePoint time = std::min(requestedAt, now) - std::clamp(progress.age, std::chrono::milliseconds(0), maxAge);
    // A response with a lower log end than the highest known one proves nothing about newer records.
    if (progress.next < this->highest) {
        return;
    }
    if (progress.next > this->provedEnd || !this->proof.has_value() || time > *this->proof) {
        this->provedEnd = progress.next;
        this->proof = time;
    }
}

std::optional<TimePoint> RelayedTopic::provedAt(std::uint64_t nextOffset) const
{
    return this->provedEnd <= nextOffset ? this->proof : std::nullopt;
}

bool RelayedTopic::isFollowed(TimePoint now) const
{
    return now < this->followedUntil();
}

TimePoint RelayedTopic::followedUntil() const
{
    if (!this->proof.has_value()) {
        return TimePoint::min();
    }
    return std::min(*this->proof + this->patience, *this->answeredAt + this->answerPatience);
}

std::uint64_t RelayedTopic::end() const
{
    return this->highest;
}

} // namespace flamingosaddle
