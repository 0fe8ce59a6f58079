#pragma once

namespace flamingosaddle
{

/**
 * What the head of an answer says about the request that it seems to answer.
 */
enum class AnswerVerdict {
    Genuine, ///< it is the backend server's answer to this request
    NotExecuted, ///< it proves that the request has not run and will not
    OtherRequest, ///< it answers an earlier request on the connection
    Spoilt, ///< nothing can be said: the request may have run
};

} // namespace flamingosaddle
