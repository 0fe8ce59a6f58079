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
 * A non-idempotent request that its caller has named, so that a repetition is not run again.
 */
struct ClaimRequest {
    ClientAccountId clientAccount; ///< empty on a route open to all
    std::string idempotencyKey;
    std::uint64_t fingerprint = 0; ///< of the whole request; another one under the same key is another request
    std::string requestId;

    friend bool operator==(const ClaimRequest &, const ClaimRequest &) = default;
};

/**
 * How a claimed request ended.
 */
struct ClaimOutcome {
    enum class State {
        Answered, ///< the answer was read whole
        NotRun, ///< no byte of it reached a backend server
        Unknown,
    };

    State state = State::Unknown;
    HttpResponse answer; ///< of an answered request
};

/** The request is this one's to run. settle is called once, when the request has ended. */
struct ClaimRun {
    std::function<void(ClaimOutcome)> settle;
};

/** An earlier request under the key was answered. */
struct ClaimAnswered {
    HttpResponse answer;
};

/** An earlier request under the key was started, and nobody knows its outcome. */
struct ClaimStarted {
};

/** The key was used for another request. */
struct ClaimMismatch {
};

/** Whether the request ran before cannot be found out at present. It was not run now. */
struct ClaimUnavailable {
    std::chrono::seconds retryAfter{1};
};

using ClaimAnswer = std::variant<ClaimRun, ClaimAnswered, ClaimStarted, ClaimMismatch, ClaimUnavailable>;

/** Decides whether a named request runs. */
using ClaimHook = std::function<boost::asio::awaitable<ClaimAnswer>(ClaimRequest request)>;

} // namespace flamingosaddle
