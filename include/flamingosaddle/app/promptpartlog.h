#pragma once

#include <flamingosaddle/base/loglimit.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>

namespace flamingosaddle
{

/**
 * Logs each quarantine and each clearance of a part of prompts, up to a number of lines a second. Thread-safe.
 */
class PromptPartLog
{
public:
    static constexpr std::uint32_t maxLines = 20; ///< a second

    void observe(const PromptPartChange &change);

private:
    LogLimit limit{maxLines, "traffic", "changes of suspected parts of prompts were not logged"};
};

} // namespace flamingosaddle
