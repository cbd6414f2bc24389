#include <algorithm>
#include <string>

#include "entry_internal.h"

namespace tarragon::coordinator {
namespace {

void RememberState(JobBoard* board, const JobId& id, JobState state) {
  if (!board->ended_states.emplace(id, state).second) {
    board->ended_states[id] = state;
    return;
  }
  board->ended_order.push_back(id);
  if (board->ended_order.size() <= board->policy.max_ended_states) return;
  board->ended_states.erase(board->ended_order.front());
  board->ended_order.pop_front();
}

/// Remembers the highest run number of a job that may be submitted again.
void RememberLastRun(JobBoard* board, const Job& job) {
  std::uint32_t last = job.earlier_runs;
  for (const Task& task : job.tasks) last = std::max(last, task.last_run);
  if (last == 0) return;
  const JobId& id = job.request.id;
  if (board->last_runs.insert_or_assign(id, last).second) {
    board->last_runs_order.push_back(id);
  }
  if (board->last_runs_order.size() <= board->policy.max_ended_states) return;
  board->last_runs.erase(board->last_runs_order.front());
  board->last_runs_order.pop_front();
}

void StopRunsOfJob(JobBoard* board, core::Time now, const JobId& id) {
  for (auto& [address, gate] : board->gates) {
    const RunRef first{{id, 0, 0}, 0};
    for (auto at = gate.runs.lower_bound(first);
         at != gate.runs.end() && at->first.task.job == id; ++at) {
      at->second.stop_requested = true;
      QueryRun(board, now, gate, at->first, &at->second);
    }
  }
}

/// Removes the job from the board and destroys it.
void RemoveJob(JobBoard* board, core::Time now, Job* job) {
  const JobId id = job->request.id;
  for (const Task& task : job->tasks) {
    if (task.phase == TaskPhase::kQueued) DequeueTask(board, *job, task);
  }
  if (job->tasks_left > 0) RememberLastRun(board, *job);
  StopRunsOfJob(board, now, id);
  board->job_bytes -= job->bytes;
  board->jobs.erase(id);
}

}  // namespace

const char* Name(JobState state) {
  switch (state) {
    case JobState::kPending:
      return "pending";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "invalid";
}

const char* Name(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kGivenUp:
      return "given_up";
    case Refusal::kNoConfiguration:
      return "no_configuration";
    case Refusal::kNoQueue:
      return "no_queue";
    case Refusal::kBadJob:
      return "bad_job";
    case Refusal::kUnsupported:
      return "unsupported";
    case Refusal::kNeverFits:
      return "never_fits";
    case Refusal::kNoTarget:
      return "no_target";
    case Refusal::kOverload:
      return "overload";
    case Refusal::kExpired:
      return "expired";
    case Refusal::kStopping:
      return "stopping";
    case Refusal::kUnknownJob:
      return "unknown_job";
  }
  return "invalid";
}

void EndJob(JobBoard* board, core::Time now, Job* job, JobState state,
            const char* why) {
  AddLogLine(board, "A job ended.", job->request.id.value(),
             {{"state", Name(state)},
              {"why", why},
              {"took", FormatMillis(now - job->arrived_at)},
              {"objective", FormatMillis(job->objective - job->arrived_at)},
              {"attempt", std::to_string(job->serial)},
              {"earlier_runs", std::to_string(job->earlier_runs)},
              {"runs", std::to_string(job->ordered_runs)},
              {"tasks_left", std::to_string(job->tasks_left)}});
  ++board->counts.ended[state];
  board->ended_jobs.push_back({job->queue.name, state, now - job->arrived_at});
  for (const CallId& call : job->calls) {
    AnswerClient(board, call, {Refusal::kNone, state, {}, {}});
  }
  RememberState(board, job->request.id, state);
  RemoveJob(board, now, job);
}

void GiveUpJob(JobBoard* board, core::Time now, Job* job, const char* why) {
  AddLogLine(board, "Gave up a job that has run in part.",
             job->request.id.value(),
             {{"why", why},
              {"took", FormatMillis(now - job->arrived_at)},
              {"objective", FormatMillis(job->objective - job->arrived_at)},
              {"attempt", std::to_string(job->serial)},
              {"earlier_runs", std::to_string(job->earlier_runs)},
              {"runs", std::to_string(job->ordered_runs)},
              {"tasks_left", std::to_string(job->tasks_left)}});
  ++board->counts.refused[Refusal::kGivenUp];
  for (const CallId& call : job->calls) {
    AnswerClient(board, call, {Refusal::kGivenUp, JobState::kFailed, {}, {}});
  }
  RemoveJob(board, now, job);
}

void RefuseJob(JobBoard* board, core::Time now, Job* job, Refusal refusal,
               core::Duration retry_after) {
  AddLogLine(board, "Gave up a job that has not run.", job->request.id.value(),
             {{"reason", Name(refusal)},
              {"waited", FormatMillis(now - job->arrived_at)},
              {"attempt", std::to_string(job->serial)},
              {"earlier_runs", std::to_string(job->earlier_runs)},
              {"retry_after", FormatMillis(retry_after)},
              {"waiting", std::to_string(board->waiting_tasks.size())}});
  ++board->counts.refused[refusal];
  for (const CallId& call : job->calls) {
    AnswerClient(board, call, {refusal, JobState::kPending, retry_after, {}});
  }
  RemoveJob(board, now, job);
}

}  // namespace tarragon::coordinator
