#pragma once

#include <flamingosaddle/base/id.h>

#include <cstdint>

namespace flamingosaddle
{

/**
 * A prompt prefix that was sent to a backend server, which keeps it for later prompts with the same prefix.
 */
struct PromptPrefill {
    BackendServerId server;
    std::uint64_t prefixHash = 0;

    friend bool operator==(const PromptPrefill &, const PromptPrefill &) = default;
};

} // namespace flamingosaddle
