#pragma once

#include <flamingosaddle/base/error.h>
#include <flamingosaddle/http/message.h>
#include <flamingosaddle/traffic/types.h>

#include <chrono>
#include <optional>
#include <string>

namespace flamingosaddle
{

/**
 * The final answer to a request that is not served: what the caller is told and how the request is counted.
 */
struct RefusalAnswer {
    int status = 0;
    Error error;
    RunState runState = RunState::NotRun;
    std::optional<std::chrono::seconds> retryAfter; ///< of refusals that pass
    std::optional<RefusalReason> reason; ///< of a decision of the dispatcher

    friend bool operator==(const RefusalAnswer &, const RefusalAnswer &) = default;
};

/** The answer to a request that was refused before anything was sent to a backend server. */
RefusalAnswer refusalOf(const Error &error);

/** The answer to a request that the dispatcher refused. */
RefusalAnswer refusalOf(const Refusal &refusal);

/** The answer to a request that failed at a backend server and may not run again. */
RefusalAnswer refusalAfter(const Error &failure, const Refusal &refusal);

HttpResponse renderRefusal(const RefusalAnswer &answer);

/** The event that tells the caller of a stream that it has broken off. */
std::string errorEvent(const Error &error);

} // namespace flamingosaddle
