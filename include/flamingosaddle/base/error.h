#pragma once

#include <string>

namespace flamingosaddle
{

/**
 * The category of an error, for code that decides how to handle it.
 */
enum class ErrorKind {
    InvalidSetting, ///< a flag or environment variable is missing or out of range
    InvalidConfiguration, ///< a published object violates a rule of the configuration
    InvalidRequest, ///< a caller's request is malformed
    Unauthorized, ///< the key is missing, unknown or withdrawn
    Forbidden, ///< the key is valid but does not permit the operation
    NotFound, ///< the named object does not exist
    Conflict, ///< the object changed after the revision that the change is based on
    TooLarge, ///< a frame, header, body or record exceeds its size limit
    Protocol, ///< the remote end violated the protocol
    Refused, ///< the remote end responded that it does not carry out the operation
    Unreachable, ///< no connection could be established, so nothing was sent
    ConnectionLost, ///< the connection broke after data may have been sent
    Timeout, ///< the deadline passed before the response arrived
    Trimmed, ///< the log no longer holds the requested offset
    Unavailable, ///< a required service is currently down
    Overloaded, ///< capacity is exhausted
    Cancelled, ///< the caller or a shutdown cancelled the operation
    Internal, ///< a bug in this program
};

/**
 * Returns the name of @p kind in logs, metrics and error bodies, for instance "invalid_request".
 */
const char *toString(ErrorKind kind);

/**
 * An error: its kind, a message that describes what happened, and a remedy that tells the reader what to do about it.
 */
class Error
{
public:
    /**
     * Creates an Internal error without a message. Boost.Outcome requires a default constructor.
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
     * Returns message and remedy on one line, as the command line tool and the log print them.
     */
    std::string text() const;

    friend bool operator==(const Error &, const Error &) = default;

private:
    ErrorKind errorKind = ErrorKind::Internal;
    std::string errorMessage;
    std::string errorRemedy;
};

} // namespace flamingosaddle
