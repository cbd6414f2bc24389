#include "log_output.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace tarragon::core {
namespace {

constexpr char kLoggerName[] = "tarragon";

el::Logger* MakeLogger() {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::setDefaultConfigurations(configuration, true);
  return el::Loggers::getLogger(kLoggerName);
}

}  // namespace

void WriteLogLine(LogLevel level, const std::string& line) {
  static el::Logger* const kLogger = MakeLogger();
  switch (level) {
    case LogLevel::kDebug:
      CLOG(DEBUG, kLoggerName) << line;
      return;
    case LogLevel::kInfo:
      CLOG(INFO, kLoggerName) << line;
      return;
    case LogLevel::kWarn:
      CLOG(WARNING, kLoggerName) << line;
      return;
    case LogLevel::kError:
      CLOG(ERROR, kLoggerName) << line;
      return;
  }
  static_cast<void>(kLogger);
}

}  // namespace tarragon::core
