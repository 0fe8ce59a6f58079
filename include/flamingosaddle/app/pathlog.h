#pragma once

#include <flamingosaddle/base/loglimit.h>
#include <flamingosaddle/traffic/serverpaths.h>

#include <cstdint>

namespace flamingosaddle
{

/**
 * Logs when this instance loses the path to the servers of a target and when it finds it again, up to a number of lines a second.
 * Thread-safe.
 */
class PathLog
{
public:
    static constexpr std::uint32_t maxLines = 20; ///< a second

    void observe(const PathChange &change);

private:
    LogLimit limit{maxLines, "traffic", "changes of paths to backend servers were not logged"};
};

} // namespace flamingosaddle
