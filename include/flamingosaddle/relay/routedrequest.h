#pragma once

#include <flamingosaddle/base/id.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>

namespace flamingosaddle
{

/**
 * Where a request goes and for whom it runs.
 */
struct RoutedRequest {
    enum class Target {
        ModelList, ///< answered here
        Model,
        Service,
    };

    Target target = Target::Service;
    KeyId key; ///< empty on a route open to all
    RouteId route; ///< empty for a model
    RequestProfile profile;
    bool stream = false;
    bool resumable = false; ///< whether a stream that broke off may go on at another backend server
    std::uint64_t resumeAfter = 0; ///< event that the caller has already; 0 for a stream from its beginning

    friend bool operator==(const RoutedRequest &, const RoutedRequest &) = default;
};

} // namespace flamingosaddle
