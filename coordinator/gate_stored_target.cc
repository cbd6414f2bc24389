#include <string>
#include <utility>

#include "gate_internal.h"

// Reporting a target to entries, and storing it for a later gate process at
// this address.

namespace tarragon::coordinator {

TargetReport MakeReport(const Announcement& announcement) {
  TargetReport report;
  report.target = announcement.target;
  report.born = announcement.born;
  report.sequence = announcement.sequence;
  report.address = announcement.address;
  report.draining = announcement.draining;
  report.service = announcement.service;
  report.domain = announcement.domain;
  report.labels = announcement.labels;
  report.capacity = announcement.capacity;
  return report;
}

void StoreTargetIfChanged(GateBoard* board, const Announcement& announcement) {
  Target& target = *board->target;
  const bool is_kept =
      target.stored_report.has_value() &&
      target.stored_report->target == announcement.target &&
      target.stored_report->born == announcement.born &&
      target.stored_report->address == announcement.address &&
      target.stored_report->capacity == announcement.capacity &&
      target.stored_report->draining == announcement.draining;
  if (is_kept) return;
  target.stored_report = MakeReport(announcement);
  target.stored_report->speed_permille = SpeedPermille(target.speed);
  board->actions.push_back(StoreTarget{*target.stored_report});
}

void StoreSpeedIfChanged(GateBoard* board, core::Time now) {
  Target& target = *board->target;
  if (!IsSpeedStoreDue(target.speed, board->policy, now)) return;
  const std::uint32_t speed = SpeedPermille(target.speed);
  AddLogLine(board, "Storing the learned speed of the target.",
             target.announcement.target.value(),
             {{"permille", std::to_string(speed)},
              {"stored_permille", std::to_string(target.speed.stored_permille)},
              {"jobs", std::to_string(target.speed.jobs)}});
  target.speed.stored_permille = speed;
  target.speed.stored_at = now;
  ++board->counts.stored_speeds;
  target.stored_report = MakeReport(target.announcement);
  target.stored_report->speed_permille = speed;
  board->actions.push_back(StoreTarget{*target.stored_report});
}

namespace {

/// Applies what an earlier gate process last heard of the target's draining and
/// capacity. The copies of that process's knowledge differ in age and arrive in
/// any order.
void ApplyEarlierReport(GateBoard* board, const TargetReport& last) {
  Announcement& known = board->target->announcement;
  if (last.target != known.target || last.born != known.born) return;
  // The incarnation has been found by a poll, and soon announces all of itself.
  if (known.sequence == kNotAnnounced) return;
  if (last.draining && !known.draining && last.sequence >= known.sequence) {
    known.draining = true;
    AddLogLine(board, "The target was draining before the gate was restarted.",
               last.target.value(),
               {{"sequence", std::to_string(last.sequence)}});
    MarkAllReportsDue(board);
  }
  if (last.sequence <= known.sequence) return;
  known.sequence = last.sequence;
  if (last.capacity == known.capacity) return;
  AddLogLine(board,
             "The target had another capacity before the gate was restarted.",
             last.target.value(),
             {{"millicores", std::to_string(last.capacity.millicores)},
              {"stored_millicores", std::to_string(known.capacity.millicores)},
              {"sequence", std::to_string(last.sequence)}});
  known.capacity = last.capacity;
  MarkAllReportsDue(board);
}

}  // namespace

void OnPreviousTargetFound(GateBoard* board, core::Time now, TargetReport last,
                           const std::string& source) {
  if (last.target.value().empty()) return FinishEvent(board, now);
  const std::uint32_t speed = last.speed_permille;
  if (board->target.has_value()) {
    if (last.target == board->target->announcement.target) {
      RestoreSpeed(&board->target->speed, speed);
    }
    ApplyEarlierReport(board, last);
    return FinishEvent(board, now);
  }
  AddLogLine(board, "Restored the target of an earlier gate process.",
             last.target.value(),
             {{"source", source}, {"address", last.address.value()}});
  Announcement announcement;
  announcement.target = std::move(last.target);
  announcement.born = last.born;
  announcement.sequence = last.sequence;
  announcement.address = std::move(last.address);
  announcement.service = std::move(last.service);
  announcement.domain = std::move(last.domain);
  announcement.labels = std::move(last.labels);
  announcement.capacity = last.capacity;
  announcement.draining = last.draining;
  // The target's clock stays unknown until the first poll is answered.
  ApplyAnnouncement(board, now, announcement);
  RestoreSpeed(&board->target->speed, speed);
  FinishEvent(board, now);
}

}  // namespace tarragon::coordinator
