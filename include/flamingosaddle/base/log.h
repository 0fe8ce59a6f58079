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
    StandardOutput, ///< written by a separate thread; lines are dropped when the reader is too slow, so logging never blocks
    StandardError, ///< written synchronously
};

/**
 * Directs log lines, one JSON object each, to @p output. Must be called once, before the first line.
 */
void initializeLogging(LogLevel lowest, LogOutput output = LogOutput::StandardError);

/** Flushes the queued lines. Must be called once, after the last line. */
void shutDownLogging();

/**
 * Logs a decision or a state change of @p module, with the inputs that led to it as fields. Thread-safe.
 *
 * @param fields additional fields of the log line; must not contain secrets
 */
void logEvent(LogLevel level, std::string_view module, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace flamingosaddle
