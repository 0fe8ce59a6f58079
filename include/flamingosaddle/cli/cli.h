#pragma once

#include <flamingosaddle/cli/exitcode.h>
#include <flamingosaddle/cli/hooks.h>

#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * Runs the operators' client once. Results go to the output hook, errors with their remedies to the error hook.
 *
 * @param arguments without the program's name
 */
ExitCode runCli(const std::vector<std::string> &arguments, const CliHooks &hooks);

} // namespace flamingosaddle
