#include <flamingosaddle/base/log.h>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>

namespace flamingosaddle
{

namespace
{

// Lines queued for a slow reader. Further lines are dropped, so logging never blocks.
constexpr int maxQueuedLines = 2000;

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

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

void initializeLogging(LogLevel lowest, LogOutput output)
{
    auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    const auto target = output == LogOutput::StandardOutput ? LOG4CXX_STR("System.out") : LOG4CXX_STR("System.err");
    auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, target);
    log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    if (output == LogOutput::StandardOutput) {
        auto asyncAppender = std::make_shared<log4cxx::AsyncAppender>();
        asyncAppender->setBlocking(false);
        asyncAppender->setBufferSize(maxQueuedLines);
        asyncAppender->addAppender(console);
        root->addAppender(asyncAppender);
    } else {
        root->addAppender(console);
    }
    root->setLevel(toLog4cxx(lowest));
}

void shutDownLogging()
{
    log4cxx::Logger::getRootLogger()->removeAllAppenders();
}

void logEvent(LogLevel level, std::string_view module, std::string_view event, std::initializer_list<LogField> fields)
{
    log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("flamingosaddle." + std::string(module));
    const log4cxx::LevelPtr log4cxxLevel = toLog4cxx(level);
    if (!logger->isEnabledFor(log4cxxLevel)) {
        return;
    }
    nlohmann::ordered_json line
        = {{"time_ms", unixMilliseconds()}, {"level", levelName(level)}, {"module", module}, {"event", event}};
    for (const LogField &field : fields) {
        line[std::string(field.name)] = field.value;
    }
    // Fields may contain bytes received from a peer. Invalid UTF-8 is replaced.
    LOG4CXX_LOG(logger, log4cxxLevel, line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

} // namespace flamingosaddle
