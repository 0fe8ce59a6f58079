#pragma once

namespace flamingosaddle
{

/**
 * Stages of a request at which tests inject faults.
 */
enum class RequestStep {
    Accept, ///< the request was read
    Authenticate, ///< its key, class and route are known
    Claim, ///< its idempotency key was claimed
    Queue, ///< it is about to be queued for a backend server
    Connect, ///< a backend server was assigned; the connection is about to be opened
    FirstByteSent, ///< the first byte is about to be written to the backend server
    BodySent, ///< the whole request was written
    FirstToken, ///< the first bytes of the response were read
    MidStream, ///< a part of the response was relayed, and more follows
    LastByte, ///< the complete response was read, and its last byte is about to be relayed
};

const char *toString(RequestStep step);

} // namespace flamingosaddle
