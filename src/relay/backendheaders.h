#pragma once

#include <flamingosaddle/base/trace.h>
#include <flamingosaddle/http/message.h>

#include <string_view>

namespace flamingosaddle
{

/**
 * The caller's fields that a backend server may see: those of a list, never a key, a cookie or a field of one hop.
 */
HttpHeaders headersForBackend(const HttpHeaders &fromCaller, std::string_view requestId, const TraceContext &trace, int tier);

/**
 * The backend server's fields that the caller may see: all but those of one hop and those that the router sets.
 */
HttpHeaders headersForCaller(const HttpHeaders &fromBackend);

} // namespace flamingosaddle
