#pragma once

#include <flamingosaddle/http/message.h>

#include <cstddef>
#include <string>
#include <vector>

namespace flamingosaddle::test
{

/**
 * The observed result of one cell of the fault matrix: requests that the engines received, bytes that the caller received,
 * and requests left in the traffic gate.
 */
struct CellObservation {
    bool idempotent = false;
    bool withdrawn = false; ///< whether the key was withdrawn before the last byte was forwarded
    bool ended = true; ///< whether the request ended before the timeout
    std::vector<HttpRequest> runs; ///< requests that the engines received
    std::size_t runsAtResponse = 0; ///< number of runs by the end of the first response
    std::string response;
    std::size_t unreleasedRequests = 0; ///< requests that are waiting or running in the gate at the end
};

inline constexpr int responseTokens = 5;

/** Returns whether a caller would consider @p response a complete stream. */
bool looksComplete(const std::string &response);

/** Returns the invariants that @p observation violates, one sentence each. */
std::vector<std::string> violations(const CellObservation &observation);

} // namespace flamingosaddle::test
