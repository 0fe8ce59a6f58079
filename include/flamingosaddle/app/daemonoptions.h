#pragma once

#include <flamingosaddle/app/settings.h>
#include <flamingosaddle/control/controller.h>
#include <flamingosaddle/http/server.h>
#include <flamingosaddle/relay/callerhandler.h>
#include <flamingosaddle/traffic/dispatcher.h>

#include <cstdint>

namespace flamingosaddle
{

// What the settings mean for each part of a daemon.

HttpServerLimits limitsOf(const Settings &settings);
CallerOptions callerOptionsOf(const Settings &settings, const InstanceId &instance);
DispatcherOptions dispatcherOptionsOf(const Settings &settings, std::uint64_t seed);
ControllerOptions controllerOptionsOf(const Settings &settings, std::uint64_t seed);

/** Returns a seed that differs between the processes of a deployment. */
std::uint64_t randomSeed();

} // namespace flamingosaddle
