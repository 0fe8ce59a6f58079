#pragma once

#include <flamingosaddle/cli/exitcode.h>
#include <flamingosaddle/cli/output.h>
#include <flamingosaddle/state/configstate.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingosaddle
{

enum class SubmissionStage {
    Planned, ///< passed every check; not appended yet
    Valid, ///< as Planned, of a dry run
    Appended, ///< the log has it; its outcome is not known yet
    Accepted,
    Conflict,
    Invalid,
    Unknown, ///< nobody knows whether the log has it, or its outcome was not learnt in time
    NotAppended, ///< the log does not have it
};

const char *toString(SubmissionStage stage);

/**
 * One change on its way into the log.
 */
struct Submission {
    ConfigChange change;
    SubmissionStage stage = SubmissionStage::Planned;
    std::optional<std::uint64_t> offset; ///< of its record in the config stream
    std::string detail; ///< the reason and the remedy, of anything but success

    friend bool operator==(const Submission &, const Submission &) = default;
};

/**
 * Which revision a change is made against when the operator names none.
 */
enum class RevisionRule {
    AsWritten, ///< what the change itself says
    MustBeNew, ///< the object must not exist
    InForce, ///< the object must exist; its revision in force is taken
};

/**
 * Checks @p changes one after the other against @p config with the earlier ones applied. A change that the log has
 * already, by its id, gets its outcome. A failed check makes all other changes NotAppended: all are appended or none.
 */
std::vector<Submission> planChanges(
    const ConfigState &config, std::vector<ConfigChange> changes, RevisionRule rule, std::optional<std::uint64_t> revision);

/**
 * @p submission with the outcome that the log gave it.
 */
Submission withResult(Submission submission, const ChangeResult &result);

/**
 * The exit code for all changes of a command: that of the gravest outcome.
 */
ExitCode exitCodeOf(const std::vector<Submission> &submissions);

/**
 * An object for each submission, for printing.
 */
Output describe(const std::vector<Submission> &submissions);

} // namespace flamingosaddle
