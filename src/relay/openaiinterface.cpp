#include <flamingosaddle/relay/callerinterface.h>

#include "backendheaders.h"
#include "modelcall.h"
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
    request.method = context.fromCaller.method;
    request.target = context.fromCaller.target;
    request.headers
        = headersForBackend(context.fromCaller.headers, context.requestId, context.trace, context.profile.requestClass.tier);
    request.body = context.resumeAfter.has_value() ? withResumePosition(context.fromCaller.body, *context.resumeAfter)
                                                   : context.fromCaller.body;
    return request;
}

bool isRetryable(const RequestProfile &profile, int status)
{
    const bool isTemporary = status == 429 || status == 502 || status == 503 || status == 504;
    return profile.idempotent && (isTemporary || (status == 500 && !profile.model.isEmpty()));
}

} // namespace

CallerInterface openAiInterface(const std::string &keySecret, const RequestClass &openClass)
{
    CallerInterface interface;
    interface.requestId = [](const HttpRequest &) {
        return randomHexId();
    };
    interface.route = [router = RequestRouter(keySecret, openClass)](
                          const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now) {
        return router.route(snapshot, request, now);
    };
    interface.backendRequest = backendRequestOf;
    interface.judgeAnswer = [](const HttpRequest &, const HttpResponseHead &) {
        return AnswerVerdict::Genuine;
    };
    interface.answerHeaders = headersForCaller;
    interface.ownHeaders = [](std::string_view requestId, const TraceContext &trace) {
        return HttpHeaders{{requestIdHeader, std::string(requestId)}, {traceHeader, trace.format()}};
    };
    interface.isWorthRetry = isRetryable;
    interface.renderRefusal = renderRefusal;
    interface.brokenStreamEvent = errorEvent;
    return interface;
}

} // namespace flamingosaddle
