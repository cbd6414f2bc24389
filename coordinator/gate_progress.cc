#include <string>

#include "gate_internal.h"

// Progress of runs at the gate: what the target lists, and what entries are
// told of it.

namespace tarragon::coordinator {
namespace {

/// True if the run takes longer than expected, or nothing is known of that.
bool IsOverExpectedTime(const GateRun& run, core::Time now) {
  return run.phase == RunPhase::kRunning &&
         now - run.started_at > run.expected_run_time;
}

/// Tells the run's entry; an empty estimate withdraws what it was told before.
void SendProgress(GateBoard* board, core::Time now, const RunRef& ref,
                  GateRun* run, const ProgressEstimate& estimate) {
  run->progress.sent_at = now;
  RunProgress message;
  message.run = ref;
  message.standing = estimate.state == ProgressState::kStanding;
  if (estimate.state != ProgressState::kUnknown) {
    message.percent = run->progress.percent;
    message.remaining = estimate.remaining;
  }
  ++board->counts.progress_messages;
  if (message.standing) {
    ++board->counts.standing_runs;
    AddLogLine(
        board, "A run makes no progress.", ToString(ref),
        {{"percent", std::to_string(message.percent)},
         {"unrisen",
          std::to_string(core::Millis(now - run->progress.risen_at)) + "ms"},
         {"ran", std::to_string(core::Millis(now - run->started_at)) + "ms"},
         {"expected",
          std::to_string(core::Millis(run->expected_run_time)) + "ms"}});
  }
  board->actions.push_back(SendTo<RunProgress>{run->home, message});
}

}  // namespace

void UpdateProgress(GateBoard* board, core::Time now, TargetClock clock,
                    const ListedRun& listed, GateRun* run) {
  if (!listed.percent.has_value() && !run->progress.first_at.has_value()) {
    return;
  }
  if (run->phase != RunPhase::kRunning && run->phase != RunPhase::kUnclaimed) {
    return;
  }
  std::optional<core::Time> started_at;
  if (!run->found) started_at = run->started_at;
  ObserveProgress(&run->progress, now, clock.value(), started_at,
                  listed.percent);
  if (run->stop_requested || !IsOverExpectedTime(*run, now)) return;
  const std::optional<core::Time> sent = run->progress.sent_at;
  if (sent.has_value() && now - *sent < board->policy.progress_interval) return;
  const ProgressEstimate estimate = EstimateProgress(
      run->progress, now, run->expected_run_time, board->policy);
  if (estimate.state == ProgressState::kUnknown && !sent.has_value()) return;
  SendProgress(board, now, listed.run, run, estimate);
}

bool AwaitsProgress(const GateBoard& board, core::Time now) {
  for (const auto& [ref, run] : board.runs) {
    if (run.progress.first_at.has_value() && !run.progress.implausible &&
        IsOverExpectedTime(run, now)) {
      return true;
    }
  }
  return false;
}

}  // namespace tarragon::coordinator
