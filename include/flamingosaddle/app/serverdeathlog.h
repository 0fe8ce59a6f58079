#pragma once

#include <flamingosaddle/base/loglimit.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>
#include <string_view>

namespace flamingosaddle
{

/**
 * Logs each report that a backend server died while it ran a request, up to a number of lines a second. Thread-safe.
 */
class ServerDeathLog
{
public:
    static constexpr std::uint32_t maxLines = 50; ///< a second

    /** @param source where the report comes from: "response" or "peer" */
    void observe(const ServerDeath &death, std::string_view source);

private:
    LogLimit limit{maxLines, "traffic", "deaths of backend servers were not logged"};
};

} // namespace flamingosaddle
