#include <flamingosaddle/base/log.h>

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>

#include <memory>

namespace flamingosaddle
{

namespace
{

log4cxx::LevelPtr toLog4cxx(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

std::string quoted(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=") == std::string::npos) {
        return value;
    }
    std::string text = "\"";
    for (const char character : value) {
        if (character == '"') {
            text.push_back('\\');
        }
        text.push_back(character);
    }
    return text + '"';
}

} // namespace

void initializeLogging(LogLevel lowest)
{
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
    log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(toLog4cxx(lowest));
}

void logStateChange(LogLevel level, std::string_view module, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=" + quoted(std::string(event));
    for (const LogField &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        line += quoted(field.value);
    }
    log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("flamingosaddle." + std::string(module));
    LOG4CXX_LOG(logger, toLog4cxx(level), line);
}

} // namespace flamingosaddle
