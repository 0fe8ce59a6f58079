#include <flamingosaddle/base/error.h>

#include <utility>

namespace flamingosaddle
{

const char *toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSetting:
        return "invalid_setting";
    case ErrorKind::InvalidConfiguration:
        return "invalid_configuration";
    case ErrorKind::InvalidRequest:
        return "invalid_request";
    case ErrorKind::Unauthorized:
        return "unauthorized";
    case ErrorKind::Forbidden:
        return "forbidden";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::TooLarge:
        return "too_large";
    case ErrorKind::Protocol:
        return "protocol";
    case ErrorKind::Refused:
        return "refused";
    case ErrorKind::Unreachable:
        return "unreachable";
    case ErrorKind::ConnectionLost:
        return "connection_lost";
    case ErrorKind::Timeout:
        return "timeout";
    case ErrorKind::Trimmed:
        return "trimmed";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::Cancelled:
        return "cancelled";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

Error::Error(ErrorKind kind, std::string message, std::string remedy)
    : errorKind(kind)
    , errorMessage(std::move(message))
    , errorRemedy(std::move(remedy))
{
}

std::string Error::text() const
{
    if (this->errorRemedy.empty()) {
        return this->errorMessage;
    }
    return this->errorMessage + "; " + this->errorRemedy;
}

} // namespace flamingosaddle
