#include <algorithm>
#include <string>

#include "entry_internal.h"
#include "placing.h"

// What an entry makes of the progress of its runs: which ones are stalled,
// which jobs go on, and how long the tasks of a job really are.

namespace tarragon::coordinator {
namespace {

constexpr std::int64_t kPermille = 1000;
/// A task takes this multiple of its time away from its preferred label.
constexpr double kOtherRackFactor = 1.5;
/// An objective is extended if the run time grows by more than one part in this
/// many, so that a rough estimate does not sort the queue anew each time.
constexpr int kGrowthDivisor = 10;
/// Reports come at least every `notice_interval`; a longer pause is a silence.
constexpr int kSilentIntervals = 2;

core::Duration Scale(core::Duration duration, double factor) {
  return std::chrono::duration_cast<core::Duration>(duration * factor);
}

/// True if the gate has told the run's progress recently. The age is measured
/// up to the gate's last message, since silence says nothing about the run.
bool HasFreshProgress(const JobBoard& board, const GateLink& gate,
                      const PlacedRun& placed) {
  return placed.progress.has_value() &&
         gate.last_heard_at - placed.progress->at <= board.policy.progress_age;
}

/// True if the gate may not have told the progress of its runs yet.
bool IsProgressDue(const JobBoard& board, core::Time now,
                   const GateLink& gate) {
  return board.progress_known && now < gate.progress_due_at;
}

/// True if a run that makes progress would certainly end sooner elsewhere: its
/// rest takes longer there than any whole run does at a usual target. A target
/// also looks slow if several of its tasks are long by chance.
bool IsSoonerElsewhere(const JobBoard& board, core::Time now,
                       const GateLink& gate, const RunRef& ref,
                       const PlacedRun& placed) {
  if (!gate.health.suspect) return false;
  const Job* job = FindJobOfRun(board, ref, placed);
  if (job == nullptr) return false;
  const core::Duration longest = EstimateLongestRunTime(
      board.run_times, job->queue.name,
      job->request.steps[ref.task.step].declared_run_time);
  const core::Duration remaining =
      placed.progress->remaining - (now - placed.progress->at);
  return remaining > longest + board.policy.stall_floor;
}

/// True if the run would probably end sooner if it were restarted at another
/// target.
bool IsStalled(const JobBoard& board, core::Time now, const GateLink& gate,
               const RunRef& ref, const PlacedRun& placed) {
  if (placed.progress.has_value() && placed.progress->standing) return true;
  if (IsProgressDue(board, now, gate)) return false;
  if (HasFreshProgress(board, gate, placed)) {
    return IsSoonerElsewhere(board, now, gate, ref, placed);
  }
  const Policy& policy = board.policy;
  const core::Duration ran = now - placed.ordered_at;
  if (ran > Scale(placed.expected_run_time, policy.stall_factor) +
                policy.stall_floor) {
    return true;
  }
  if (!gate.health.suspect || !gate.report.has_value()) return false;
  const core::Duration here =
      placed.expected_run_time * gate.report->slowness_permille / kPermille;
  return here - ran > placed.expected_run_time + policy.stall_floor &&
         ran > placed.expected_run_time;
}

/// True if the run makes progress, or is too young for its gate to have told
/// that. Without any known progress no run is sound.
bool IsSound(const JobBoard& board, core::Time now, const GateLink& gate,
             const PlacedRun& placed) {
  if (placed.stop_requested || !board.progress_known) return false;
  if (placed.progress.has_value() && placed.progress->standing) return false;
  if (IsProgressDue(board, now, gate)) return true;
  if (HasFreshProgress(board, gate, placed)) return true;
  const Policy& policy = board.policy;
  return gate.last_heard_at - placed.ordered_at <= placed.expected_run_time +
                                                       policy.stall_floor +
                                                       policy.progress_interval;
}

bool HasSoundRun(const JobBoard& board, core::Time now, const Job& job) {
  return std::any_of(
      job.tasks.begin(), job.tasks.end(), [&board, now](const Task& task) {
        if (task.phase != TaskPhase::kPlaced) return false;
        const auto gate = board.gates.find(task.gate);
        if (gate == board.gates.end()) return false;
        const auto run = gate->second.runs.find({task.ref, task.last_run});
        return run != gate->second.runs.end() &&
               IsSound(board, now, gate->second, run->second);
      });
}

void StopIfStalled(JobBoard* board, core::Time now, GateLink* gate,
                   const RunRef& ref, PlacedRun* placed) {
  if (placed->stop_requested || !IsStalled(*board, now, *gate, ref, *placed))
    return;
  const Job* job = FindJobOfRun(*board, ref, *placed);
  if (job == nullptr) return;
  const core::Time end = now + placed->expected_run_time;
  if (job->answer_by.has_value() && end > *job->answer_by) return;
  if (end > job->useful_until && !HasSoundRun(*board, now, *job)) return;
  placed->stop_requested = true;
  ++board->counts.stalled_runs;
  LogFields fields = {{"ran", FormatMillis(now - placed->ordered_at)},
                      {"expected", FormatMillis(placed->expected_run_time)},
                      {"suspect", gate->health.suspect ? "true" : "false"}};
  if (placed->progress.has_value()) {
    const PlacedProgress& progress = *placed->progress;
    if (progress.standing) ++board->counts.standing_runs;
    fields.push_back({"standing", progress.standing ? "true" : "false"});
    fields.push_back({"percent", std::to_string(progress.percent)});
    fields.push_back({"remaining", FormatMillis(progress.remaining)});
    fields.push_back({"age", FormatMillis(now - progress.at)});
  }
  AddLogLine(board, "Stopping a stalled run.", ToString(ref),
             std::move(fields));
  QueryRun(board, now, *gate, ref, placed);
}

/// The run's time at a usual target that has its data. The objective is defined
/// by that time.
core::Duration NormalizeRunTime(const GateLink& gate, const StepSpec& step,
                                core::Duration total) {
  if (!gate.report.has_value()) return total;
  const TargetReport& report = *gate.report;
  if (report.speed_permille > 0) {
    total = total * report.speed_permille / kPermille;
  }
  if (!HasLabel(report, step.preferred)) {
    total = Scale(total, 1 / kOtherRackFactor);
  }
  return total;
}

/// Extends the objective of the run's job to the run time that its progress
/// shows, so that the job's other tasks are not treated as late.
void ExtendObjective(JobBoard* board, core::Time now, const GateLink& gate,
                     const RunRef& ref, const PlacedRun& placed) {
  // A slow target says nothing about the task.
  if (gate.health.suspect) return;
  Job* job = FindJobOfRun(*board, ref, placed);
  if (job == nullptr) return;
  const core::Duration total =
      NormalizeRunTime(gate, job->request.steps[ref.task.step],
                       now - placed.ordered_at + placed.progress->remaining);
  core::Duration& known = job->step_run_times[ref.task.step];
  if (total <= known + known / kGrowthDivisor) return;
  known = total;
  const core::Time old_objective = job->objective;
  SetObjective(*board, job);
  if (job->objective == old_objective) return;
  ++board->counts.extended_objectives;
  AddLogLine(board, "Extended the objective of a job.", ToString(ref),
             {{"percent", std::to_string(placed.progress->percent)},
              {"run_time", FormatMillis(total)},
              {"expected", FormatMillis(placed.expected_run_time)},
              {"objective", FormatMillis(job->objective - job->arrived_at)},
              {"was", FormatMillis(old_objective - job->arrived_at)}});
  RequeueTasks(board, now, job);
}

}  // namespace

void SetObjective(const JobBoard& board, Job* job) {
  std::vector<core::Duration> ends;
  core::Duration chain{0};
  for (std::size_t i = 0; i < job->request.steps.size(); ++i) {
    core::Duration begin{0};
    for (const std::uint32_t earlier : job->request.steps[i].after) {
      begin = std::max(begin, ends[earlier]);
    }
    ends.push_back(begin + job->step_run_times[i]);
    chain = std::max(chain, ends.back());
  }
  const core::Duration allowed =
      chain * job->queue.stretch_permille / kPermille +
      job->queue.latency_target;
  job->objective = job->arrived_at + allowed;
  job->useful_until = job->arrived_at + allowed * board.policy.useful_factor;
  if (job->answer_by.has_value()) {
    job->useful_until = std::min(job->useful_until, *job->answer_by);
  }
}

void AwaitProgressAfterSilence(const JobBoard& board, core::Time now,
                               const core::NodeId& from, GateLink* gate) {
  if (gate->runs.empty()) return;
  const bool silent = now - gate->last_heard_at >
                      board.policy.notice_interval * kSilentIntervals;
  if (gate->connected && !silent && gate->node == from) return;
  gate->progress_due_at = now + board.policy.progress_age;
}

void ApplyProgress(JobBoard* board, core::Time now, GateLink* gate,
                   const RunProgress& progress) {
  const auto found = gate->runs.find(progress.run);
  if (found == gate->runs.end()) return;
  PlacedRun& placed = found->second;
  if (!progress.standing && progress.remaining.count() == 0) {
    placed.progress.reset();
    return;
  }
  board->progress_known = true;
  placed.progress = PlacedProgress{progress.percent, progress.remaining,
                                   progress.standing, now};
  if (progress.standing) {
    StopIfStalled(board, now, gate, progress.run, &placed);
  } else {
    ExtendObjective(board, now, *gate, progress.run, placed);
  }
}

void StopStalledRuns(JobBoard* board, core::Time now, GateLink* gate) {
  for (auto& [ref, placed] : gate->runs) {
    StopIfStalled(board, now, gate, ref, &placed);
  }
}

bool IsWorthwhile(const JobBoard& board, core::Time now, const Job& job) {
  if (now <= job.useful_until) return true;
  if (job.answer_by.has_value() && now > *job.answer_by) return false;
  return HasSoundRun(board, now, job);
}

}  // namespace tarragon::coordinator
