#pragma once

#include "json.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace flamingosaddle::standins
{

/**
 * Faults of a backend server. The counted ones hold for as many requests as they say.
 */
struct BackendFaults {
    bool down = false; ///< closes each connection unanswered, nothing is run
    bool silent = false; ///< reads each request and never answers
    bool freezeStreams = false; ///< no token comes until it is switched off
    std::chrono::milliseconds delay{0}; ///< before a request is run
    std::optional<std::uint32_t> truncateAfter; ///< tokens after which a stream breaks off; null switches it off
    bool truncateCleanly = false; ///< a truncated stream ends its HTTP body, without `[DONE]`
    unsigned closeBeforeAnswer = 0; ///< requests that are not run, their connection closed
    unsigned loseAnswer = 0; ///< requests that are run and their connection closed unanswered
    int status = 0; ///< answers every request with this status, without running it; 0 switches it off
    unsigned retryAfter = 0; ///< seconds that a response with that status asks to wait; 0 for none
    std::optional<double> rateLimit; ///< requests per second that responses state; null switches it off
    double slowFactor = 1.0; ///< multiplies the time between tokens

    /** Sets the fields that @p faults names and leaves the others alone. */
    void set(const Json &faults);

    friend bool operator==(const BackendFaults &, const BackendFaults &) = default;
};

/** Uses up one of @p count; answers whether there was one. */
bool takeOne(unsigned &count);

} // namespace flamingosaddle::standins
