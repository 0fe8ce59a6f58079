#pragma once

#include <flamingosaddle/base/id.h>
#include <flamingosaddle/base/result.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingosaddle
{

/**
 * Fields of a completion request's body that routing and placement need.
 */
struct CompletionRequest {
    ModelName model;
    bool stream = false;
    std::uint64_t prefixHash = 0; ///< hash of the prompt's prefix
    std::vector<std::uint64_t> promptParts; ///< hashes of all messages but the last
    std::uint32_t promptTokens = 0; ///< estimate

    friend bool operator==(const CompletionRequest &, const CompletionRequest &) = default;
};

/**
 * Token counts as reported in an engine's response.
 */
struct TokenUsage {
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;

    friend bool operator==(const TokenUsage &, const TokenUsage &) = default;
};

/**
 * Parses the body of a completion request. Fails with InvalidRequest when it is not a JSON object that names a model, or is
 * nested too deeply. Never throws, for any input.
 */
Result<CompletionRequest> parseCompletionRequest(std::string_view body);

/**
 * Returns the body with the field that asks the engine to resume after @p tokens tokens. The body must have been accepted by
 * parseCompletionRequest().
 */
std::string withResumePosition(std::string_view body, std::uint64_t tokens);

/**
 * Returns the token usage in a response body or an event of a stream. Fails with Protocol when there is none.
 */
Result<TokenUsage> parseUsage(std::string_view json);

} // namespace flamingosaddle
