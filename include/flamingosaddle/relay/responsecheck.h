#pragma once

namespace flamingosaddle
{

/**
 * Result of matching a response head with the request that was sent on the connection.
 */
enum class ResponseCheck {
    Valid, ///< the backend server's response to this request
    NotExecuted, ///< proves that the request has not run and will not run
    UnidentifiedRejection, ///< as NotExecuted, but without the request's id, so it may be of an earlier request on the connection
    Misdirected, ///< as NotExecuted, but from a server that is not the one that was called
    KeyReused, ///< belongs to an earlier request on the connection
    Invalid, ///< cannot be attributed; the request may have run
};

} // namespace flamingosaddle
