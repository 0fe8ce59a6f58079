#pragma once

#include <flamingosaddle/http/message.h>

#include <cstddef>
#include <string>
#include <vector>

namespace flamingosaddle::test
{

/**
 * What one cell of the fault matrix left behind: the engines' own record, the bytes that the caller received, and the gate.
 */
struct CellRecord {
    bool idempotent = false;
    bool withdrawn = false; ///< whether the key was withdrawn before the last byte was passed on
    bool ended = true; ///< whether the request ended within the bounded wait
    std::vector<HttpRequest> runs; ///< the requests that engines received
    std::size_t runsAtAnswer = 0; ///< how many of them belong to the first answer
    std::string answer;
    std::size_t held = 0; ///< requests that wait or run in the gate at the end
};

inline constexpr int answerTokens = 5;

/** Whether a caller would take @p answer for a whole stream. */
bool looksWhole(const std::string &answer);

/** The invariants that @p record violates, one sentence each. */
std::vector<std::string> violations(const CellRecord &record);

} // namespace flamingosaddle::test
