#pragma once

namespace flamingosaddle
{

/**
 * How the operators' client ends. Scripts rely on the numbers: they never change.
 */
enum class ExitCode {
    Accepted = 0, ///< the change is in force, or the query was answered
    Invalid = 1, ///< wrong usage, or the change breaks a rule of the configuration; nothing changed
    Conflict = 2, ///< the object was changed since the revision that the change names; nothing changed
    Unknown = 3, ///< the outcome was not learnt in time; repeat with the same --change-id
    Unreachable = 4, ///< the platform, or every instance that was asked, could not be reached
};

} // namespace flamingosaddle
