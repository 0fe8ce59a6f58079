#pragma once

#include "callerfixture.h"

#include <flamingosaddle/relay/requeststep.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <vector>

namespace flamingosaddle::test
{

/** What an engine does to the next response that reaches one of its checkpoints. */
enum class EngineFault {
    None,
    LoseResponse,
    StopResponding,
    Truncate,
};

/**
 * Scripted responses of a cell's engines, synchronized with the steps of the request: the first event waits for BodySent,
 * the first token for FirstToken and the second token for MidStream. A fault that is set at one of these steps takes effect
 * exactly there.
 */
class EngineScript
{
public:
    // Commands; any thread.
    void setFault(EngineFault fault);
    /** Resumes the responses that wait for @p step. */
    void onStepReached(RequestStep step);

    /** Returns the handler of an engine's requests. */
    FakeBackend::Handler responder();

private:
    boost::asio::awaitable<void> run(HttpExchange &exchange);
    boost::asio::awaitable<void> waitFor(RequestStep step, HttpExchange &exchange);
    boost::asio::awaitable<bool> applyFault(HttpExchange &exchange, std::string nextEvent);

    std::atomic<EngineFault> fault = EngineFault::None;
    std::mutex mutex;
    std::set<RequestStep> reached;
    std::vector<std::function<void()>> waiters;
};

} // namespace flamingosaddle::test
