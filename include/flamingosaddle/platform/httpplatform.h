#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/platform/platform.h>

namespace flamingosaddle
{

struct HttpPlatformOptions {
    Endpoint endpoint;
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration timeout = std::chrono::seconds(2); ///< beyond the wait of a read

    friend bool operator==(const HttpPlatformOptions &, const HttpPlatformOptions &) = default;
};

/**
 * The platform's interfaces over HTTP and JSON, as docs/PROTOCOL.md gives them. Each call runs on the executor of the
 * coroutine that awaits it, on a connection of its own.
 */
Platform httpPlatform(const HttpPlatformOptions &options);

} // namespace flamingosaddle
