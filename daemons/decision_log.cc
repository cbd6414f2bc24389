#include "decision_log.h"

#include <string>

namespace tarragon::daemons {

void LogDecisions(const core::Log& log,
                  std::vector<coordinator::Remark>* remarks) {
  std::vector<coordinator::Remark> written;
  written.swap(*remarks);
  if (!log.Enabled(core::LogLevel::kInfo)) return;
  for (const coordinator::Remark& remark : written) {
    std::vector<core::Field> fields;
    fields.reserve(remark.details.size() + 1);
    if (!remark.subject.empty()) fields.emplace_back("id", remark.subject);
    for (const auto& [name, value] : remark.details) {
      fields.emplace_back(name, value);
    }
    log.Info(remark.sentence, fields);
  }
}

}  // namespace tarragon::daemons
