#include <flamingosaddle/cli/command.h>
#include <flamingosaddle/cli/configview.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

using Parameters = std::vector<std::string>;

Error noAdminError()
{
    return {ErrorKind::InvalidSetting, "no daemon's admin address is named",
        "give --admin IP:PORT[,IP:PORT...] or set FLAMINGOSADDLE_ADMIN"};
}

HttpRequest getRequest(const std::string &target)
{
    HttpRequest request;
    request.target = target;
    return request;
}

/**
 * The answer of the first daemon that gives one, or the last one's failure.
 */
boost::asio::awaitable<Result<Output>> askFirst(CliSession &session, std::string target)
{
    Error lastError = noAdminError();
    for (const Endpoint &admin : session.options().admins) {
        Result<Output> answer = co_await session.askDaemon(admin, getRequest(target));
        if (answer.has_value()) {
            co_return answer;
        }
        lastError = answer.error();
    }
    co_return fail(lastError);
}

/**
 * Asks every daemon and prints an object for each: its answer's fields, or the error.
 */
boost::asio::awaitable<ExitCode> askEach(CliSession &session, std::string target)
{
    if (session.options().admins.empty()) {
        co_return session.report(noAdminError());
    }
    Output list = Output::array();
    bool isAnyAnswered = false;
    for (const Endpoint &admin : session.options().admins) {
        const Result<Output> answer = co_await session.askDaemon(admin, getRequest(target));
        Output entry;
        entry["admin"] = admin.text();
        if (answer.has_error()) {
            entry["error"] = answer.error().text();
        } else if (answer.value().is_object()) {
            entry.update(answer.value());
        } else {
            entry["answer"] = answer.value();
        }
        isAnyAnswered = isAnyAnswered || answer.has_value();
        list.push_back(std::move(entry));
    }
    session.print(list);
    co_return isAnyAnswered ? ExitCode::Accepted : ExitCode::Unreachable;
}

/**
 * The configuration in force on the first daemon that answers, or, without --admin, at the head of the log.
 */
boost::asio::awaitable<Result<ConfigState>> readConfig(CliSession &session)
{
    if (session.options().admins.empty()) {
        const Result<LogView *> log = co_await session.openLog();
        if (log.has_error()) {
            co_return fail(log.error());
        }
        co_return log.value()->config();
    }
    const Result<Output> answer = co_await askFirst(session, "/v1/config");
    if (answer.has_error()) {
        co_return fail(answer.error());
    }
    co_return decodeConfigSnapshot(answer.value().dump());
}

boost::asio::awaitable<ExitCode> show(CliSession &session, Parameters parameters)
{
    const std::string section = parameters.empty() ? std::string() : parameters[0];
    const auto &known = configSections();
    if (!section.empty() && std::find(known.begin(), known.end(), section) == known.end()) {
        co_return session.report(Error(ErrorKind::InvalidSetting, "there is nothing called '" + section + "' to show",
            "name templates, accounts, routes, backends or keys"));
    }
    const Result<ConfigState> config = co_await readConfig(session);
    if (config.has_error()) {
        co_return session.report(config.error());
    }
    session.print(describeConfig(config.value(), section));
    co_return ExitCode::Accepted;
}

boost::asio::awaitable<ExitCode> history(CliSession &session, Parameters)
{
    const Result<ConfigState> config = co_await readConfig(session);
    if (config.has_error()) {
        co_return session.report(config.error());
    }
    session.print(describeHistory(config.value()));
    co_return ExitCode::Accepted;
}

boost::asio::awaitable<ExitCode> leases(CliSession &session, Parameters)
{
    const Result<Output> answer = co_await askFirst(session, "/v1/leases");
    if (answer.has_error()) {
        co_return session.report(answer.error());
    }
    session.print(answer.value());
    co_return ExitCode::Accepted;
}

auto eachDaemonQuery(const std::string &target)
{
    return [target](CliSession &session, const Parameters &) {
        return askEach(session, target);
    };
}

} // namespace

const std::vector<CliCommand> &queryCommands()
{
    static const std::vector<CliCommand> commands = {
        {"show", "[templates|accounts|routes|backends|keys]",
            "Shows what is in force on the first daemon of --admin that answers, or, without --admin, at the head of the log.", 0,
            1, show},
        {"status", "", "Shows every instance of --admin: readiness, offset in force, roles, load.", 0, 0,
            eachDaemonQuery("/v1/status")},
        {"history", "", "Shows the last changes of the configuration and what became of them.", 0, 0, history},
        {"leases", "", "Shows who holds which lease, as the first daemon of --admin that answers sees it.", 0, 0, leases},
        {"usage", "", "Shows the usage that each instance of --admin has counted and reported.", 0, 0,
            eachDaemonQuery("/v1/usage")},
        {"backends", "", "Shows the backend servers as each instance of --admin sees them.", 0, 0,
            eachDaemonQuery("/v1/backends")},
    };
    return commands;
}

} // namespace flamingosaddle
