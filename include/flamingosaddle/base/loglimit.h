#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace flamingosaddle
{

/**
 * Limits the lines of one kind that are logged in a second. Logs how many were omitted. Thread-safe.
 */
class LogLimit
{
public:
    /** @param omissionEvent event of the line that has the number of omitted lines */
    LogLimit(std::uint32_t maxLines, std::string module, std::string omissionEvent);

    /** Returns whether another line may be logged at @p now, and counts it. */
    bool mayLog(TimePoint now);

private:
    std::uint32_t maxLines; // a second
    std::string module;
    std::string omissionEvent;
    std::mutex mutex;
    TimePoint second;
    std::uint32_t lines = 0;
    std::uint64_t omitted = 0;
};

} // namespace flamingosaddle
