#pragma once

namespace flamingosaddle
{

/**
 * The points of a request's way at which tests inject faults.
 */
enum class RequestStep {
    Accept, ///< the request was read
    Authenticate, ///< its key, class and route are known
    Claim, ///< its idempotency key was claimed
    Queue, ///< it is about to wait for a backend server
    Connect, ///< a backend server was assigned; a connection to it is about to be made
    FirstByteSent, ///< the first byte is about to be written to the backend server
    BodySent, ///< the whole request was written
    FirstToken, ///< the first bytes of the answer were read
    MidStream, ///< a part of the answer was passed on, and more follows
    LastByte, ///< the whole answer was read and its last byte is about to be passed on
};

const char *toString(RequestStep step);

} // namespace flamingosaddle
