#pragma once

#include <flamingosaddle/cli/changefile.h>
#include <flamingosaddle/cli/session.h>

#include <vector>

namespace flamingosaddle
{

/**
 * The change id that the operator gave, or a random one, and the operator's name.
 */
Result<ChangeOrigin> changeOrigin(const CliSession &session);

/**
 * The only change of a command. Coroutines call this in place of a braced list, whose elements g++ 12 destroys twice there.
 */
std::vector<ConfigChange> makeChanges(const ChangeOrigin &origin, ConfigChangeBody body);

ConfigChange makeChange(const ChangeOrigin &origin, ConfigChangeBody body);

} // namespace flamingosaddle
