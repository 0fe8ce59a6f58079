#pragma once

#include <cstdint>

namespace flamingosaddle
{

/**
 * Exponentially weighted moving average. The first samples are weighted evenly to avoid an initial bias.
 */
class MovingAverage
{
public:
    /** @param weight weight of a new sample once enough samples exist, above 0 and at most 1 */
    explicit MovingAverage(double weight = 0.1)
        : weight(weight)
    {
    }

    // Commands.

    void add(double sample)
    {
        ++this->samples;
        const double even = 1.0 / static_cast<double>(this->samples);
        this->mean += (sample - this->mean) * (even > this->weight ? even : this->weight);
    }

    // Queries.

    /** Returns the average, or 0 before the first sample. */
    double value() const
    {
        return this->mean;
    }

    std::uint64_t count() const
    {
        return this->samples;
    }

private:
    double weight;
    double mean = 0.0;
    std::uint64_t samples = 0;
};

} // namespace flamingosaddle
