#include <string>

#include "gate_internal.h"

// Progress of runs at the gate: what the target lists, and what entries are
// told of it.

namespace tarragon::coordinator {
namespace {

/// Whole percent give a run time to within a fifth from here on.
constexpr std::uint32_t kMinProjectedPercent = 5;
/// One other slow run may be a long task as well.
constexpr std::size_t kMinAgreeing = 2;

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

std::optional<double> ProjectSlowness(const GateBoard& board,
                                      const GateRun& run, core::Time now) {
  if (run.found || run.expected_run_time.count() <= 0) return std::nullopt;
  if (run.progress.percent < kMinProjectedPercent) return std::nullopt;
  const ProgressEstimate estimate =
      EstimateProgress(run.progress, now, run.expected_run_time, board.policy);
  if (estimate.state != ProgressState::kRising) return std::nullopt;
  return static_cast<double>(
             (now - run.started_at + estimate.remaining).count()) /
         static_cast<double>(run.expected_run_time.count());
}

bool DoOthersAgree(const GateBoard& board, core::Time now, const JobId& job) {
  std::size_t others = 0;
  std::size_t slow = 0;
  const auto count = [&others, &slow](double slowness) {
    ++others;
    if (slowness > kOverdueFactor) ++slow;
  };
  for (const JobSample& each : board.target->history.samples) {
    if (each.job == job || !each.slowness.has_value()) continue;
    if (now - each.ended_at > board.policy.target_history_age) continue;
    count(*each.slowness);
  }
  for (const auto& [ref, run] : board.runs) {
    if (ref.task.job == job) continue;
    const std::optional<double> slowness = ProjectSlowness(board, run, now);
    if (slowness.has_value()) count(*slowness);
  }
  return slow >= kMinAgreeing && slow * 2 > others;
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
