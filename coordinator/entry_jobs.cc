#include <algorithm>
#include <string>
#include <utility>

#include "admission.h"
#include "entry_internal.h"
#include "job_memory.h"
#include "precedence.h"

namespace tarragon::coordinator {
namespace {

bool HasValidSteps(const JobRequest& request) {
  if (request.steps.empty()) return false;
  for (std::size_t i = 0; i < request.steps.size(); ++i) {
    const StepSpec& step = request.steps[i];
    if (step.count == 0) return false;
    for (const std::uint32_t earlier : step.after) {
      if (earlier >= i) return false;
    }
  }
  return true;
}

Job MakeJob(JobBoard* board, core::Time now, const Queue& queue,
            JobRequest request, std::optional<core::Time> deadline) {
  Job job;
  job.queue = queue;
  job.arrived_at = now;
  if (deadline.has_value()) {
    job.answer_by = *deadline - board->policy.answer_margin;
  }
  job.serial = ++board->last_job_serial;
  const auto earlier = board->last_runs.find(request.id);
  if (earlier != board->last_runs.end()) job.earlier_runs = earlier->second;
  for (std::uint32_t step = 0; step < request.steps.size(); ++step) {
    job.step_tasks_left.push_back(request.steps[step].count);
    for (std::uint32_t index = 0; index < request.steps[step].count; ++index) {
      Task task;
      task.ref = {request.id, step, index};
      task.last_run = job.earlier_runs;
      job.tasks.push_back(std::move(task));
    }
  }
  job.tasks_left = static_cast<std::uint32_t>(job.tasks.size());
  job.request = std::move(request);
  for (const StepSpec& step : job.request.steps) {
    job.step_run_times.push_back(
        EstimateRunTime(board->run_times, queue.name, step.declared_run_time));
  }
  SetObjective(*board, &job);
  return job;
}

void RefuseCall(JobBoard* board, CallId call, const JobId& job,
                const AdmissionDecision& verdict) {
  ++board->counts.refused[verdict.refusal];
  AddLogLine(board, "Refused a job.", job.value(),
             {{"reason", Name(verdict.refusal)},
              {"predicted_wait", FormatMillis(verdict.wait)},
              {"retry_after", FormatMillis(verdict.retry_after)},
              {"waiting", std::to_string(board->waiting_tasks.size())},
              {"work_here", std::to_string(verdict.work_here)},
              {"work_elsewhere", std::to_string(verdict.work_elsewhere)},
              {"capacity", std::to_string(verdict.capacity)}});
  ClientAnswer answer;
  answer.refusal = verdict.refusal;
  answer.retry_after = verdict.retry_after;
  AnswerClient(board, call, answer);
}

}  // namespace

void AddLogLine(JobBoard* board, const char* sentence, std::string subject,
                LogFields details) {
  board->log_lines.push_back(
      {sentence, std::move(subject), std::move(details)});
}

std::string FormatMillis(core::Duration duration) {
  return std::to_string(core::Millis(duration)) + "ms";
}

void AnswerClient(JobBoard* board, CallId call, const ClientAnswer& answer) {
  board->actions.push_back(AnswerCall{call, answer});
}

bool HasBeenPlaced(const Job& job, const Task& task) {
  return task.last_run > job.earlier_runs;
}

Job* FindJobOfRun(const JobBoard& board, const RunRef& ref,
                  const PlacedRun& placed) {
  const auto found = board.jobs.find(ref.task.job);
  if (found == board.jobs.end()) return nullptr;
  return found->second->serial == placed.job_serial ? found->second.get()
                                                    : nullptr;
}

core::Duration EstimateRunTime(const JobBoard& board, const Job& job,
                               const Task& task) {
  return EstimateRunTime(board.run_times, job.queue.name,
                         job.request.steps[task.ref.step].declared_run_time);
}

void OnSubmit(JobBoard* board, core::Time now, CallId call, const Queue& queue,
              JobRequest request, std::optional<core::Time> deadline) {
  const JobId id = request.id;
  const auto known = board->jobs.find(id);
  if (known != board->jobs.end()) {
    ++board->counts.attached;
    known->second->calls.push_back(call);
    AddLogLine(board, "Attached a client to its job.", id.value(),
               {{"age", FormatMillis(now - known->second->arrived_at)},
                {"attempt", std::to_string(known->second->serial)}});
    return;
  }
  const auto kept = board->ended_states.find(id);
  if (kept != board->ended_states.end() &&
      kept->second == JobState::kCompleted) {
    AddLogLine(board, "Repeated the answer of a completed job.", id.value(),
               {});
    return AnswerClient(board, call, {Refusal::kNone, kept->second, {}, {}});
  }
  if (!HasValidSteps(request)) {
    return RefuseCall(board, call, id, {.refusal = Refusal::kBadJob});
  }
  const std::size_t bytes = EstimateMemory(request);
  if (!HasMemoryFor(*board, bytes)) {
    ++board->counts.refused_for_memory;
    AddLogLine(board, "The accepted jobs leave no memory for a job.",
               id.value(),
               {{"bytes", std::to_string(bytes)},
                {"held", std::to_string(board->job_bytes)},
                {"most", std::to_string(board->policy.max_job_bytes)}});
    return RefuseCall(
        board, call, id,
        {.refusal = Refusal::kOverload,
         .retry_after = ComputeRetryAfter(*board, core::Duration(0))});
  }
  // A request that is read after a stall may have waited through it.
  if (deadline.has_value()) deadline = *deadline - FindReadDelay(*board, now);
  Job new_job = MakeJob(board, now, queue, std::move(request), deadline);
  const AdmissionDecision verdict = DecideAdmission(*board, now, new_job);
  RecordOfferedJob(board, now, new_job);
  if (verdict.for_free_room) ++board->counts.accepted_for_free_room;
  if (verdict.refusal != Refusal::kNone) {
    return RefuseCall(board, call, id, verdict);
  }
  new_job.calls.push_back(call);
  new_job.bytes = bytes;
  board->job_bytes += bytes;
  Job* job =
      (board->jobs[id] = std::make_unique<Job>(std::move(new_job))).get();
  ++board->counts.accepted;
  AddLogLine(
      board, "Accepted a job.", id.value(),
      {{"queue", queue.name.value()},
       {"version", std::to_string(board->operator_state.version)},
       {"tasks", std::to_string(job->tasks.size())},
       {"attempt", std::to_string(job->serial)},
       {"earlier_runs", std::to_string(job->earlier_runs)},
       {"objective", FormatMillis(job->objective - now)},
       {"useful", FormatMillis(job->useful_until - now)},
       {"client_waits",
        deadline.has_value() ? FormatMillis(*deadline - now) : "unknown"},
       {"predicted_wait", FormatMillis(verdict.wait)}});
  QueueUnblockedTasks(board, now, job);
  FinishEvent(board, now);
}

void OnQuery(JobBoard* board, core::Time /*now*/, CallId call,
             const JobId& job) {
  const auto known = board->jobs.find(job);
  if (known != board->jobs.end()) {
    const JobState state = known->second->ordered_runs > 0 ? JobState::kRunning
                                                           : JobState::kPending;
    return AnswerClient(board, call, {Refusal::kNone, state, {}, {}});
  }
  const auto kept = board->ended_states.find(job);
  if (kept != board->ended_states.end()) {
    return AnswerClient(board, call, {Refusal::kNone, kept->second, {}, {}});
  }
  AnswerClient(board, call, {Refusal::kUnknownJob, {}, {}, {}});
}

void OnCancel(JobBoard* board, core::Time now, CallId call, const JobId& job) {
  const auto known = board->jobs.find(job);
  if (known != board->jobs.end()) {
    EndJob(board, now, known->second.get(), JobState::kCancelled,
           "cancelled by its client");
    AnswerClient(board, call, {Refusal::kNone, JobState::kCancelled, {}, {}});
    return FinishEvent(board, now);
  }
  const auto kept = board->ended_states.find(job);
  if (kept != board->ended_states.end()) {
    return AnswerClient(board, call, {Refusal::kNone, kept->second, {}, {}});
  }
  AnswerClient(board, call, {Refusal::kUnknownJob, {}, {}, {}});
}

void OnPendingCountQuery(JobBoard* board, core::Time /*now*/, CallId call,
                         const Queue& queue) {
  std::uint64_t pending = 0;
  for (const auto& [id, job] : board->jobs) {
    if (job->queue.name == queue.name && job->ordered_runs == 0) ++pending;
  }
  AnswerClient(board, call, {Refusal::kNone, JobState::kPending, {}, pending});
}

void OnCallClosed(JobBoard* board, core::Time now, CallId call) {
  for (auto& [id, job] : board->jobs) {
    const auto at = std::find(job->calls.begin(), job->calls.end(), call);
    if (at == job->calls.end()) continue;
    job->calls.erase(at);
    if (job->calls.empty()) {
      EndJob(board, now, job.get(), JobState::kCancelled,
             "its client disconnected");
    }
    return FinishEvent(board, now);
  }
}

void EndAllJobs(JobBoard* board, core::Time now, const char* why) {
  while (!board->jobs.empty()) {
    Job* job = board->jobs.begin()->second.get();
    if (job->ordered_runs == 0) {
      RefuseJob(board, now, job, Refusal::kStopping, board->policy.retry_floor);
    } else {
      GiveUpJob(board, now, job, why);
    }
  }
}

void RequestStop(JobBoard* board, core::Time now) {
  board->stopping = true;
  board->stop_requested = now;
}

}  // namespace tarragon::coordinator
