#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>
#include <mutex>
#include <string_view>

namespace flamingosaddle
{

/**
 * Logs each change of a backend server's known rate limit, up to a number of lines a second. Thread-safe.
 */
class RateLimitLog
{
public:
    static constexpr std::uint32_t maxLines = 20; ///< a second

    /** @param source what the limit was learned from: "response" or "peer" */
    void observe(const ServerRateLimit &limit, std::string_view source);

private:
    bool mayLog(TimePoint now);

    std::mutex mutex;
    TimePoint second;
    std::uint32_t lines = 0;
    std::uint64_t omitted = 0;
};

} // namespace flamingosaddle
