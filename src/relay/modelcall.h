#pragma once

#include <flamingosaddle/base/id.h>
#include <flamingosaddle/base/result.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingosaddle
{

/**
 * What the router needs to know of the body of a completion request.
 */
struct ModelCall {
    ModelName model;
    bool stream = false;
    std::uint64_t prefixHash = 0; ///< of the beginning of the prompt
    std::uint32_t promptTokens = 0; ///< estimate

    friend bool operator==(const ModelCall &, const ModelCall &) = default;
};

/**
 * Tokens as the answer of an engine reports them.
 */
struct TokenUsage {
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;

    friend bool operator==(const TokenUsage &, const TokenUsage &) = default;
};

/**
 * Reads the body of a completion request. Fails with InvalidRequest when it is no JSON object that names a model, or is
 * nested too deeply. Never throws, whatever the bytes.
 */
Result<ModelCall> inspectModelCall(std::string_view body);

/**
 * The body with the field that asks the engine to go on after @p tokens tokens. The body was accepted by
 * inspectModelCall().
 */
std::string withResumePosition(std::string_view body, std::uint64_t tokens);

/**
 * The usage in an answer, or in an event of a stream. Fails with Protocol when there is none.
 */
Result<TokenUsage> parseUsage(std::string_view json);

} // namespace flamingosaddle
