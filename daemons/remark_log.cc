#include "remark_log.h"

#include <string>

namespace tarragon::daemons {

void WriteRemarks(const core::Log& log,
                  std::vector<coordinator::LogLine>* remarks) {
  std::vector<coordinator::LogLine> written;
  written.swap(*remarks);
  if (!log.Enabled(core::LogLevel::kInfo)) return;
  for (const coordinator::LogLine& remark : written) {
    std::vector<core::Field> fields;
    fields.reserve(remark.fields.size() + 1);
    if (!remark.subject.empty()) fields.emplace_back("id", remark.subject);
    for (const auto& [name, value] : remark.fields) {
      fields.emplace_back(name, value);
    }
    log.Info(remark.message, fields);
  }
}

}  // namespace tarragon::daemons
