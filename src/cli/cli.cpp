#include <flamingosaddle/cli/cli.h>

#include <flamingosaddle/cli/command.h>
#include <flamingosaddle/cli/options.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <exception>
#include <ostream>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr const char *exitCodeHelp = "Exit codes:\n"
                                     "  0  the change is in force, or the query was answered\n"
                                     "  1  wrong usage, or the change is invalid; nothing changed\n"
                                     "  2  conflict: the object was changed in between; nothing changed\n"
                                     "  3  unknown: the outcome was not learnt in time; repeat with the same --change-id\n"
                                     "  4  the platform, or every instance that was asked, could not be reached\n";

std::vector<CliCommand> allCommands()
{
    std::vector<CliCommand> commands = changeCommands();
    commands.insert(commands.end(), keyCommands().begin(), keyCommands().end());
    commands.insert(commands.end(), queryCommands().begin(), queryCommands().end());
    return commands;
}

void printUsageLines(std::ostream &out, const std::vector<CliCommand> &commands)
{
    for (const CliCommand &command : commands) {
        out << "  flamingosaddle " << command.name << ' ' << command.parameters << '\n';
    }
}

void printGeneralHelp(std::ostream &out)
{
    out << "Drives flamingosaddle, the router for language-model traffic.\n\nCommands that change the configuration:\n";
    printUsageLines(out, changeCommands());
    printUsageLines(out, keyCommands());
    out << "Queries:\n";
    printUsageLines(out, queryCommands());
    out << "\nflamingosaddle COMMAND --help describes one command.\n\n" << describeOptions() << '\n' << exitCodeHelp;
}

void printCommandHelp(std::ostream &out, const CliCommand &command)
{
    out << "Usage: flamingosaddle " << command.name << ' ' << command.parameters << " [options]\n\n"
        << command.help << "\n\n"
        << describeOptions() << '\n'
        << exitCodeHelp;
}

/**
 * Takes the words of the command's name from the front of @p words.
 */
Result<CliCommand> takeCommand(std::vector<std::string> &words)
{
    const std::string one = words.empty() ? std::string() : words[0];
    const std::string two = words.size() < 2 ? one : words[0] + " " + words[1];
    for (const CliCommand &command : allCommands()) {
        if (command.name == two && words.size() >= 2 && command.name.find(' ') != std::string::npos) {
            words.erase(words.begin(), words.begin() + 2);
            return command;
        }
        if (command.name == one) {
            words.erase(words.begin());
            return command;
        }
    }
    return fail(ErrorKind::InvalidSetting, "there is no command '" + two + "'", "see flamingosaddle --help");
}

Result<void> checkParameters(const CliCommand &command, const std::vector<std::string> &parameters)
{
    if (parameters.size() < command.minParameters || parameters.size() > command.maxParameters) {
        return fail(ErrorKind::InvalidSetting, "'" + command.name + "' takes other parameters",
            "write: flamingosaddle " + command.name + " " + command.parameters);
    }
    return success();
}

ExitCode runCommand(const CliCommand &command, const Invocation &invocation, const CliHooks &hooks)
{
    boost::asio::io_context context;
    CliSession session(context, invocation.options, hooks);
    ExitCode exitCode = ExitCode::Unknown;
    std::exception_ptr failure;
    const auto finished = [&](const std::exception_ptr &thrown, ExitCode answer) {
        failure = thrown;
        exitCode = answer;
        context.stop();
    };
    boost::asio::co_spawn(context, command.run(session, invocation.words), finished);
    context.run();
    if (failure) {
        return session.report(Error(ErrorKind::Internal, "the command failed", "report this with the command's arguments"));
    }
    return exitCode;
}

ExitCode reportUsage(const CliHooks &hooks, const Error &error)
{
    *hooks.err << "flamingosaddle: " << error.text() << '\n';
    return ExitCode::Invalid;
}

} // namespace

ExitCode runCli(const std::vector<std::string> &arguments, const CliHooks &hooks)
{
    auto parsed = parseInvocation(arguments, hooks.environment);
    if (parsed.has_error()) {
        return reportUsage(hooks, parsed.error());
    }
    Invocation invocation = std::move(parsed).value();
    if (invocation.isHelpWanted && invocation.words.empty()) {
        printGeneralHelp(*hooks.out);
        return ExitCode::Accepted;
    }
    const Result<CliCommand> command = takeCommand(invocation.words);
    if (command.has_error()) {
        return reportUsage(hooks, command.error());
    }
    if (invocation.isHelpWanted) {
        printCommandHelp(*hooks.out, command.value());
        return ExitCode::Accepted;
    }
    const Result<void> checked = checkParameters(command.value(), invocation.words);
    if (checked.has_error()) {
        return reportUsage(hooks, checked.error());
    }
    return runCommand(command.value(), invocation, hooks);
}

} // namespace flamingosaddle
