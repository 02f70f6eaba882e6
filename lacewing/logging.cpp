// log4cxx does levels, time stamps and locking; the pairs are put together here. The logger is looked up by
// name at each line, as the library keeps no state of its own; log4cxx holds it in a map.

#include "logging.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "settings.h"
#include "settingvalue.h"

namespace lacewing {

namespace {

constexpr const char *loggerName = "lacewing";
constexpr const char *linePattern = "time=%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z %m%n";

log4cxx::LevelPtr toLog4cxx(LogLevel level)
{
    switch (level) {
    case LogLevel::Error:
        return log4cxx::Level::getError();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    }
    return log4cxx::Level::getInfo();
}

} // namespace

void startLogging(LogLevel level)
{
    const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(loggerName);
    const auto layout = std::make_shared<log4cxx::PatternLayout>(linePattern);
    const auto target = log4cxx::ConsoleAppender::getSystemErr();
    logger->removeAllAppenders();
    logger->setAdditivity(false);
    logger->addAppender(std::make_shared<log4cxx::ConsoleAppender>(layout, target));
    logger->setLevel(toLog4cxx(level));
}

void writeLogLine(std::string_view event, std::span<const LogField> fields, LogLevel level)
{
    const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(loggerName);
    const log4cxx::LevelPtr wanted = toLog4cxx(level);
    if (logger->isEnabledFor(wanted)) {
        logger->forcedLog(wanted, "level=" + writeValue(level) + " " + formatLogLine(event, fields));
    }
}

void writeLogLine(std::string_view event, std::span<const LogField> fields)
{
    writeLogLine(event, fields, LogLevel::Info);
}

} // namespace lacewing
