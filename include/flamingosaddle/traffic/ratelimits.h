#pragma once

#include <flamingosaddle/traffic/types.h>

#include <cstddef>
#include <map>

namespace flamingosaddle
{

/**
 * The known rate limits of backend servers.
 */
class RateLimits
{
public:
    // Commands.

    /**
     * Applies the limit that a server stated in the response to a request sent at @p sentAt. Returns whether the known limit
     * changed. A response to a request that was sent before the known limit was stated may be older than that statement, so it
     * can only lower the limit.
     */
    bool applyResponse(const ServerRateLimit &stated, TimePoint sentAt);

    // Queries.

    /** Returns the number of servers with a limit. */
    std::size_t size() const;

private:
    std::map<BackendServerId, ServerRateLimit> limits;
};

} // namespace flamingosaddle
