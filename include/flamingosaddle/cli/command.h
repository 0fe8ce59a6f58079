#pragma once

#include <flamingosaddle/cli/session.h>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * One command of the client: its name, its help and what it does.
 */
struct CliCommand {
    std::string name; ///< one word, or two with a space
    std::string parameters; ///< as the usage line names them, for instance "FILE"
    std::string help;
    std::size_t minParameters = 0;
    std::size_t maxParameters = 0;
    std::function<boost::asio::awaitable<ExitCode>(CliSession &session, std::vector<std::string> parameters)> run;
};

/** Commands that change the configuration, in the order of the help. */
const std::vector<CliCommand> &changeCommands();

/** Commands that give and withdraw keys. */
const std::vector<CliCommand> &keyCommands();

/** Commands that only read. */
const std::vector<CliCommand> &queryCommands();

} // namespace flamingosaddle
