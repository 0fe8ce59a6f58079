#pragma once

#include "completionformat.h"

#include <flamingosaddle/http/server.h>

#include <string>

namespace flamingosaddle::standins
{

/**
 * Writes one generated answer to its caller, as a stream of events or whole at its end. Every write answers false when the
 * caller is gone.
 */
class AnswerWriter
{
public:
    /** A muted writer writes nothing: the answer is lost. @param headers added to the answer */
    AnswerWriter(
        HttpExchange &exchange, const GenerationRequest &request, std::uint32_t tokensPerWrite, bool muted, HttpHeaders headers);

    boost::asio::awaitable<bool> begin();
    boost::asio::awaitable<bool> token(std::uint32_t index);
    boost::asio::awaitable<bool> finish();
    /** Ends the HTTP body of a stream without its last events. */
    boost::asio::awaitable<void> endEarly();

private:
    HttpExchange &exchange;
    GenerationRequest request;
    CompletionFormat format;
    std::uint32_t tokensPerWrite;
    bool muted;
    HttpHeaders headers;
    std::string piece; ///< events that are not written yet
    std::uint32_t unwritten = 0;
};

} // namespace flamingosaddle::standins
