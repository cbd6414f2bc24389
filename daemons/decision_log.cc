#include "decision_log.h"

#include <string>

namespace tarragon::daemons {

void LogDecisions(const core::Log& log,
                  std::vector<coordinator::LogLine>* log_lines) {
  std::vector<coordinator::LogLine> written;
  written.swap(*log_lines);
  for (const coordinator::LogLine& line : written) {
    if (!log.Enabled(line.level)) continue;
    std::vector<core::Field> fields;
    fields.reserve(line.fields.size() + 1);
    if (!line.subject.empty()) fields.emplace_back("id", line.subject);
    for (const auto& [name, value] : line.fields) {
      fields.emplace_back(name, value);
    }
    log.Write(line.level, line.message, fields);
  }
}

}  // namespace tarragon::daemons
