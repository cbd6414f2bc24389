#include <string>
#include <utility>

#include "gate_parts.h"

// The target as it is told to entries and kept for a later process here.

namespace tarragon::coordinator {

TargetReport ReportOf(const Announcement& said) {
  TargetReport report;
  report.target = said.target;
  report.born = said.born;
  report.sequence = said.sequence;
  report.address = said.address;
  report.draining = said.draining;
  report.service = said.service;
  report.domain = said.domain;
  report.labels = said.labels;
  report.capacity = said.capacity;
  return report;
}

void KeepLife(GateBoard* board, const Announcement& said) {
  Target& target = *board->target;
  const bool is_kept =
      target.kept.has_value() && target.kept->target == said.target &&
      target.kept->born == said.born && target.kept->address == said.address;
  if (is_kept) return;
  target.kept = ReportOf(said);
  board->actions.push_back(KeepTarget{*target.kept});
}

void OnTargetRecalled(GateBoard* board, core::Time now, TargetReport last,
                      const std::string& source) {
  if (board->target.has_value() || last.target.value().empty()) {
    return Settle(board, now);
  }
  Tell(board, "Recalled the target of an earlier process.", last.target.value(),
       {{"source", source}, {"address", last.address.value()}});
  Announcement said;
  said.target = std::move(last.target);
  said.born = last.born;
  said.sequence = last.sequence;
  said.address = std::move(last.address);
  said.service = std::move(last.service);
  said.domain = std::move(last.domain);
  said.labels = std::move(last.labels);
  said.capacity = last.capacity;
  said.draining = last.draining;
  // Its clock is told by the first poll.
  TakeAnnouncement(board, now, said);
}

}  // namespace tarragon::coordinator
