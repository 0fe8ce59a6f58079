#pragma once

#include <flamingosaddle/base/id.h>
#include <flamingosaddle/http/message.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace flamingosaddle
{

/**
 * Identifies a non-idempotent request by its idempotency key, so that a repeated request is not run twice.
 */
struct ClaimRequest {
    ClientAccountId clientAccount; ///< empty on a route that requires no key
    std::string idempotencyKey;
    std::uint64_t fingerprint = 0; ///< hash of the complete request; distinguishes different requests that reuse a key
    std::string requestId;

    friend bool operator==(const ClaimRequest &, const ClaimRequest &) = default;
};

/**
 * The outcome of a claimed request.
 */
struct ClaimOutcome {
    enum class State {
        Completed, ///< the complete response was received
        NotRun, ///< no byte of the request reached a backend server
        Unknown, ///< the request may have run
    };

    State state = State::Unknown;
    HttpResponse response; ///< the response, when the state is Completed
};

/** The claim was granted: the caller runs the request and calls reportOutcome exactly once when it has ended. */
struct ClaimGranted {
    std::function<void(ClaimOutcome)> reportOutcome;
};

/** An earlier request with the same key completed; its stored response is returned. */
struct ClaimCompleted {
    HttpResponse response;
};

/** An earlier request with the same key was started, and its outcome is not known. */
struct ClaimOutcomeUnknown {
};

/** The key was already used for a different request. */
struct ClaimMismatch {
};

/** It cannot be determined at present whether the request ran before. It was not run. */
struct ClaimUnavailable {
    std::chrono::seconds retryAfter{1};
};

using ClaimDecision = std::variant<ClaimGranted, ClaimCompleted, ClaimOutcomeUnknown, ClaimMismatch, ClaimUnavailable>;

/** Decides whether a request with an idempotency key runs. */
using ClaimHook = std::function<boost::asio::awaitable<ClaimDecision>(ClaimRequest request)>;

} // namespace flamingosaddle
