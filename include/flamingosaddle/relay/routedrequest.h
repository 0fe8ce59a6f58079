#pragma once

#include <flamingosaddle/base/id.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>
#include <string>

namespace flamingosaddle
{

/**
 * Result of routing: the destination of a request, its key and its profile.
 */
struct RoutedRequest {
    enum class Target {
        ModelList, ///< served by the router itself
        Model,
        Service,
    };

    Target target = Target::Service;
    KeyId key; ///< empty on a route that needs no key
    RouteId route; ///< empty for model requests
    RequestProfile profile;
    bool stream = false;
    bool resumable = false; ///< whether an interrupted stream may resume at another backend server
    std::uint64_t resumeAfter = 0; ///< id of the last event that the caller has; 0 to start from the beginning
    std::string resumedRequest; ///< id of the caller's request that brought the stream's first event; empty if not stated

    friend bool operator==(const RoutedRequest &, const RoutedRequest &) = default;
};

} // namespace flamingosaddle
