#include <algorithm>
#include <string>

#include "gate_internal.h"

// Crashes of the target, and the runs that may be their cause.

namespace tarragon::coordinator {

void RecordCrash(GateBoard* board, const char* evidence) {
  Target& target = *board->target;
  if (target.crashed || target.announcement.draining) return;
  target.crashed = true;
  ++board->counts.target_crashes;
  for (auto& [ref, run] : board->runs) run.target_crashed = true;
  AddLogLine(
      board, "The target crashed.", target.announcement.target.value(),
      {{"evidence", evidence}, {"runs", std::to_string(board->runs.size())}});
}

void RevokeCrash(GateBoard* board) {
  if (!board->target->crashed) return;
  board->target->crashed = false;
  for (auto& [ref, run] : board->runs) run.target_crashed = false;
  AddLogLine(board, "The target had not crashed.",
             board->target->announcement.target.value(),
             {{"runs", std::to_string(board->runs.size())}});
}

bool HasSuspect(const GateBoard& board) {
  return std::any_of(board.runs.begin(), board.runs.end(),
                     [](const auto& run) { return run.second.suspect; });
}

}  // namespace tarragon::coordinator
