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
 * Final response to a request that is not served, and its reason for logs and metrics.
 */
struct RefusalResponse {
    int status = 0;
    Error error;
    RunState runState = RunState::NotRun;
    std::optional<std::chrono::seconds> retryAfter; ///< of temporary refusals
    std::optional<RefusalReason> reason; ///< when the dispatcher refused the request

    friend bool operator==(const RefusalResponse &, const RefusalResponse &) = default;
};

/** Returns the response to a request that was refused before anything was sent to a backend server. */
RefusalResponse refusalFor(const Error &error);

/** Returns the response to a request that the dispatcher refused. */
RefusalResponse refusalFor(const Refusal &refusal);

/** Returns the response to a request that failed at a backend server and may not be retried. */
RefusalResponse refusalForFailure(const Error &failure, const Refusal &refusal);

/** Returns the refusal as an HTTP response in the OpenAI error format. */
HttpResponse renderRefusal(const RefusalResponse &refusal);

/** Returns the event that reports the error of an interrupted stream to its caller. */
std::string errorEvent(const Error &error);

} // namespace flamingosaddle
