#pragma once

#include <flamingosaddle/relay/callerhandler.h>
#include <flamingosaddle/relay/callerinterface.h>

#include <boost/asio/execution_context.hpp>

#include <map>
#include <memory>

namespace flamingosaddle
{

/**
 * Objects and options that all exchanges of one CallerHandler share. Immutable once built, except for the pools, each of
 * which is used by one context's thread only.
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
