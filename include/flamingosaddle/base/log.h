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

/**
 * Sends log lines to the standard error, one JSON object each. Called once, before the first line.
 */
void initializeLogging(LogLevel lowest);

/**
 * Logs a change of state: what became different, in which module, with its circumstances as fields. What happens for
 * each request or each record is counted in metrics, never logged. Any thread may call it.
 *
 * @param fields must hold no secret
 */
void logStateChange(LogLevel level, std::string_view module, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace flamingosaddle
