#include <flamingosaddle/relay/protocoladapter.h>

#include "backendheaders.h"
#include "completionrequest.h"
#include "requestrouter.h"

namespace flamingosaddle
{

namespace
{

constexpr const char *requestIdHeader = "X-Request-Id";
constexpr const char *traceHeader = "traceparent";

HttpRequest backendRequestOf(const BackendRequestContext &context)
{
    HttpRequest request;
    request.method = context.callerRequest.method;
    request.target = context.callerRequest.target;
    request.headers
        = headersForBackend(context.callerRequest.headers, context.requestId, context.trace, context.profile.requestClass.tier);
    if (context.resumeAfter.has_value()) {
        request.body = withResumePosition(context.callerRequest.body, *context.resumeAfter);
    } else {
        request.borrowedBody = context.callerRequest.payload();
    }
    return request;
}

bool isRetryable(const RequestProfile &profile, int status)
{
    const bool isTemporary = status == 429 || status == 502 || status == 503 || status == 504;
    return profile.idempotent && (isTemporary || (status == 500 && !profile.model.isEmpty()));
}

} // namespace

ProtocolAdapter openAiAdapter(const std::string &keySecret, const RequestClass &openClass)
{
    ProtocolAdapter adapter;
    adapter.requestId = [](const HttpRequest &) {
        return randomHexId();
    };
    adapter.route = [router = RequestRouter(keySecret, openClass)](
                        const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now) {
        return router.route(snapshot, request, now);
    };
    adapter.admitHead = [router = RequestRouter(keySecret, openClass)](
                            const RoutingSnapshot &snapshot, const HttpRequest &head, TimePoint now) {
        return router.admitHead(snapshot, head, now);
    };
    adapter.buildBackendRequest = backendRequestOf;
    adapter.checkResponse = [](const HttpRequest &, const HttpResponseHead &) {
        return ResponseCheck::Valid;
    };
    adapter.responseHeaders = headersForCaller;
    adapter.rateLimit = rateLimitOf;
    adapter.isServerLeaving = [](const HttpHeaders &) {
        return false; // the configuration says which servers leave
    };
    adapter.routerHeaders = [](std::string_view requestId, const TraceContext &trace) {
        return HttpHeaders{{requestIdHeader, std::string(requestId)}, {traceHeader, trace.format()}};
    };
    adapter.isRetryableStatus = isRetryable;
    adapter.renderRefusal = renderRefusal;
    adapter.streamErrorEvent = errorEvent;
    return adapter;
}

} // namespace flamingosaddle
