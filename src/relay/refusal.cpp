#include <flamingosaddle/relay/refusal.h>

#include <flamingosaddle/http/errorresponse.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::seconds defaultRetryAfter{1};
constexpr int badGateway = 502;
constexpr int gatewayTimeout = 504;

Error errorOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return {ErrorKind::Overloaded, "there is no capacity to meet the target of the request's class", "try again later"};
    case RefusalReason::Evicted:
        return {ErrorKind::Overloaded, "the request gave its place to one of a higher tier", "try again later"};
    case RefusalReason::DeadlineMissed:
        return {ErrorKind::Timeout, "the deadline of the request's class passed", "try again later, or use another class"};
    case RefusalReason::NoServer:
        return {ErrorKind::Unavailable, "no backend server can take the request at present", "try again later"};
    case RefusalReason::NoHomeServer:
        return {ErrorKind::Unavailable,
            "no backend server in the regions that the request is restricted to can take it at present", "try again later"};
    case RefusalReason::DataCentreEvacuated:
        return {ErrorKind::Unavailable, "the backend servers that could take the request are in an evacuated data centre",
            "try again later"};
    case RefusalReason::Quarantined:
        return {
            ErrorKind::InvalidRequest, "backend servers failed while they ran this request", "change it before sending it again"};
    case RefusalReason::PromptQuarantined:
        return {ErrorKind::Unavailable, "backend servers crashed while they ran requests with a part of this prompt",
            "try again later, or without that part"};
    case RefusalReason::RetriesExhausted:
        return {ErrorKind::ConnectionLost, "backend servers failed to answer the request", "try again later"};
    case RefusalReason::Unreachable:
        return {ErrorKind::Unavailable, "this instance cannot reach the backend servers at present", "try again later"};
    case RefusalReason::Draining:
        return {ErrorKind::Unavailable, "this instance is shutting down", "resend the request on a new connection"};
    case RefusalReason::Cancelled:
        return {ErrorKind::Cancelled, "the request was cancelled", "send it again if the response is still needed"};
    }
    return {ErrorKind::Internal, "the request was refused", "try again later"};
}

int statusOf(const Error &error)
{
    // A deadline that the router missed is 504, not 408, which would blame the caller.
    return error.kind() == ErrorKind::Timeout ? gatewayTimeout : httpStatus(error.kind());
}

} // namespace

RefusalResponse refusalFor(const Error &error)
{
    RefusalResponse response;
    response.status = httpStatus(error.kind());
    response.error = error;
    if (error.kind() == ErrorKind::Unavailable || error.kind() == ErrorKind::Overloaded) {
        response.retryAfter = defaultRetryAfter;
    }
    return response;
}

RefusalResponse refusalFor(const Refusal &refusal)
{
    RefusalResponse response;
    response.error = errorOf(refusal.reason);
    response.status = statusOf(response.error);
    response.runState = refusal.runState;
    response.reason = refusal.reason;
    if (refusal.reason != RefusalReason::Quarantined) {
        response.retryAfter = std::max(refusal.retryAfter, defaultRetryAfter);
    }
    return response;
}

RefusalResponse refusalForFailure(const Error &failure, const Refusal &refusal)
{
    RefusalResponse response = refusalFor(refusal);
    if (refusal.reason != RefusalReason::RetriesExhausted) {
        return response;
    }
    const bool unknown = refusal.runState == RunState::Unknown;
    const std::string remedy = unknown ? "check whether it ran before sending it again" : "try again later";
    const ErrorKind kind = failure.kind() == ErrorKind::Timeout ? ErrorKind::Timeout : ErrorKind::ConnectionLost;
    response.error = Error(kind, "the backend server gave no whole answer: " + failure.message(), remedy);
    response.status = kind == ErrorKind::Timeout ? gatewayTimeout : badGateway;
    if (unknown) {
        response.retryAfter.reset();
    }
    return response;
}

HttpResponse renderRefusal(const RefusalResponse &refusal)
{
    HttpResponse response = jsonResponse(refusal.status, errorBody(refusal.error));
    response.headers.add(runStateHeader, refusal.runState == RunState::NotRun ? notRunText : unknownRunText);
    if (refusal.retryAfter.has_value()) {
        response.headers.add("Retry-After", std::to_string(refusal.retryAfter->count()));
    }
    if (refusal.error.kind() == ErrorKind::Unauthorized) {
        response.headers.add("WWW-Authenticate", "Bearer");
    }
    return response;
}

std::string errorEvent(const Error &error)
{
    return "data: " + errorBody(error) + "\n\n";
}

} // namespace flamingosaddle
