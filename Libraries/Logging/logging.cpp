#include "Logging/logging.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

namespace amaranthhoist {

static log4cxx::LoggerPtr &processLogger() {
  static log4cxx::LoggerPtr Logger = log4cxx::Logger::getRootLogger();
  return Logger;
}

static std::string &instanceName() {
  static std::string Name;
  return Name;
}

void setUpLogging(const std::string &Daemon, const std::string &Instance,
                  const std::string &Level) {
  auto Layout = std::make_shared<log4cxx::JSONLayout>();
  auto Appender = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::Logger::getRootLogger()->addAppender(Appender);
  processLogger() = log4cxx::Logger::getLogger(Daemon);
  processLogger()->setLevel(log4cxx::Level::toLevel(Level));
  instanceName() = Instance;
}

static log4cxx::LevelPtr levelOf(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return log4cxx::Level::getDebug();
  case log_level::Info:
    return log4cxx::Level::getInfo();
  case log_level::Warn:
    return log4cxx::Level::getWarn();
  case log_level::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

void logLine(log_level Level, std::string_view Message,
             std::initializer_list<log_field> Fields) {
  const log4cxx::LevelPtr LogLevel = levelOf(Level);
  if (!processLogger()->isEnabledFor(LogLevel))
    return;
  log4cxx::MDC::put("instance", instanceName());
  for (const auto &[Name, Value] : Fields)
    log4cxx::MDC::put(std::string(Name), Value);
  processLogger()->forcedLog(
      LogLevel, std::string(Message),
      log4cxx::spi::LocationInfo::getLocationUnavailable());
  for (const auto &[Name, Value] : Fields)
    log4cxx::MDC::remove(std::string(Name));
}

} // namespace amaranthhoist
