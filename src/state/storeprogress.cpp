#include <flamingosaddle/state/storeprogress.h>

#include <algorithm>

namespace flamingosaddle
{

namespace
{

// Older ones prove nothing that is of use.
constexpr std::chrono::milliseconds oldestAge = std::chrono::hours(1);

} // namespace

RelayedTopic::RelayedTopic(Duration patience, Duration answerPatience)
    : patience(patience)
    , answerPatience(answerPatience)
{
}

void RelayedTopic::note(const TopicProgress &progress, TimePoint askedAt, TimePoint now)
{
    this->answeredAt = now;
    this->highest = std::max(this->highest, progress.next);
    // A proof from the time after the question would extend the right to serve.
    const TimePoint provedAt = std::min(askedAt, now) - std::clamp(progress.age, std::chrono::milliseconds(0), oldestAge);
    // A proof of an end below the highest known one is no proof of anything newer.
    if (progress.next < this->highest) {
        return;
    }
    if (progress.next > this->provedEnd || !this->proof.has_value() || provedAt > *this->proof) {
        this->provedEnd = progress.next;
        this->proof = provedAt;
    }
}

std::optional<TimePoint> RelayedTopic::provedAt(std::uint64_t next) const
{
    return this->provedEnd <= next ? this->proof : std::nullopt;
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
