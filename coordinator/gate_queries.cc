#include <algorithm>
#include <string>
#include <vector>

#include "gate_internal.h"
#include "gate_lease.h"

// Queries of entries about runs. Attempts at a job through several entries give
// their runs the same numbers, so a run is that of the asking entry only if
// that entry ordered it.

namespace tarragon::coordinator {
namespace {

bool IsOfAnotherEntry(const core::NodeId& home, const core::NodeId& from) {
  return !home.address.value().empty() && home != from;
}

/// True if the run was not ordered through this process, so that it may belong
/// to any entry that asks about its task and number.
bool IsOwnerUncertain(const GateRun& run) {
  return run.found || run.phase == RunPhase::kSealing;
}

/// Answers an entry that asks about a run with the task and number of another
/// entry's run.
void AnswerOtherEntry(GateBoard* board, const core::NodeId& from,
                      const RunRef& ref, GateRun* run) {
  if (!IsOwnerUncertain(*run)) {
    // This process refuses a start that would be a second run of the task.
    return RefuseStart(board, from, ref, RefusalReason::kDuplicate);
  }
  std::vector<core::NodeId>& others = run->other_homes;
  if (std::find(others.begin(), others.end(), from) == others.end()) {
    others.push_back(from);
  }
}

}  // namespace

void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               const AskRun& ask) {
  RecordEntryContact(board, now, from);
  // While the target's runs are unknown, the run may be running there, so there
  // is no answer yet. The entry asks again.
  if (!board->target.has_value() || !board->target->runs_known) {
    return FinishEvent(board, now);
  }
  const auto past = board->ended_runs.find(ask.run);
  if (past != board->ended_runs.end()) {
    if (IsOfAnotherEntry(past->second.home, from)) {
      RefuseStart(board, from, ask.run, RefusalReason::kSealed);
    } else {
      board->actions.push_back(SendTo<RunEnded>{from, past->second.ended});
    }
    return FinishEvent(board, now);
  }
  const auto found = board->runs.find(ask.run);
  if (found != board->runs.end()) {
    GateRun& run = found->second;
    if (IsOfAnotherEntry(run.home, from)) {
      AnswerOtherEntry(board, from, ask.run, &run);
      // The run that the other entry ordered goes on.
      if (!IsOwnerUncertain(run) || !ask.stop) return FinishEvent(board, now);
    } else {
      run.home = from;
    }
    if (ask.stop) {
      StopRun(board, now, ask.run, &run);
    } else if (run.phase == RunPhase::kUnclaimed && !run.stop_requested) {
      run.phase = RunPhase::kRunning;
      run.room = ask.room;
      AddLogLine(board, "An entry claimed a run that this gate did not order.",
                 ToString(ask.run), {{"entry", core::ToString(from)}});
      MarkAllReportsDue(board);
    }
    return FinishEvent(board, now);
  }
  GateRun run;
  run.phase = RunPhase::kSealing;
  run.home = from;
  run.ordered_at = now;
  run.confirmed_at = FindConfirmation(*board, run);
  run.stop_requested = true;
  GateRun& sealing = board->runs[ask.run] = run;
  SendStop(board, now, ask.run, &sealing);
  FinishEvent(board, now);
}

}  // namespace tarragon::coordinator
