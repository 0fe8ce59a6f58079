#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/relay/callerhooks.h>

#include <cstdint>
#include <mutex>

namespace flamingosaddle
{

/**
 * One log line for each request at its end: who asked, what decided, where it ran and what became of it. The volume is
 * bounded: of requests that went as they should a limited number a second is logged, of the others a larger one; a line tells
 * how many were left out. Any thread may call it.
 */
class RequestLog
{
public:
    static constexpr std::uint32_t maxServedLines = 50; ///< a second
    static constexpr std::uint32_t maxFailedLines = 200; ///< a second

    void observe(const RequestOutcome &outcome);

private:
    bool mayLog(bool served, TimePoint now);

    std::mutex mutex;
    TimePoint second;
    std::uint32_t servedLines = 0;
    std::uint32_t failedLines = 0;
    std::uint64_t leftOut = 0;
};

} // namespace flamingosaddle
