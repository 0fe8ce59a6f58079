#pragma once

#include <string>

namespace flamingosaddle
{

/**
 * What went wrong, for code that has to decide what to do next.
 */
enum class ErrorKind {
    InvalidSetting, ///< a flag or an environment variable is missing or out of range
    InvalidConfiguration, ///< a published object breaks a rule of the configuration
    InvalidRequest, ///< a caller's request cannot be understood
    Unauthorized, ///< the key is missing, unknown or withdrawn
    Forbidden, ///< the key is valid but does not permit what was asked
    NotFound, ///< the named object does not exist
    Conflict, ///< the object changed since the revision that the change names
    TooLarge, ///< a frame, header, body or record is over its limit
    Protocol, ///< the other end broke the protocol
    Refused, ///< the other end answered that it does not carry out what was asked
    Unreachable, ///< no connection could be made, so nothing was sent
    ConnectionLost, ///< the connection broke after something may have been sent
    Timeout, ///< the deadline passed before the answer came
    Trimmed, ///< the log no longer holds the offset that was asked for
    Unavailable, ///< a service that this needs is down at present
    Overloaded, ///< capacity is used up
    Cancelled, ///< the caller or a shutdown ended the operation
    Internal, ///< a fault of this program
};

/**
 * The name of @p kind as it stands in logs, metrics and error bodies, for instance "invalid_request".
 */
const char *toString(ErrorKind kind);

/**
 * A typed failure: its kind, what happened, and what the reader of the message can do about it.
 */
class Error
{
public:
    /**
     * An Internal error without a message; Boost.Outcome needs one to exist.
     */
    Error() = default;

    Error(ErrorKind kind, std::string message, std::string remedy);

    ErrorKind kind() const
    {
        return this->errorKind;
    }

    const std::string &message() const
    {
        return this->errorMessage;
    }

    const std::string &remedy() const
    {
        return this->errorRemedy;
    }

    /**
     * Message and remedy in one line, as the command line and the log print them.
     */
    std::string text() const;

    friend bool operator==(const Error &, const Error &) = default;

private:
    ErrorKind errorKind = ErrorKind::Internal;
    std::string errorMessage;
    std::string errorRemedy;
};

} // namespace flamingosaddle
