#include <flamingosaddle/http/errorresponse.h>

#include <nlohmann/json.hpp>

namespace flamingosaddle
{

int httpStatus(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSetting:
    case ErrorKind::InvalidConfiguration:
    case ErrorKind::InvalidRequest:
    case ErrorKind::Protocol:
        return 400;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::Forbidden:
        return 403;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Timeout:
        return 408;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::Trimmed:
        return 410;
    case ErrorKind::TooLarge:
        return 413;
    case ErrorKind::Overloaded:
        return 429;
    case ErrorKind::Refused:
    case ErrorKind::ConnectionLost:
        return 502;
    case ErrorKind::Unreachable:
    case ErrorKind::Unavailable:
    case ErrorKind::Cancelled:
        return 503;
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

std::string errorBody(const Error &error)
{
    const nlohmann::json body = {{"error",
        {{"message", error.text()}, {"type", toString(error.kind())}, {"code", toString(error.kind())}, {"param", nullptr}}}};
    // Parts of a caller's request may stand in the message: bytes that are no UTF-8 are replaced.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse errorResponse(const Error &error)
{
    HttpResponse response = jsonResponse(httpStatus(error.kind()), errorBody(error));
    response.headers.set(runStateHeader, notRunText);
    return response;
}

} // namespace flamingosaddle
