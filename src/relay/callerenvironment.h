#pragma once

#include <flamingosaddle/relay/callerhandler.h>
#include <flamingosaddle/relay/callerinterface.h>

#include <boost/asio/execution_context.hpp>

#include <map>
#include <memory>

namespace flamingosaddle
{

/**
 * What all exchanges of one CallerHandler share. Does not change after it was built, but for the pools, each of which
 * belongs to one context's thread.
 */
struct CallerEnvironment {
    const SnapshotBoard *board = nullptr;
    TrafficGate *gate = nullptr;
    KeyRegistry *keys = nullptr;
    CallerInterface interface;
    CallerOptions options;
    CallerHooks hooks;
    Tracer tracer;
    std::map<const boost::asio::execution_context *, std::unique_ptr<BackendPool>> pools;

    void step(RequestStep step) const
    {
        if (this->hooks.step) {
            this->hooks.step(step);
        }
    }
};

} // namespace flamingosaddle
