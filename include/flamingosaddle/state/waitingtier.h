#pragma once

#include <flamingosaddle/base/id.h>

#include <cstdint>

namespace flamingosaddle
{

/**
 * The highest tier with requests that wait at an instance for capacity of the backend servers of a model or service.
 */
struct WaitingTier {
    ModelName model; ///< empty for a plain service
    ServiceName service; ///< empty for a model
    std::int32_t tier = 0;

    friend bool operator==(const WaitingTier &, const WaitingTier &) = default;
};

} // namespace flamingosaddle
