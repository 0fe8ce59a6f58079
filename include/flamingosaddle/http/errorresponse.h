#pragma once

#include <flamingosaddle/base/error.h>
#include <flamingosaddle/http/message.h>

#include <chrono>
#include <optional>

namespace flamingosaddle
{

/**
 * The name of the header that says whether a refused request can have run.
 */
inline constexpr const char *runStateHeader = "X-Flamingosaddle-Run-State";
inline constexpr const char *notRunText = "not-run";
inline constexpr const char *unknownRunText = "unknown";

/**
 * The HTTP status that stands for @p kind.
 */
int httpStatus(ErrorKind kind);

/**
 * The body of an error in the shape that OpenAI clients read: message with the remedy, type and code.
 */
std::string errorBody(const Error &error);

/**
 * An answer with the status and the body that stand for @p error, and the run state "not-run".
 */
HttpResponse errorResponse(const Error &error);

} // namespace flamingosaddle
