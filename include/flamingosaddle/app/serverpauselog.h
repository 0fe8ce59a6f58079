#pragma once

#include <flamingosaddle/base/id.h>
#include <flamingosaddle/base/loglimit.h>

#include <cstdint>

namespace flamingosaddle
{

/**
 * Logs each request of a backend server for a pause, up to a number of lines a second. Thread-safe.
 */
class ServerPauseLog
{
public:
    static constexpr std::uint32_t maxLines = 50; ///< a second

    void observe(const BackendServerId &server, Duration pause);

private:
    LogLimit limit{maxLines, "traffic", "pauses of backend servers were not logged"};
};

} // namespace flamingosaddle
