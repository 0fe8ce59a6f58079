#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace flamingosaddle
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

struct LogField {
    std::string_view name;
    std::string value;
};

enum class LogOutput {
    StandardOutput, ///< by a thread of its own: a reader that does not read loses lines and blocks nothing
    StandardError, ///< at once
};

/**
 * Sends log lines to @p output, one JSON object each. Called once, before the first line.
 */
void initializeLogging(LogLevel lowest, LogOutput output = LogOutput::StandardError);

/** Writes the lines that wait. Called once, after the last line. */
void shutDownLogging();

/**
 * Logs a decision or a change of state: what became different, in which module, with the inputs that decided it as fields.
 * Any thread may call it.
 *
 * @param fields must hold no secret
 */
void logStateChange(LogLevel level, std::string_view module, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace flamingosaddle
