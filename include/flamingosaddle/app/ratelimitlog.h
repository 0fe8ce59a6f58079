#pragma once

#include <flamingosaddle/base/loglimit.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>
#include <string_view>

namespace flamingosaddle
{

/**
 * Logs each change of a backend server's known limits on requests and on rejections, up to a number of lines a second.
 * Thread-safe.
 */
class RateLimitLog
{
public:
    static constexpr std::uint32_t maxLines = 20; ///< a second

    /** @param source what the limit was learned from: "response" or "peer" */
    void observe(const ServerRateLimit &change, std::string_view source);
    void observe(const ServerRejectionLimit &change);
    void observe(const TargetRejectionLimit &report); ///< of a peer

private:
    LogLimit limit{maxLines, "traffic", "changes of servers' limits were not logged"};
};

} // namespace flamingosaddle
