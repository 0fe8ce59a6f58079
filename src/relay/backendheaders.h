#pragma once

#include <flamingosaddle/base/trace.h>
#include <flamingosaddle/http/message.h>

#include <optional>
#include <string_view>

namespace flamingosaddle
{

/**
 * Returns the header fields of the request to a backend server: those of the caller's that are on an allow list, which has no
 * credentials, cookies or hop-by-hop fields, and the router's own.
 */
HttpHeaders headersForBackend(const HttpHeaders &callerRequest, std::string_view requestId, const TraceContext &trace, int tier);

/**
 * Returns the backend server's header fields that are forwarded to the caller: all except hop-by-hop fields and those that
 * the router sets.
 */
HttpHeaders headersForCaller(const HttpHeaders &fromBackend);

/** Returns the rate limit that the backend server states, see ProtocolAdapter::rateLimit. */
std::optional<double> rateLimitOf(const HttpHeaders &fromBackend);

} // namespace flamingosaddle
