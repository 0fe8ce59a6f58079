#pragma once

#include <flamingosaddle/base/loglimit.h>
#include <flamingosaddle/traffic/coldservers.h>

#include <cstdint>

namespace flamingosaddle
{

/**
 * Logs when a backend server turns cold and when it is warm again, up to a number of lines a second. Thread-safe.
 */
class ColdServerLog
{
public:
    static constexpr std::uint32_t maxLines = 50; ///< a second

    void observe(const ColdServerChange &change);

private:
    LogLimit limit{maxLines, "traffic", "changes of cold backend servers were not logged"};
};

} // namespace flamingosaddle
