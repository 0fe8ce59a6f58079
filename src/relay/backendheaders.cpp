#include "backendheaders.h"

#include <flamingosaddle/relay/protocoladapter.h>

#include <algorithm>
#include <array>
#include <string>

namespace flamingosaddle
{

namespace
{

constexpr std::array<std::string_view, 8> forwardedToBackend
    = {"Accept", "Accept-Language", "Content-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match", "Range"};

constexpr std::string_view rateLimitHeader = "X-Flamingosaddle-Rate-Limit";

constexpr std::array<std::string_view, 15> hiddenFromCaller = {"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "X-Request-Id", "traceparent",
    "X-Flamingosaddle-Run-State", "X-Flamingosaddle-Priority", rateLimitHeader};

template <std::size_t size>
bool isListed(const std::array<std::string_view, size> &names, const std::string &name)
{
    return std::any_of(names.begin(), names.end(), [&name](std::string_view listed) {
        return equalHeaderNames(listed, name);
    });
}

} // namespace

HttpHeaders headersForBackend(const HttpHeaders &callerRequest, std::string_view requestId, const TraceContext &trace, int tier)
{
    HttpHeaders headers;
    for (const HttpHeader &field : callerRequest.fields()) {
        if (isListed(forwardedToBackend, field.name)) {
            headers.add(field.name, field.value);
        }
    }
    headers.add("X-Request-Id", std::string(requestId));
    headers.add("traceparent", trace.format());
    headers.add("X-Flamingosaddle-Priority", std::to_string(tier));
    return headers;
}

HttpHeaders headersForCaller(const HttpHeaders &fromBackend)
{
    HttpHeaders headers;
    for (const HttpHeader &field : fromBackend.fields()) {
        if (!isListed(hiddenFromCaller, field.name)) {
            headers.add(field.name, field.value);
        }
    }
    return headers;
}

std::optional<double> rateLimitOf(const HttpHeaders &fromBackend)
{
    return parseRateLimit(fromBackend.find(rateLimitHeader));
}

} // namespace flamingosaddle
