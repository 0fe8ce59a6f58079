#pragma once

#include <flamingosaddle/base/clock.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace flamingosaddle
{

/**
 * The part of an exponentially decaying sum that is left after @p passed: 1 at once, 1/e after @p horizon. A time before the
 * last one counts as no time.
 */
inline double decay(Duration passed, Duration horizon)
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(passed) / std::chrono::duration<double>(horizon)));
}

} // namespace flamingosaddle
