#include <flamingosaddle/cli/submission.h>

#include <flamingosaddle/state/configvalidation.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

bool hasStage(const std::vector<Submission> &submissions, SubmissionStage stage)
{
    return std::any_of(submissions.begin(), submissions.end(), [stage](const Submission &submission) {
        return submission.stage == stage;
    });
}

Result<ConfigChange> withRevision(
    ConfigChange change, const ConfigState &config, RevisionRule rule, std::optional<std::uint64_t> revision)
{
    if (revision.has_value()) {
        change.expectedRevision = revision;
    } else if (rule == RevisionRule::MustBeNew) {
        change.expectedRevision = 0;
    } else if (rule == RevisionRule::InForce) {
        change.expectedRevision = config.revisionOf(change.body);
        if (*change.expectedRevision == 0) {
            return fail(ErrorKind::InvalidConfiguration, "the object does not exist", "list the objects with show");
        }
    }
    return change;
}

Submission refused(Submission submission, const Error &error)
{
    submission.stage = error.kind() == ErrorKind::Conflict ? SubmissionStage::Conflict : SubmissionStage::Invalid;
    submission.detail = error.text();
    return submission;
}

/**
 * Checks one change against @p scratch and applies it there.
 */
Submission plan(ConfigState &scratch, ConfigChange change, RevisionRule rule, std::optional<std::uint64_t> revision)
{
    Submission submission{std::move(change), SubmissionStage::Planned, std::nullopt, ""};
    if (const auto known = scratch.findResult(submission.change.id)) {
        return withResult(std::move(submission), *known);
    }
    auto revised = withRevision(submission.change, scratch, rule, revision);
    if (revised.has_error()) {
        return refused(std::move(submission), revised.error());
    }
    submission.change = std::move(revised).value();
    const Result<void> checked = checkChange(scratch, submission.change);
    if (checked.has_error()) {
        return refused(std::move(submission), checked.error());
    }
    scratch.apply(scratch.nextOffset(), submission.change);
    return submission;
}

} // namespace

const char *toString(SubmissionStage stage)
{
    switch (stage) {
    case SubmissionStage::Planned:
        return "planned";
    case SubmissionStage::Valid:
        return "valid";
    case SubmissionStage::Appended:
        return "appended";
    case SubmissionStage::Accepted:
        return "accepted";
    case SubmissionStage::Conflict:
        return "conflict";
    case SubmissionStage::Invalid:
        return "invalid";
    case SubmissionStage::Unknown:
        return "unknown";
    case SubmissionStage::NotAppended:
        return "not-appended";
    }
    return "unknown";
}

std::vector<Submission> planChanges(
    const ConfigState &config, std::vector<ConfigChange> changes, RevisionRule rule, std::optional<std::uint64_t> revision)
{
    ConfigState scratch = config;
    std::vector<Submission> submissions;
    submissions.reserve(changes.size());
    for (ConfigChange &change : changes) {
        submissions.push_back(plan(scratch, std::move(change), rule, revision));
    }
    if (hasStage(submissions, SubmissionStage::Conflict) || hasStage(submissions, SubmissionStage::Invalid)) {
        for (Submission &submission : submissions) {
            if (submission.stage == SubmissionStage::Planned) {
                submission.stage = SubmissionStage::NotAppended;
            }
        }
    }
    return submissions;
}

Submission withResult(Submission submission, const ChangeResult &result)
{
    submission.offset = result.offset;
    submission.detail = result.detail;
    switch (result.outcome) {
    case ChangeOutcome::Accepted:
        submission.stage = SubmissionStage::Accepted;
        break;
    case ChangeOutcome::Conflict:
        submission.stage = SubmissionStage::Conflict;
        break;
    case ChangeOutcome::Invalid:
        submission.stage = SubmissionStage::Invalid;
        break;
    case ChangeOutcome::Duplicate:
        submission.stage = SubmissionStage::Unknown;
        break;
    }
    return submission;
}

ExitCode exitCodeOf(const std::vector<Submission> &submissions)
{
    if (hasStage(submissions, SubmissionStage::Invalid)) {
        return ExitCode::Invalid;
    }
    if (hasStage(submissions, SubmissionStage::Conflict)) {
        return ExitCode::Conflict;
    }
    if (hasStage(submissions, SubmissionStage::Unknown)) {
        return ExitCode::Unknown;
    }
    return hasStage(submissions, SubmissionStage::NotAppended) ? ExitCode::Unreachable : ExitCode::Accepted;
}

Output describe(const std::vector<Submission> &submissions)
{
    Output list = Output::array();
    for (const Submission &submission : submissions) {
        const Output record = Output::parse(encodeConfigChange(submission.change));
        const Output &value = record.at("value");
        Output entry;
        entry["changeId"] = submission.change.id.text();
        entry["kind"] = record.at("kind");
        entry["object"] = value.contains("id") ? value.at("id") : value.at("name");
        entry["outcome"] = toString(submission.stage);
        entry["offset"] = submission.offset.has_value() ? Output(*submission.offset) : Output();
        entry["detail"] = submission.detail;
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace flamingosaddle
