#pragma once

#include "callwait.h"

#include <cstdint>
#include <deque>

namespace flamingosaddle::standins
{

struct EngineLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t waitingTokens = 0;

    friend bool operator==(const EngineLoad &, const EngineLoad &) = default;
};

/**
 * The engine's slots: a bounded number of requests runs side by side, the others wait in the order of arrival.
 */
class Batch
{
public:
    Batch(std::uint32_t slots, Duration reportLag);

    // Commands.
    /** Waits for a slot. Answers false, without a slot, when the caller goes away meanwhile. */
    boost::asio::awaitable<bool> enter(CallWait &wait, std::uint32_t tokens);
    void leave();

    // Queries.
    /** The load as it was one report lag ago. */
    EngineLoad reported(TimePoint now) const;

private:
    struct Waiting {
        CallWait *wait = nullptr;
        std::uint32_t tokens = 0;
        bool admitted = false;
    };
    struct Sample {
        TimePoint since;
        EngineLoad load;
    };

    void remember();

    std::uint32_t slots;
    Duration reportLag;
    std::uint32_t running = 0;
    std::deque<Waiting *> queue;
    std::deque<Sample> samples;
};

} // namespace flamingosaddle::standins
