#include <flamingosaddle/cli/changefile.h>
#include <flamingosaddle/cli/changeorigin.h>
#include <flamingosaddle/cli/command.h>
#include <flamingosaddle/cli/submitter.h>

#include <utility>

namespace flamingosaddle
{

namespace
{

using Parameters = std::vector<std::string>;
using Run = std::function<boost::asio::awaitable<ExitCode>(CliSession &, Parameters)>;

boost::asio::awaitable<ExitCode> submitAndPrint(CliSession &session, std::vector<ConfigChange> changes, RevisionRule rule)
{
    const Result<std::vector<Submission>> submissions = co_await submitChanges(session, std::move(changes), rule);
    if (submissions.has_error()) {
        co_return session.report(submissions.error());
    }
    session.print(describe(submissions.value()));
    co_return exitCodeOf(submissions.value());
}

/**
 * The changes in a file. An empty @p kind stands for a file that names the kind of each.
 */
Result<std::vector<ConfigChange>> loadChanges(const CliSession &session, const std::string &path, const std::string &kind)
{
    BOOST_OUTCOME_TRY(text, session.hooks().readFile(path));
    BOOST_OUTCOME_TRY(origin, changeOrigin(session));
    return kind.empty() ? readKindsAndValues(text, origin) : readValues(text, kind, origin);
}

boost::asio::awaitable<ExitCode> runFile(CliSession &session, std::string path, std::string kind, RevisionRule rule)
{
    Result<std::vector<ConfigChange>> changes = loadChanges(session, path, kind);
    if (changes.has_error()) {
        co_return session.report(changes.error());
    }
    const ExitCode exitCode = co_await submitAndPrint(session, std::move(changes).value(), rule);
    co_return exitCode;
}

Run fileCommand(const std::string &kind, RevisionRule rule)
{
    return [kind, rule](CliSession &session, Parameters parameters) {
        return runFile(session, std::move(parameters[0]), kind, rule);
    };
}

boost::asio::awaitable<ExitCode> runBody(CliSession &session, ConfigChangeBody body)
{
    const Result<ChangeOrigin> origin = changeOrigin(session);
    if (origin.has_error()) {
        co_return session.report(origin.error());
    }
    std::vector<ConfigChange> changes = makeChanges(origin.value(), std::move(body));
    const ExitCode exitCode = co_await submitAndPrint(session, std::move(changes), RevisionRule::InForce);
    co_return exitCode;
}

template <typename Removal, typename IdType>
Run removalCommand()
{
    return [](CliSession &session, const Parameters &parameters) {
        return runBody(session, Removal{IdType(parameters[0])});
    };
}

boost::asio::awaitable<ExitCode> drainBackendServer(CliSession &session, Parameters parameters)
{
    const BackendServerId id(parameters[0]);
    const Result<LogView *> log = co_await session.openLog();
    if (log.has_error()) {
        co_return session.report(log.error());
    }
    const Versioned<BackendServer> *found = log.value()->config().findBackendServer(id);
    if (found == nullptr) {
        co_return session.report(Error(ErrorKind::NotFound, "there is no backend server '" + id.text() + "'",
            "list them with: flamingosaddle show backends"));
    }
    BackendServer leaving = found->value;
    leaving.leaving = true;
    ConfigChangeBody body = PutBackendServer{std::move(leaving)};
    const ExitCode exitCode = co_await runBody(session, std::move(body));
    co_return exitCode;
}

std::vector<CliCommand> templateAndAccountCommands()
{
    return {
        {"template publish", "FILE",
            "Publishes a version of a template, or several. A published version never changes: publish the next one.", 1, 1,
            fileCommand("putTemplate", RevisionRule::AsWritten)},
        {"account create", "FILE", "Creates client accounts from their templates. Each must be new.", 1, 1,
            fileCommand("putClientAccount", RevisionRule::MustBeNew)},
        {"account set", "FILE",
            "Replaces the parameters of client accounts. The change is made against the revision in force when the command\n"
            "starts, or against --expect-revision; when another operator was first, it ends as a conflict.",
            1, 1, fileCommand("putClientAccount", RevisionRule::InForce)},
        {"account remove", "ID", "Removes a client account and withdraws its keys.", 1, 1,
            removalCommand<RemoveClientAccount, ClientAccountId>()},
    };
}

std::vector<CliCommand> routeAndBackendCommands()
{
    return {
        {"route add", "FILE", "Adds routes to plain services. Each must be new, unless --expect-revision names the old one.", 1,
            1, fileCommand("putRoute", RevisionRule::MustBeNew)},
        {"route remove", "ID", "Removes a route.", 1, 1, removalCommand<RemoveRoute, RouteId>()},
        {"backend add", "FILE", "Adds backend servers. Each must be new, unless --expect-revision names the old one.", 1, 1,
            fileCommand("putBackendServer", RevisionRule::MustBeNew)},
        {"backend drain", "ID", "Sends a backend server no new work. What runs there is finished.", 1, 1, drainBackendServer},
        {"backend remove", "ID", "Removes a backend server; drain it first.", 1, 1,
            removalCommand<RemoveBackendServer, BackendServerId>()},
        {"apply", "FILE",
            "Makes the changes in a file, in order: an array of {\"kind\", \"value\"}, each with an optional\n"
            "\"expectedRevision\". All are checked first; when one is not valid, none is made.",
            1, 1, fileCommand("", RevisionRule::AsWritten)},
    };
}

} // namespace

const std::vector<CliCommand> &changeCommands()
{
    static const std::vector<CliCommand> commands = [] {
        std::vector<CliCommand> all = templateAndAccountCommands();
        for (CliCommand &command : routeAndBackendCommands()) {
            all.push_back(std::move(command));
        }
        return all;
    }();
    return commands;
}

} // namespace flamingosaddle
