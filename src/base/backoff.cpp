#include <flamingosaddle/base/backoff.h>

#include <algorithm>

namespace flamingosaddle
{

Backoff::Backoff(Duration first, Duration limit, std::uint64_t seed)
    : first(first)
    , limit(limit)
    , step(first)
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
}

Duration Backoff::next()
{
    std::uniform_int_distribution<Duration::rep> distribution(this->step.count() / 2, this->step.count());
    const Duration delay(distribution(this->random));
    this->step = std::min(this->step * 2, this->limit);
    return delay;
}

void Backoff::reset()
{
    this->step = this->first;
}

} // namespace flamingosaddle
