#include <flamingosaddle/base/hash.h>
#include <flamingosaddle/cli/changeorigin.h>
#include <flamingosaddle/cli/command.h>
#include <flamingosaddle/cli/submitter.h>

#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::size_t keyBytes = 32;
constexpr std::size_t keyIdBytes = 8;
constexpr std::size_t minSecretBytes = 16; // as the daemons demand

/**
 * A key that was just generated. The text is printed once and kept nowhere.
 */
struct NewKey {
    ClientKey value;
    std::string text;
};

Result<KeyId> newKeyId(const CliSession &session)
{
    if (session.options().keyId.has_value()) {
        return *session.options().keyId;
    }
    BOOST_OUTCOME_TRY(random, session.hooks().randomHex(keyIdBytes));
    return KeyId("key-" + random);
}

Result<NewKey> generateKey(const CliSession &session, const std::string &clientAccount)
{
    const std::string &secret = session.options().keySecret;
    if (secret.size() < minSecretBytes) {
        return fail(ErrorKind::InvalidSetting, "the secret of the keyed hash is missing or too short",
            "set FLAMINGOSADDLE_KEY_SECRET to the daemons' secret of at least " + std::to_string(minSecretBytes) + " bytes");
    }
    BOOST_OUTCOME_TRY(id, newKeyId(session));
    BOOST_OUTCOME_TRY(text, session.hooks().randomHex(keyBytes));
    NewKey key;
    key.value.id = std::move(id);
    key.value.clientAccount = ClientAccountId(clientAccount);
    key.value.digest = KeyDigest::of(text, secret);
    key.text = std::move(text);
    return key;
}

/**
 * Whether the change was accepted with another key than @p key: an earlier run of the same change gave that one.
 */
bool wasGivenBefore(const ConfigState &config, const ChangeId &change, const ClientKey &key)
{
    const auto result = config.findResult(change);
    const bool isAccepted = result.has_value() && result->outcome == ChangeOutcome::Accepted;
    return isAccepted && !config.wasGiven(key.digest);
}

/**
 * As wasGivenBefore(), once the log's view has come as far as @p submission.
 */
boost::asio::awaitable<bool> isOfEarlierRun(CliSession &session, Submission submission, ClientKey key)
{
    const Result<LogView *> log = co_await session.openLog();
    if (log.has_error()) {
        co_return false;
    }
    const auto isRead = [&submission](const ConfigState &config) {
        return config.findResult(submission.change.id).has_value();
    };
    if (submission.stage == SubmissionStage::Accepted) {
        co_await log.value()->waitUntil(isRead, session.deadline());
    }
    co_return wasGivenBefore(log.value()->config(), submission.change.id, key);
}

ExitCode printKey(CliSession &session, const NewKey &key, const Submission &submission)
{
    const bool mayBeInForce = submission.stage == SubmissionStage::Accepted || submission.stage == SubmissionStage::Appended
        || submission.stage == SubmissionStage::Unknown;
    if (!mayBeInForce) {
        session.print(describe({submission}));
        return exitCodeOf({submission});
    }
    Output result;
    result["keyId"] = key.value.id.text();
    result["key"] = key.text;
    result["clientAccount"] = key.value.clientAccount.text();
    result["changeId"] = submission.change.id.text();
    result["outcome"] = toString(submission.stage);
    result["detail"] = submission.detail;
    session.print(result);
    return exitCodeOf({submission});
}

boost::asio::awaitable<ExitCode> submitKey(CliSession &session, NewKey key, ChangeOrigin origin)
{
    std::vector<ConfigChange> changes = makeChanges(origin, GiveKey{key.value});
    const Result<std::vector<Submission>> submissions
        = co_await submitChanges(session, std::move(changes), RevisionRule::AsWritten);
    if (submissions.has_error()) {
        co_return session.report(submissions.error());
    }
    const bool isForeign = co_await isOfEarlierRun(session, submissions.value().front(), key.value);
    if (isForeign) {
        co_return session.report(
            Error(ErrorKind::Conflict, "an earlier run of the change '" + origin.id.text() + "' gave a key and printed it",
                "use that key, or give another one under another --change-id"));
    }
    co_return printKey(session, key, submissions.value().front());
}

boost::asio::awaitable<ExitCode> giveKey(CliSession &session, std::vector<std::string> parameters)
{
    const Result<ChangeOrigin> origin = changeOrigin(session);
    if (origin.has_error()) {
        co_return session.report(origin.error());
    }
    const Result<NewKey> key = generateKey(session, parameters[0]);
    if (key.has_error()) {
        co_return session.report(key.error());
    }
    const ExitCode exitCode = co_await submitKey(session, key.value(), origin.value());
    co_return exitCode;
}

HttpRequest tombstoneRequest(const KeyId &id)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/tombstones";
    request.headers.set("Content-Type", "application/json");
    request.body = Output{{"id", id.text()}}.dump();
    return request;
}

boost::asio::awaitable<Output> handTombstones(CliSession &session, const KeyId &id)
{
    Output list = Output::array();
    for (const Endpoint &admin : session.options().admins) {
        HttpRequest request = tombstoneRequest(id);
        const Result<Output> answer = co_await session.askDaemon(admin, std::move(request));
        Output entry;
        entry["admin"] = admin.text();
        entry["outcome"] = answer.has_value() ? "withdrawn" : "not-withdrawn";
        entry["detail"] = answer.has_value() ? std::string() : answer.error().text();
        list.push_back(std::move(entry));
    }
    co_return list;
}

/**
 * Puts the withdrawal into the log. It is valid whatever the configuration, so that none has to be read first.
 */
boost::asio::awaitable<Submission> logWithdrawal(CliSession &session, std::vector<ConfigChange> changes)
{
    Submission submission;
    submission.change = changes.front();
    if (!session.options().platform.has_value()) {
        submission.stage = SubmissionStage::NotAppended;
        submission.detail = "no platform was named; repeat the command with --platform IP:PORT";
        co_return submission;
    }
    const Result<LogView *> log = co_await session.openLog();
    if (log.has_error() && !session.options().dryRun) {
        Submission appended = co_await appendChange(session, std::move(submission));
        co_return appended;
    }
    const Result<std::vector<Submission>> submissions
        = co_await submitChanges(session, std::move(changes), RevisionRule::AsWritten);
    if (submissions.has_value()) {
        co_return submissions.value().front();
    }
    submission.stage = SubmissionStage::NotAppended;
    submission.detail = submissions.error().text();
    co_return submission;
}

ExitCode printWithdrawal(CliSession &session, const KeyId &id, const Submission &submission, Output instances)
{
    Output result;
    result["keyId"] = id.text();
    result["log"] = describe({submission});
    result["instances"] = std::move(instances);
    session.print(result);
    return exitCodeOf({submission});
}

boost::asio::awaitable<ExitCode> withdrawKey(CliSession &session, std::vector<std::string> parameters)
{
    const KeyId id(parameters[0]);
    const Result<ChangeOrigin> origin = changeOrigin(session);
    if (origin.has_error()) {
        co_return session.report(origin.error());
    }
    Output instances = Output::array();
    if (!session.options().dryRun) {
        Output handed = co_await handTombstones(session, id);
        instances = std::move(handed);
    }
    std::vector<ConfigChange> changes = makeChanges(origin.value(), WithdrawKey{id});
    const Submission submission = co_await logWithdrawal(session, std::move(changes));
    co_return printWithdrawal(session, id, submission, std::move(instances));
}

} // namespace

const std::vector<CliCommand> &keyCommands()
{
    static const std::vector<CliCommand> commands = {
        {"key give", "ACCOUNT",
            "Generates a key for a client account and prints it once, as {\"keyId\", \"key\"}. Only its keyed hash is stored;\n"
            "FLAMINGOSADDLE_KEY_SECRET has to hold the daemons' secret. --key-id names the key; without it, a name is made up.",
            1, 1, giveKey},
        {"key withdraw", "KEY_ID",
            "Withdraws a key for good. Hands the withdrawal to each daemon of --admin at once, also while the log is down, and\n"
            "appends it to the log. Ends with 0 only once the log has it; until then repeat the command: an instance that\n"
            "starts learns of the withdrawal from the log or from a peer.",
            1, 1, withdrawKey},
    };
    return commands;
}

} // namespace flamingosaddle
