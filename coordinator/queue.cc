#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admission.h"
#include "entry_internal.h"
#include "finish_time.h"
#include "leaving_target.h"
#include "placing.h"
#include "precedence.h"

namespace tarragon::coordinator {
namespace {

std::uint32_t FindTaskIndex(const Job& job, const Task& task) {
  return static_cast<std::uint32_t>(&task - job.tasks.data());
}

WaitingTask MakeWaitingTask(const Job& job, const Task& task) {
  return {task.late,
          task.rank,
          task.latest_start,
          job.serial,
          FindTaskIndex(job, task),
          job.request.id};
}

/// A job that has started becomes late only after its latest start plus its
/// allowed time divided by this: its other tasks hold room already, and it may
/// be shorter than expected.
constexpr int kStartedGraceDivisor = 2;

/// True if the job can no longer be in time, so that other jobs take
/// precedence.
bool IsLate(const Job& job, const Task& task, core::Time now) {
  if (job.ordered_runs == 0) return task.latest_start < now;
  return task.latest_start +
             (job.objective - job.arrived_at) / kStartedGraceDivisor <
         now;
}

/// Work of late tasks does not count: it comes after all other work.
void CountWaitingWork(JobBoard* board, const Job& job, Task* task) {
  task->waiting_work = 0;
  if (task->late || !HasPrecedence(board->precedence, job.queue)) return;
  task->waiting_work = ComputeTaskWork(job.request.steps[task->ref.step].room,
                                       job.objective - task->latest_start);
  AddWaitingWork(board, job.queue.priority, task->waiting_work);
}

void UncountWaitingWork(JobBoard* board, const Job& job, Task* task) {
  AddWaitingWork(board, job.queue.priority, -task->waiting_work);
  task->waiting_work = 0;
}

/// Moves the tasks of jobs that have become late behind the others.
void MarkLateTasks(JobBoard* board, core::Time now) {
  std::vector<WaitingTask> passed;
  auto at = board->waiting_tasks.begin();
  while (at != board->waiting_tasks.end() && !at->late) {
    if (at->latest_start >= now) {
      // Within a rank the others have more time. Goes on with the next rank.
      WaitingTask next;
      next.rank = at->rank + 1;
      next.latest_start = core::Time{core::Duration::min()};
      at = board->waiting_tasks.lower_bound(next);
      continue;
    }
    const Job& job = *board->jobs.at(at->job);
    if (IsLate(job, job.tasks[at->task_index], now)) passed.push_back(*at);
    ++at;
  }
  for (const WaitingTask& each : passed) {
    Job& job = *board->jobs.at(each.job);
    Task& task = job.tasks[each.task_index];
    board->waiting_tasks.erase(each);
    UncountWaitingWork(board, job, &task);
    task.late = true;
    board->waiting_tasks.insert(MakeWaitingTask(job, task));
  }
}

void PlaceTask(JobBoard* board, core::Time now, Job* job, Task* task,
               GateLink* gate) {
  if (!HasBeenPlaced(*job, *task) && now <= task->latest_start) {
    RecordTimelyStart(board, now, *job);
  }
  DequeueTask(board, *job, *task);
  const StepSpec& step = job->request.steps[task->ref.step];
  task->phase = TaskPhase::kPlaced;
  task->gate = gate->node.address;
  if (HasBeenPlaced(*job, *task)) ++board->counts.restarted_tasks;
  StartRun start;
  start.run = {task->ref, ++task->last_run};
  start.sequence = ++board->last_start_sequence;
  start.service = job->queue.service;
  start.room = step.room;
  start.payload = job->request.payload;
  start.required = step.required;
  const core::Time gate_now = gate->report->clock + (now - gate->last_heard_at);
  start.start_by = gate_now + board->policy.start_window;
  const core::Duration usual = EstimateRunTime(*board, *job, *task);
  const core::Duration run_time = RunTimeAt(*board, step, *gate->report, usual);
  // The gate learns the target's speed relative to this. The limit of a stalled
  // run is not lowered at fast targets, where long tasks are placed.
  start.expected_run = std::chrono::duration_cast<core::Duration>(
      usual * SpreadFactor(*board, step, *gate->report));
  start.longest_run = ComputeLongestRun(*board, *job, *task, *gate->report);
  start.operator_revision = board->operator_state.revision;
  start.domains_digest = board->domains_digest;
  start.suspect = task->crashes > 0;
  start.priority = job->queue.priority;
  ++job->ordered_runs;
  ++board->counts.starts;
  if (ComputeFinishWeights(*board, now, *job, *task).matters) {
    ++board->counts.placed_by_finish;
    if (now + run_time > job->objective) ++board->counts.placed_late;
  }
  if (gate->health.suspect) gate->health.last_trial_at = now;
  gate->uncounted_starts.push_back({start.sequence, step.room, now});
  gate->runs[start.run] = {.job_serial = job->serial,
                           .room = step.room,
                           .ordered_at = now,
                           .expected_run_time = start.expected_run,
                           .asked_at = now,
                           .suspect = start.suspect};
  AddLogLine(board, "Placed a task.", ToString(start.run),
             {{"target", gate->report->target.value()},
              {"gate", core::ToString(gate->node)},
              {"attempt", std::to_string(job->serial)},
              {"earlier_runs", std::to_string(job->earlier_runs)},
              {"waited", FormatMillis(now - job->arrived_at)},
              {"report_age", FormatMillis(now - gate->last_heard_at)},
              {"free", std::to_string(gate->report->free.millicores)},
              {"speed_permille", std::to_string(gate->report->speed_permille)},
              {"expected", FormatMillis(run_time)},
              {"left", FormatMillis(job->objective - now)}});
  board->actions.push_back(SendTo<StartRun>{gate->node, std::move(start)});
}

/// Finds the smallest number of millicores that one of the next waiting tasks
/// needs.
std::int64_t FindLeastMillicores(const JobBoard& board) {
  std::int64_t least = std::numeric_limits<std::int64_t>::max();
  std::size_t seen = 0;
  for (const WaitingTask& each : board.waiting_tasks) {
    if (++seen > board.policy.place_lookahead) break;
    const Job& job = *board.jobs.at(each.job);
    const StepSpec& step =
        job.request.steps[job.tasks[each.task_index].ref.step];
    least = std::min(least, step.room.millicores);
  }
  return least;
}

/// True if a run of the task that an earlier attempt at the job has ordered may
/// still be at work.
bool HasEarlierRun(const JobBoard& board, const Job& job, const Task& task) {
  if (job.earlier_runs == 0) return false;
  return std::any_of(
      board.gates.begin(), board.gates.end(), [&task](const auto& each) {
        const std::map<RunRef, PlacedRun>& runs = each.second.runs;
        const auto at = runs.lower_bound(RunRef{task.ref, 0});
        return at != runs.end() && at->first.task == task.ref;
      });
}

}  // namespace

void EnqueueTask(JobBoard* board, core::Time now, Job* job, Task* task) {
  task->phase = TaskPhase::kQueued;
  task->latest_start = job->objective - EstimateRunTime(*board, *job, *task);
  task->late = IsLate(*job, *task, now);
  task->rank = RankOfQueue(board->precedence, job->queue);
  CountWaitingWork(board, *job, task);
  board->waiting_tasks.insert(MakeWaitingTask(*job, *task));
  board->queue_grew = true;
}

void DequeueTask(JobBoard* board, const Job& job, const Task& task) {
  if (board->waiting_tasks.erase(MakeWaitingTask(job, task)) == 0) return;
  AddWaitingWork(board, job.queue.priority, -task.waiting_work);
}

void RerankWaitingTasks(JobBoard* board) {
  std::set<WaitingTask> ranked;
  for (const WaitingTask& each : board->waiting_tasks) {
    Job& job = *board->jobs.at(each.job);
    Task& task = job.tasks[each.task_index];
    task.rank = RankOfQueue(board->precedence, job.queue);
    ranked.insert(MakeWaitingTask(job, task));
  }
  board->waiting_tasks = std::move(ranked);
}

void RequeueTasks(JobBoard* board, core::Time now, Job* job) {
  for (Task& task : job->tasks) {
    if (task.phase != TaskPhase::kQueued) continue;
    DequeueTask(board, *job, task);
    EnqueueTask(board, now, job, &task);
  }
}

void QueueUnblockedTasks(JobBoard* board, core::Time now, Job* job) {
  for (Task& task : job->tasks) {
    if (task.phase != TaskPhase::kBlocked) continue;
    const StepSpec& step = job->request.steps[task.ref.step];
    const bool due = std::all_of(step.after.begin(), step.after.end(),
                                 [job](std::uint32_t earlier) {
                                   return job->step_tasks_left[earlier] == 0;
                                 });
    if (due && !HasEarlierRun(*board, *job, task)) {
      EnqueueTask(board, now, job, &task);
    }
  }
}

void PlaceWaitingTasks(JobBoard* board, core::Time now, GateLink* only) {
  if (board->waiting_tasks.empty() || !IsCaughtUp(*board, now)) return;
  MarkLateTasks(board, now);
  const std::int64_t need = FindLeastMillicores(*board);
  std::vector<Candidate> candidates;
  if (only == nullptr) {
    candidates = FindCandidates(board, now, need);
  } else {
    AddCandidate(*board, now, only, need, &candidates);
  }
  std::size_t skipped = 0;
  auto at = board->waiting_tasks.begin();
  while (!candidates.empty() && at != board->waiting_tasks.end() &&
         skipped <= board->policy.place_lookahead) {
    const WaitingTask next = *at;
    Job* job = board->jobs.at(next.job).get();
    Task* task = &job->tasks[next.task_index];
    if (!IsWorthwhile(*board, now, *job)) {
      // The next tick ends the job. Its client may have resubmitted it.
      ++at;
      continue;
    }
    Candidate* best = ChooseGate(board, now, *job, *task, &candidates);
    if (best == nullptr) {
      ++skipped;
      ++at;
      continue;
    }
    best->free = best->free - job->request.steps[task->ref.step].room;
    PlaceTask(board, now, job, task, best->gate);
    at = board->waiting_tasks.upper_bound(next);
  }
}

void GiveUpExpiredJobs(JobBoard* board, core::Time now) {
  std::vector<JobId> expired;
  for (const auto& [id, job] : board->jobs) {
    const bool hopeless = job->ordered_runs == 0
                              ? IsTooLateToStart(*board, now, *job)
                              : !IsWorthwhile(*board, now, *job);
    if (hopeless) expired.push_back(id);
  }
  for (const JobId& id : FindUnservableJobs(*board, now)) {
    if (std::find(expired.begin(), expired.end(), id) != expired.end())
      continue;
    RefuseJob(board, now, board->jobs.at(id).get(), Refusal::kOverload,
              ComputeRetryAfter(*board, core::Duration(0)));
  }
  for (const JobId& id : expired) {
    Job* job = board->jobs.at(id).get();
    ++board->counts.given_up;
    if (job->ordered_runs == 0) {
      RefuseJob(board, now, job, Refusal::kExpired,
                ComputeRetryAfter(*board, core::Duration(0)));
    } else {
      GiveUpJob(board, now, job, "its useful time is over");
    }
  }
}

}  // namespace tarragon::coordinator
