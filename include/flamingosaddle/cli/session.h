#pragma once

#include <flamingosaddle/cli/exitcode.h>
#include <flamingosaddle/cli/hooks.h>
#include <flamingosaddle/cli/logview.h>
#include <flamingosaddle/cli/output.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace flamingosaddle
{

/**
 * One run of the client: its options, its way to the platform and to the daemons, and its output.
 */
class CliSession
{
public:
    CliSession(boost::asio::io_context &context, CliOptions options, CliHooks hooks);

    // Commands.

    /**
     * Reads the configuration from the log. Fails with InvalidSetting when no platform was named.
     */
    boost::asio::awaitable<Result<LogView *>> openLog();

    /**
     * Appends one record to the config stream.
     */
    Platform::AsyncResult<std::uint64_t> append(std::string record);

    /**
     * Asks a daemon and answers the JSON of a 200 answer. Fails with NotFound for 404.
     */
    boost::asio::awaitable<Result<Output>> askDaemon(Endpoint admin, HttpRequest request);

    void print(const Output &result);
    /** Prints an error with its remedy and answers the exit code that goes with it. */
    ExitCode report(const Error &error);

    // Queries.
    const CliOptions &options() const;
    const CliHooks &hooks() const;
    TimePoint deadline() const;

private:
    boost::asio::io_context &context;
    CliOptions cliOptions;
    CliHooks cliHooks;
    TimePoint endsAt;
    Platform platform;
    std::unique_ptr<LogView> log;
};

/**
 * The exit code for a command that ended with @p error.
 */
ExitCode exitCodeOf(const Error &error);

} // namespace flamingosaddle
