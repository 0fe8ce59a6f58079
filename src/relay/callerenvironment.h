#pragma once

#include "decisionwaits.h"

#include <flamingosaddle/relay/callerhandler.h>
#include <flamingosaddle/relay/protocoladapter.h>

#include <boost/asio/execution_context.hpp>

#include <map>
#include <memory>

namespace flamingosaddle
{

/**
 * Objects and options that all exchanges of one CallerHandler share. Immutable once built, except for the pools and the waits,
 * each of which is used by one context's thread only.
 */
struct CallerEnvironment {
    const SharedRoutingSnapshot *snapshots = nullptr;
    AsyncDispatcher *dispatcher = nullptr;
    ConnectionRegistry *connections = nullptr;
    ProtocolAdapter adapter;
    CallerOptions options;
    CallerHooks hooks;
    Tracer tracer;
    std::map<const boost::asio::execution_context *, std::unique_ptr<BackendPool>> pools;
    std::map<const boost::asio::execution_context *, std::unique_ptr<DecisionWaits>> decisionWaits;

    void reportStep(RequestStep step) const
    {
        if (this->hooks.onStep) {
            this->hooks.onStep(step);
        }
    }
};

} // namespace flamingosaddle
