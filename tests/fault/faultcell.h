#pragma once

#include "checks.h"

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/relay/requeststep.h>

#include <optional>
#include <string>
#include <vector>

namespace flamingosaddle::test
{

enum class Fault {
    EngineDies,
    AnswerLost, ///< the engine runs the request and closes the connection without the rest of the answer
    SilentConnection,
    TruncatedStream, ///< half an event, then the regular end of the body
    Slow, ///< the deadline of the request passes
    KeyWithdrawn,
    ServerLeaving,
    CallerGone,
    DrainBegins,
    LogDown, ///< no claim is answered and no outcome is recorded
};

enum class RequestKind {
    Idempotent,
    OnceUnnamed,
    OnceNamed, ///< non-idempotent, with an idempotency key
};

struct Injection {
    RequestStep step = RequestStep::Accept;
    Fault fault = Fault::EngineDies;

    friend bool operator==(const Injection &, const Injection &) = default;
};

inline constexpr std::size_t stepCount = static_cast<std::size_t>(RequestStep::LastByte) + 1;
inline constexpr std::size_t faultCount = static_cast<std::size_t>(Fault::LogDown) + 1;
inline constexpr std::size_t kindCount = static_cast<std::size_t>(RequestKind::OnceNamed) + 1;

std::string nameOf(const Injection &injection);
std::string nameOf(RequestKind kind);

/** Why @p fault cannot strike a request of @p kind at the step, or nothing when it can. */
std::optional<std::string> impossible(const Injection &injection, RequestKind kind);

struct CellResult {
    CellRecord record;
    std::size_t injected = 0; ///< injections whose step was reached
    std::size_t runsOnSecond = 0; ///< of the second engine
    Duration repeatTook{0}; ///< on the paused clock; zero without a repeat
};

/**
 * Sends one request through a caller handler with two engines, injects each fault when its step is first reached, and
 * repeats a named request after the faults are over, if its key and the server still serve.
 */
CellResult runCell(const std::vector<Injection> &injections, RequestKind kind);

} // namespace flamingosaddle::test
