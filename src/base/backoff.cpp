#include <flamingosaddle/base/backoff.h>

#include <algorithm>

namespace flamingosaddle
{

Backoff::Backoff(Duration first, Duration limit, std::uint64_t seed)
    : initialDelay(first)
    , maxDelay(limit)
    , currentDelay(first)
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
}

Duration Backoff::next()
{
    std::uniform_int_distribution<Duration::rep> distribution(this->currentDelay.count() / 2, this->currentDelay.count());
    const Duration delay(distribution(this->random));
    this->currentDelay = std::min(this->currentDelay * 2, this->maxDelay);
    return delay;
}

void Backoff::reset()
{
    this->currentDelay = this->initialDelay;
}

} // namespace flamingosaddle
