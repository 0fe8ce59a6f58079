#pragma once

#include <flamingosaddle/base/id.h>

#include <cstdint>

namespace flamingosaddle
{

/**
 * A beginning of a prompt that a backend server has been given to read, and keeps for the next prompt with it.
 */
struct PromptRead {
    BackendServerId server;
    std::uint64_t prefixHash = 0;

    friend bool operator==(const PromptRead &, const PromptRead &) = default;
};

} // namespace flamingosaddle
