#include <flamingosaddle/cli/submitter.h>

#include <flamingosaddle/base/backoff.h>
#include <flamingosaddle/base/delay.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds firstAppendDelay(50);
constexpr std::chrono::seconds longestAppendDelay(1);
constexpr std::chrono::milliseconds outcomePollInterval(25);
constexpr const char *repeatRemedy = "repeat the command with the same --change-id";

bool isWaitingForResult(const Submission &submission)
{
    return submission.stage == SubmissionStage::Appended || submission.stage == SubmissionStage::Unknown;
}

Submission unknown(Submission submission, const std::string &reason)
{
    submission.stage = SubmissionStage::Unknown;
    submission.detail = reason + "; " + repeatRemedy + " " + submission.change.id.text();
    return submission;
}

/**
 * The stage after the appends ended with @p error.
 */
Submission withFailure(Submission submission, const Error &error, bool mayHaveTakenEffect)
{
    if (mayHaveTakenEffect) {
        return unknown(std::move(submission), error.message());
    }
    submission.stage = SubmissionStage::NotAppended;
    submission.detail = error.text();
    return submission;
}

bool isWithoutEffect(const Error &error)
{
    return error.kind() == ErrorKind::Unreachable || error.kind() == ErrorKind::Refused;
}

boost::asio::awaitable<std::vector<Submission>> appendAll(CliSession &session, std::vector<Submission> submissions)
{
    bool isStopped = false;
    for (Submission &submission : submissions) {
        if (submission.stage == SubmissionStage::Planned && isStopped) {
            submission.stage = SubmissionStage::NotAppended;
            submission.detail = "an earlier change of the same command was not appended";
        }
        Submission appended = co_await appendChange(session, submission);
        submission = std::move(appended);
        // Later changes may build on this one.
        isStopped = isStopped || submission.stage == SubmissionStage::Unknown;
        isStopped = isStopped || submission.stage == SubmissionStage::NotAppended;
    }
    co_return submissions;
}

boost::asio::awaitable<std::vector<Submission>> awaitInLog(CliSession &session, LogView &log, std::vector<Submission> submissions)
{
    const auto areDecided = [&submissions](const ConfigState &config) {
        return std::all_of(submissions.begin(), submissions.end(), [&config](const Submission &submission) {
            return !isWaitingForResult(submission) || config.findResult(submission.change.id).has_value();
        });
    };
    co_await log.waitUntil(areDecided, session.deadline());
    for (Submission &submission : submissions) {
        if (!isWaitingForResult(submission)) {
            continue;
        }
        const auto result = log.config().findResult(submission.change.id);
        submission = result.has_value() ? withResult(std::move(submission), *result)
                                        : unknown(std::move(submission), "its record was not read back in time");
    }
    co_return submissions;
}

std::optional<ChangeResult> readResult(const ConfigChange &change, const Output &json)
{
    if (!json.is_object() || !json.contains("outcome") || !json.contains("offset")) {
        return std::nullopt;
    }
    if (!json["outcome"].is_string() || !json["offset"].is_number_unsigned()) {
        return std::nullopt;
    }
    ChangeResult result{change.id, json["offset"].get<std::uint64_t>(), ChangeOutcome::Accepted, ""};
    if (json.contains("detail") && json["detail"].is_string()) {
        result.detail = json["detail"].get<std::string>();
    }
    for (const ChangeOutcome outcome : {ChangeOutcome::Accepted, ChangeOutcome::Conflict, ChangeOutcome::Invalid}) {
        if (json["outcome"].get<std::string>() == toString(outcome)) {
            result.outcome = outcome;
            return result;
        }
    }
    return std::nullopt;
}

/**
 * Asks one instance until it has applied the change or the session's time is over.
 */
boost::asio::awaitable<std::optional<ChangeResult>> awaitOnInstance(
    CliSession &session, Endpoint admin, const ConfigChange &change)
{
    while (true) {
        HttpRequest request;
        request.target = "/v1/changes/" + change.id.text();
        const Result<Output> answer = co_await session.askDaemon(admin, std::move(request));
        if (answer.has_value()) {
            co_return readResult(change, answer.value());
        }
        if (RuntimeClock::now() >= session.deadline()) {
            co_return std::nullopt;
        }
        co_await delay(outcomePollInterval);
    }
}

boost::asio::awaitable<Submission> awaitOnInstances(CliSession &session, Submission submission)
{
    std::string missing;
    std::optional<ChangeResult> result;
    for (const Endpoint &admin : session.options().admins) {
        std::optional<ChangeResult> seen = co_await awaitOnInstance(session, admin, submission.change);
        if (seen.has_value()) {
            result = std::move(seen);
        } else {
            missing += " " + admin.text();
        }
    }
    if (!missing.empty()) {
        co_return unknown(std::move(submission), "not learnt in time from" + missing);
    }
    co_return withResult(std::move(submission), *result);
}

boost::asio::awaitable<std::vector<Submission>> awaitResults(
    CliSession &session, LogView &log, std::vector<Submission> submissions)
{
    if (session.options().admins.empty()) {
        std::vector<Submission> decided = co_await awaitInLog(session, log, std::move(submissions));
        co_return decided;
    }
    for (Submission &submission : submissions) {
        const bool isInLog = submission.stage != SubmissionStage::Invalid && submission.stage != SubmissionStage::Conflict;
        if (isInLog && submission.stage != SubmissionStage::NotAppended) {
            Submission decided = co_await awaitOnInstances(session, submission);
            submission = std::move(decided);
        }
    }
    co_return submissions;
}

std::vector<Submission> markValid(std::vector<Submission> submissions)
{
    for (Submission &submission : submissions) {
        if (submission.stage == SubmissionStage::Planned) {
            submission.stage = SubmissionStage::Valid;
        }
    }
    return submissions;
}

Result<void> checkOptions(const CliOptions &options, std::size_t changeCount)
{
    if (options.expectedRevision.has_value() && changeCount > 1) {
        return fail(ErrorKind::InvalidSetting, "--expect-revision is given for several changes",
            "put one object into the file, or leave the option out");
    }
    return success();
}

} // namespace

boost::asio::awaitable<Submission> appendChange(CliSession &session, Submission submission)
{
    if (submission.stage != SubmissionStage::Planned) {
        co_return submission;
    }
    Backoff backoff(firstAppendDelay, longestAppendDelay, std::hash<ChangeId>{}(submission.change.id));
    const std::string record = encodeConfigChange(submission.change);
    bool mayHaveTakenEffect = false;
    while (true) {
        const Result<std::uint64_t> offset = co_await session.append(record);
        if (offset.has_value()) {
            submission.stage = SubmissionStage::Appended;
            submission.offset = offset.value();
            co_return submission;
        }
        mayHaveTakenEffect = mayHaveTakenEffect || !isWithoutEffect(offset.error());
        const Duration pause = backoff.next();
        const bool isTerminated = offset.error().kind() == ErrorKind::Refused;
        if (isTerminated || RuntimeClock::now() + pause >= session.deadline()) {
            co_return withFailure(std::move(submission), offset.error(), mayHaveTakenEffect);
        }
        co_await delay(pause);
    }
}

boost::asio::awaitable<Result<std::vector<Submission>>> submitChanges(
    CliSession &session, std::vector<ConfigChange> changes, RevisionRule rule)
{
    const Result<void> checked = checkOptions(session.options(), changes.size());
    if (checked.has_error()) {
        co_return fail(checked.error());
    }
    const Result<LogView *> log = co_await session.openLog();
    if (log.has_error()) {
        co_return fail(log.error());
    }
    std::vector<Submission> submissions
        = planChanges(log.value()->config(), std::move(changes), rule, session.options().expectedRevision);
    if (session.options().dryRun) {
        co_return markValid(std::move(submissions));
    }
    std::vector<Submission> appended = co_await appendAll(session, std::move(submissions));
    if (!session.options().wait) {
        co_return appended;
    }
    std::vector<Submission> decided = co_await awaitResults(session, *log.value(), std::move(appended));
    co_return decided;
}

} // namespace flamingosaddle
