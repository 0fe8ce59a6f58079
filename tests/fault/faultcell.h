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
    ResponseLost, ///< the engine runs the request and closes the connection before the end of the response
    SilentConnection, ///< the engine sends nothing more and keeps the connection open
    TruncatedStream, ///< the engine sends half an event and then ends the body regularly
    DeadlinePasses, ///< the deadline of the request passes
    KeyWithdrawn,
    ServerLeaving,
    CallerDisconnected,
    DrainBegins,
    LogDown, ///< claims fail and no outcome is recorded
};

enum class RequestKind {
    Idempotent,
    NonIdempotentWithoutKey,
    NonIdempotentWithKey, ///< non-idempotent, with an idempotency key
};

struct Injection {
    RequestStep step = RequestStep::Accept;
    Fault fault = Fault::EngineDies;

    friend bool operator==(const Injection &, const Injection &) = default;
};

inline constexpr std::size_t stepCount = static_cast<std::size_t>(RequestStep::LastByte) + 1;
inline constexpr std::size_t faultCount = static_cast<std::size_t>(Fault::LogDown) + 1;
inline constexpr std::size_t kindCount = static_cast<std::size_t>(RequestKind::NonIdempotentWithKey) + 1;

std::string nameOf(const Injection &injection);
std::string nameOf(RequestKind kind);

/** Returns why the injection does not apply to a request of @p kind, or nothing if it does. */
std::optional<std::string> whyNotApplicable(const Injection &injection, RequestKind kind);

struct CellResult {
    CellObservation observation;
    std::size_t injected = 0; ///< number of injections whose step was reached
    std::size_t runsOnSecondEngine = 0; ///< number of runs on the second engine
    Duration repeatDuration{0}; ///< duration on the paused clock; zero without a repeated request
};

/**
 * Sends one request through a caller handler with two engines and injects each fault when its step is first reached. A
 * request with an idempotency key is repeated after the faults have ended, unless its key was withdrawn or the server is
 * draining.
 */
CellResult runCell(const std::vector<Injection> &injections, RequestKind kind);

} // namespace flamingosaddle::test
