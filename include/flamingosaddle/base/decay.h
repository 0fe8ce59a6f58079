#pragma once

#include <flamingosaddle/base/clock.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace flamingosaddle
{

/**
 * Returns the fraction of an exponentially decaying sum that remains after @p passed: 1 at zero, 1/e after @p horizon. A
 * negative @p passed counts as zero.
 */
inline double decay(Duration passed, Duration horizon)
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(passed) / std::chrono::duration<double>(horizon)));
}

} // namespace flamingosaddle
