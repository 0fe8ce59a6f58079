#pragma once

#include "generation.h"

#include <string>

namespace flamingosaddle::standins
{

/**
 * Writes the answer to one generation request in OpenAI's format.
 */
class CompletionFormat
{
public:
    explicit CompletionFormat(const GenerationRequest &request);

    /** The event that carries one token. */
    std::string tokenEvent(const std::string &token) const;

    /** The events after the last token, up to and with `data: [DONE]`. */
    std::string endEvents() const;

    /** The whole answer of a request that is not streamed. */
    std::string whole(const std::string &text) const;

private:
    Json head(const char *object) const;
    Json usage() const;

    GenerationRequest request;
    std::string beforeToken;
    std::string afterToken;
};

} // namespace flamingosaddle::standins
