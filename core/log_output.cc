#include "log_output.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace tarragon::core {
namespace {

constexpr char kLoggerName[] = "tarragon";

/// Makes the logger that writes lines as they are and opens no file.
bool MakeLogger() {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::setDefaultConfigurations(configuration, true);
  return el::Loggers::getLogger(kLoggerName) != nullptr;
}

}  // namespace

void WriteLogLine(LogLevel level, const std::string& line) {
  static const bool is_made = MakeLogger();
  if (!is_made) return;
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
}

}  // namespace tarragon::core
