#include <algorithm>
#include <string>
#include <utility>

#include "gate_internal.h"
#include "gate_lease.h"

namespace tarragon::coordinator {
namespace {

/// How much slower the target's clock may be than the gate's.
constexpr std::int64_t kMaxClockLagPermille = 20;
constexpr std::int64_t kPermille = 1000;
/// Ticks come every 20 ms, so the machine or the process was paused if nothing
/// happens for this time.
constexpr core::Duration kMaxPause = std::chrono::milliseconds(200);

}  // namespace

void AddLogLine(GateBoard* board, const char* sentence, std::string subject,
                LogFields details) {
  board->log_lines.push_back(
      {sentence, std::move(subject), std::move(details)});
}

TargetClock EstimateTargetClock(const Target& target, core::Time now) {
  const core::Duration elapsed = now - target.clock_read_at;
  return TargetClock(
      target.clock.value() +
      core::Millis(elapsed - elapsed * kMaxClockLagPermille / kPermille));
}

Room ComputeFreeRoom(const GateBoard& board) {
  if (!board.target.has_value()) return {};
  Room free = board.target->announcement.capacity;
  for (const auto& [ref, run] : board.runs) {
    // The room of an unclaimed run is unknown, so nothing counts as free until
    // an entry has claimed the run or it has ended.
    if (run.phase == RunPhase::kUnclaimed) return {};
    free = free - run.room;
  }
  return free;
}

std::size_t CountOpenRuns(const GateBoard& board) { return board.runs.size(); }

/// Records an ended run in the target's history. A stopped run gives only a
/// lower bound of its run time, so it counts only if it was slower than the
/// current grade.
void RecordRunSample(GateBoard* board, core::Time now, const RunRef& ref,
                     const GateRun& run, RunEnd end) {
  if (!board->target.has_value()) return;
  TargetHistory& history = board->target->history;
  const double ratio = ComputeSlowness(run, now);
  const bool stopped = run.stop_requested || end == RunEnd::kStopped;
  if (stopped && ratio <= history.grade.slowness) return;
  JobSample sample{ref.task.job, now, {}, false};
  sample.failed = !stopped && end == RunEnd::kFailed;
  if (!sample.failed) sample.slowness = ratio;
  RecordSample(&history, sample);
}

/// Learns the target's speed from a run that has ended by itself.
void LearnSpeed(GateBoard* board, core::Time now, const RunRef& ref,
                const GateRun& run, RunEnd end) {
  if (!board->target.has_value()) return;
  if (end != RunEnd::kDone || run.stop_requested) return;
  RecordSpeedSample(&board->target->speed, ref.task.job, run.expected_run_time,
                    now - run.started_at);
  StoreSpeedIfChanged(board, now);
}

double ComputeSlowness(const GateRun& run, core::Time now) {
  if (run.expected_run_time.count() <= 0) return 1;
  return static_cast<double>((now - run.started_at).count()) /
         static_cast<double>(run.expected_run_time.count());
}

void EndRun(GateBoard* board, core::Time now, const RunRef& ref, RunEnd end,
            RefusalReason reason) {
  const auto found = board->runs.find(ref);
  if (found == board->runs.end()) return;
  const GateRun run = found->second;
  board->runs.erase(found);
  RunEnded ended{ref, end, reason, core::Duration{0}};
  if (run.phase == RunPhase::kRunning) {
    ended.run_time = now - run.started_at;
    RecordRunSample(board, now, ref, run, end);
    LearnSpeed(board, now, ref, run, end);
  }
  ended.target_crashed =
      run.target_crashed && (end == RunEnd::kLapsed || end == RunEnd::kStopped);
  board->ended_runs[ref] = {ended, now, run.found ? core::NodeId{} : run.home};
  ++board->counts.ends[end];
  if (end == RunEnd::kRefused) ++board->counts.refusals[reason];
  AddLogLine(board, "A run ended.", ToString(ref),
             {{"end", Name(end)},
              {"reason", Name(reason)},
              {"run_time", std::to_string(core::Millis(ended.run_time)) + "ms"},
              {"target_crashed", ended.target_crashed ? "true" : "false"},
              {"entry", core::ToString(run.home)}});
  if (!run.home.address.value().empty()) {
    board->actions.push_back(SendTo<RunEnded>{run.home, ended});
  }
  for (const core::NodeId& other : run.other_homes) {
    board->actions.push_back(SendTo<RunEnded>{other, ended});
  }
  MarkRoomChanged(board, run.home);
}

void SendStop(GateBoard* board, core::Time now, const RunRef& ref,
              GateRun* run) {
  if (run->stop_pending || !board->target.has_value()) return;
  run->stop_pending = true;
  run->stop_sent_at = now;
  run->stop_sent_born = board->target->announcement.born;
  run->stop_answered_at.reset();
  board->actions.push_back(OrderStop{board->target->announcement.address,
                                     board->target->announcement.target, ref});
}

void StopRun(GateBoard* board, core::Time now, const RunRef& ref,
             GateRun* run) {
  if (run->stop_requested) return;
  run->confirmed_at = FindConfirmation(*board, *run);
  run->stop_requested = true;
  // The target may carry out the stop before a start that is still pending. It
  // then refuses the start, which has the same effect.
  SendStop(board, now, ref, run);
}

void StopRunsOfEntry(GateBoard* board, core::Time now,
                     const core::NodeId& home) {
  for (auto& [ref, run] : board->runs) {
    const bool is_other =
        std::find(run.other_homes.begin(), run.other_homes.end(), home) !=
        run.other_homes.end();
    if (run.home == home || is_other) StopRun(board, now, ref, &run);
  }
}

void RecordEvent(GateBoard* board, core::Time now) {
  const core::Duration pause = now - board->last_event_at.value_or(now);
  board->last_event_at = now;
  if (pause <= kMaxPause || !board->target.has_value()) return;
  board->target->clock_read_at = board->target->clock_read_at + pause;
}

/// Records the target's clock from an answer of its current incarnation.
void RecordClock(GateBoard* board, core::Time now,
                 std::optional<TargetClock> clock) {
  Target& target = *board->target;
  if (!clock.has_value() || *clock <= EstimateTargetClock(target, now)) return;
  target.clock = *clock;
  target.clock_read_at = now;
}

void OnStartAnswer(GateBoard* board, core::Time now, const RunRef& ref,
                   OrderAnswer answer, std::optional<TargetClock> clock) {
  const auto found = board->runs.find(ref);
  if (found == board->runs.end()) return;
  GateRun& run = found->second;
  if (run.ordered_born == board->target->announcement.born) {
    RecordClock(board, now, clock);
    if (answer == OrderAnswer::kAccepted) RecordTargetAnswer(board, now);
  }
  if (run.phase != RunPhase::kStarting) return FinishEvent(board, now);
  switch (answer) {
    case OrderAnswer::kAccepted:
      run.phase = RunPhase::kRunning;
      run.started_at = now;
      break;
    case OrderAnswer::kRefused:
      EndRun(board, now, ref, RunEnd::kRefused, RefusalReason::kTargetRefused);
      break;
    case OrderAnswer::kRefusedOld:
      EndRun(board, now, ref, RunEnd::kRefused, RefusalReason::kOldRun);
      break;
    case OrderAnswer::kUnclear:
      run.phase = RunPhase::kUnclear;
      ++board->counts.unclear_starts;
      AddLogLine(board, "A start was not answered; sending a stop.",
                 ToString(ref),
                 {{"waited",
                   std::to_string(core::Millis(now - run.ordered_at)) + "ms"},
                  {"until", std::to_string(run.start_deadline.value())}});
      SendStop(board, now, ref, &run);
      break;
  }
  FinishEvent(board, now);
}

void OnStopAnswer(GateBoard* board, core::Time now, const RunRef& ref,
                  OrderAnswer answer) {
  const auto found = board->runs.find(ref);
  if (found == board->runs.end()) return;
  GateRun& run = found->second;
  run.stop_pending = false;
  const bool is_current =
      run.stop_sent_born == board->target->announcement.born;
  if (answer == OrderAnswer::kAccepted && is_current) {
    run.stop_answered_at = now;
    RecordTargetAnswer(board, now);
  }
  FinishEvent(board, now);
}

}  // namespace tarragon::coordinator
