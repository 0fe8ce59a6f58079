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
        return {ErrorKind::Overloaded, "the first-token target of the request's class cannot be met at the current load",
            "try again later"};
    case RefusalReason::Evicted:
        return {ErrorKind::Overloaded, "the request was evicted from the queue by one of a higher tier", "try again later"};
    case RefusalReason::DeadlineMissed:
        return {ErrorKind::Timeout, "the deadline of the request's class passed", "try again later, or use another class"};
    case RefusalReason::NoServer:
        return {ErrorKind::Unavailable, "no backend server can take the request at present", "try again later"};
    case RefusalReason::Quarantined:
        return {
            ErrorKind::InvalidRequest, "backend servers failed while they ran this request", "change it before sending it again"};
    case RefusalReason::RetriesExhausted:
        return {ErrorKind::ConnectionLost, "all attempts at backend servers failed", "try again later"};
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
    RefusalResponse answer;
    answer.status = httpStatus(error.kind());
    answer.error = error;
    if (error.kind() == ErrorKind::Unavailable || error.kind() == ErrorKind::Overloaded) {
        answer.retryAfter = defaultRetryAfter;
    }
    return answer;
}

RefusalResponse refusalFor(const Refusal &refusal)
{
    RefusalResponse answer;
    answer.error = errorOf(refusal.reason);
    answer.status = statusOf(answer.error);
    answer.runState = refusal.runState;
    answer.reason = refusal.reason;
    if (refusal.reason != RefusalReason::Quarantined) {
        answer.retryAfter = std::max(refusal.retryAfter, defaultRetryAfter);
    }
    return answer;
}

RefusalResponse refusalForFailure(const Error &failure, const Refusal &refusal)
{
    RefusalResponse answer = refusalFor(refusal);
    if (refusal.reason != RefusalReason::RetriesExhausted) {
        return answer;
    }
    const bool unknown = refusal.runState == RunState::Unknown;
    const std::string remedy = unknown ? "check whether it ran before sending it again" : "try again later";
    const ErrorKind kind = failure.kind() == ErrorKind::Timeout ? ErrorKind::Timeout : ErrorKind::ConnectionLost;
    answer.error = Error(kind, "the backend server gave no whole answer: " + failure.message(), remedy);
    answer.status = kind == ErrorKind::Timeout ? gatewayTimeout : badGateway;
    if (unknown) {
        answer.retryAfter.reset();
    }
    return answer;
}

HttpResponse renderRefusal(const RefusalResponse &answer)
{
    HttpResponse response = jsonResponse(answer.status, errorBody(answer.error));
    response.headers.add(runStateHeader, answer.runState == RunState::NotRun ? notRunText : unknownRunText);
    if (answer.retryAfter.has_value()) {
        response.headers.add("Retry-After", std::to_string(answer.retryAfter->count()));
    }
    if (answer.error.kind() == ErrorKind::Unauthorized) {
        response.headers.add("WWW-Authenticate", "Bearer");
    }
    return response;
}

std::string errorEvent(const Error &error)
{
    return "data: " + errorBody(error) + "\n\n";
}

} // namespace flamingosaddle
