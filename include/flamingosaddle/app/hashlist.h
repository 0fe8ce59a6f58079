#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flamingosaddle
{

/** Returns the hashes as decimal numbers separated by commas, for log lines. */
inline std::string hashList(const std::vector<std::uint64_t> &hashes)
{
    std::string text;
    for (const std::uint64_t hash : hashes) {
        text += (text.empty() ? "" : ",") + std::to_string(hash);
    }
    return text;
}

} // namespace flamingosaddle
