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
constexpr std::string_view cutMark = "...";

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

bool isBare(char character)
{
    const auto value = static_cast<unsigned char>(character);
    return value > ' ' && value < 0x7f && character != '"' && character != '=' && character != '\\';
}

void appendEscaped(std::string &text, char character)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto value = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        text += '\\';
        text += character;
    } else if (character == '\n') {
        text += "\\n";
    } else if (value < ' ' || value >= 0x7f) {
        text += "\\x";
        text += digits[value >> 4U];
        text += digits[value & 0xfU];
    } else {
        text += character;
    }
}

} // namespace

std::string escapeLogValue(std::string_view value)
{
    const std::string_view shown = value.substr(0, longestLogValue);
    bool bare = !shown.empty() && shown.size() == value.size();
    for (const char character : shown) {
        bare = bare && isBare(character);
    }
    if (bare) {
        return std::string(shown);
    }
    std::string text = "\"";
    for (const char character : shown) {
        appendEscaped(text, character);
    }
    text += shown.size() < value.size() ? cutMark : "";
    return text + "\"";
}

std::string formatLogLine(std::string_view event, std::span<const LogField> fields)
{
    std::string line = "event=" + escapeLogValue(event);
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        line += escapeLogValue(value);
    }
    return line;
}

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
