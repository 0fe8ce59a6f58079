#pragma once

#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/state/targetname.h>

#include <vector>

namespace flamingosaddle
{

/**
 * A peer that takes requests which other instances forward to it.
 */
struct PeerPath {
    InstanceId instance;
    Endpoint address; ///< at which it takes forwarded requests
    DataCentre dataCentre;
    std::vector<TargetName> unreachable; ///< targets to whose servers it has no path

    friend bool operator==(const PeerPath &, const PeerPath &) = default;
};

} // namespace flamingosaddle
