#pragma once

#include <flamingosaddle/app/settings.h>
#include <flamingosaddle/control/directory.h>
#include <flamingosaddle/control/duties.h>
#include <flamingosaddle/platform/platform.h>
#include <flamingosaddle/relay/protocoladapter.h>

#include <functional>
#include <optional>

namespace flamingosaddle
{

/**
 * Where a daemon meets the outside. The program that makes the daemon chooses it.
 */
struct Integration {
    ProtocolAdapter protocolAdapter;
    Platform platform;
    std::optional<DirectoryHooks> directory; ///< where configuration and backend servers are read; empty for the change log
    DutyHooks duties; ///< usage reports and server orders of one instance at a time
    std::function<void(const Settings &)> reload; ///< takes over the settings that a reload changed; may be empty
};

/** The project's own requests, in the shape of OpenAI's. */
ProtocolAdapter ownCallerInterface(const Settings &settings);

} // namespace flamingosaddle
