#include <algorithm>
#include <utility>

#include "home.h"
#include "outbox.h"
#include "queue.h"
#include "refusals.h"
#include "tarragon/dispatch/agent.h"
#include "tarragon/dispatch/digest.h"
#include "tarragon/dispatch/handle.h"

namespace tarragon::dispatch {
namespace {

constexpr std::size_t kMaxHistoryLines = 500;
constexpr core::Duration kRetryPause = std::chrono::milliseconds(200);

void ReleaseBytes(AgentBoard* board, std::uint64_t bytes) {
  board->bytes_held -= std::min(board->bytes_held, bytes);
}

/// Drops the payloads, which are only needed for placements.
void DropPayloads(AgentBoard* board, HomeJob* job) {
  for (HomeTask& task : job->tasks) {
    ReleaseBytes(board, task.spec.payload.size());
    task.spec.payload.clear();
    task.spec.payload.shrink_to_fit();
  }
}

/// Removes the job's queued tasks, stops its placed ones and drops its results.
void WithdrawTasks(AgentBoard* board, HomeJob* job) {
  for (std::uint32_t i = 0; i < job->tasks.size(); ++i) {
    HomeTask& task = job->tasks[i];
    if (task.state == TaskState::kQueued) {
      DequeueTask(board, *job, core::TaskIndex(i));
    }
    if (task.state == TaskState::kAssigned) {
      --board->running_tasks_by_tenant[job->spec.tenant];
      Post(
          board, task.executor,
          Seal{TaskRef{job->spec.key, core::TaskIndex(i), task.attempt}, true});
    }
    ReleaseBytes(board, task.result.size());
    task.result.clear();
  }
}

/// True if no task of the job can have started: none is placed and none has
/// ended.
bool IsProvedNotRun(const HomeJob& job) {
  return std::all_of(
      job.tasks.begin(), job.tasks.end(),
      [](const HomeTask& task) { return task.state == TaskState::kQueued; });
}

void AnswerWaiters(AgentBoard* board, core::Time now, HomeJob* job) {
  ++board->counters.outcomes[std::string(Name(job->answer.outcome))];
  if (board->job_samples.size() < kMaxSamples) {
    board->job_samples.push_back(
        JobSample{job->spec.tenant, job->spec.service, now - job->arrived_at,
                  job->answer.outcome, job->longest_run_time});
  }
  const bool not_run = job->answer.outcome == Outcome::kNotRun;
  for (const Waiter& waiter : job->waiters) {
    SendAnswer(board, *job, waiter);
    if (!not_run) continue;
    RememberRefusal(
        board, waiter,
        RefusedRequest{job->answer.reason, job->answer.retry_after});
  }
  job->waiters.clear();
}

/// Removes a job that was not run, so that its key can be submitted again. A
/// cancelled key gets a tombstone and never runs.
void RemoveNotRunJob(AgentBoard* board, const core::JobKey& key,
                     Reason reason) {
  board->jobs.erase(key);
  if (reason != Reason::kCancelled) return;
  const std::optional<Handle> handle = ParseHandle(key);
  if (!handle.has_value()) return;
  board->tombstones.emplace(key, Tombstone{handle->epoch, Outcome::kNotRun});
}

}  // namespace

void AddHistoryLine(HomeJob* job, core::Time now, const std::string& line) {
  if (job->history.size() >= kMaxHistoryLines) return;
  job->history.push_back(
      "+" + std::to_string(core::Millis(now - job->arrived_at)) + "ms " + line);
}

void SendAnswer(AgentBoard* board, const HomeJob& job, const Waiter& waiter) {
  Answer answer{waiter.request, job.answer, 0};
  answer.results_digest = Digest(answer.answer.results);
  Post(board, waiter.entry, std::move(answer));
}

void EndJob(AgentBoard* board, core::Time now, const core::JobKey& key,
            Outcome outcome, Reason reason, const std::string& detail) {
  HomeJob& job = board->jobs.at(key);
  CheckInvariant(&board->invariant_counts, "answer_once",
                 job.answer.outcome == Outcome::kRunning, job.history);
  const bool not_run = IsProvedNotRun(job);
  WithdrawTasks(board, &job);
  DropPayloads(board, &job);
  RemoveActiveJob(board, job);
  job.answer.outcome = not_run ? Outcome::kNotRun : outcome;
  job.answer.reason = reason;
  job.answer.detail = detail;
  if (not_run && reason != Reason::kCancelled) {
    job.answer.retry_after = kRetryPause;
  }
  CheckInvariant(&board->invariant_counts, "answer_never_partial",
                 job.answer.results.empty(), job.history);
  AddHistoryLine(&job, now,
                 "Ended as " + std::string(Name(job.answer.outcome)) +
                     ", reason " + std::string(Name(reason)) + ".");
  AnswerWaiters(board, now, &job);
  if (not_run) {
    RemoveNotRunJob(board, key, reason);
    return;
  }
  CompactEndedJob(board, &job);
  board->kept_answers.emplace_back(now + board->policy.answer_memory, key);
}

void CompleteJob(AgentBoard* board, core::Time now, const core::JobKey& key) {
  HomeJob& job = board->jobs.at(key);
  CheckInvariant(&board->invariant_counts, "answer_once",
                 job.answer.outcome == Outcome::kRunning, job.history);
  const bool all_ended = std::all_of(
      job.tasks.begin(), job.tasks.end(),
      [](const HomeTask& task) { return task.state == TaskState::kEnded; });
  CheckInvariant(&board->invariant_counts, "complete_means_whole", all_ended,
                 job.history);
  DropPayloads(board, &job);
  job.answer.outcome = Outcome::kComplete;
  job.answer.results.reserve(job.tasks.size());
  for (HomeTask& task : job.tasks) {
    job.answer.results.push_back(std::move(task.result));
    task.result.clear();
  }
  RemoveActiveJob(board, job);
  AddHistoryLine(&job, now, "Ended as complete.");
  AnswerWaiters(board, now, &job);
  CompactEndedJob(board, &job);
  board->kept_answers.emplace_back(now + board->policy.answer_memory, key);
}

void ExpireKeptAnswers(AgentBoard* board, core::Time now) {
  while (!board->kept_answers.empty()) {
    const auto& [until, key] = board->kept_answers.front();
    // Above the memory limit the oldest answers are dropped early; their keys
    // stay known by tombstones.
    const bool over_limit = board->bytes_held > board->policy.max_home_bytes;
    if (until > now && !over_limit) break;
    const auto job = board->jobs.find(key);
    if (job != board->jobs.end()) {
      ReleaseRecordBytes(board, job->second);
      const std::optional<Handle> handle = ParseHandle(key);
      const std::uint32_t epoch = handle.has_value() ? handle->epoch : 0;
      board->tombstones.emplace(key,
                                Tombstone{epoch, job->second.answer.outcome});
      board->jobs.erase(job);
    }
    board->kept_answers.pop_front();
  }
  const std::uint32_t current_epoch = CurrentHandleEpoch(*board, now);
  const std::uint32_t remembered_epochs = board->policy.handle_epochs + 1;
  if (current_epoch < remembered_epochs ||
      board->last_swept_epoch == current_epoch) {
    return;
  }
  board->last_swept_epoch = current_epoch;
  const std::uint32_t oldest = current_epoch - remembered_epochs + 1;
  for (auto it = board->tombstones.begin(); it != board->tombstones.end();) {
    const bool old = it->second.epoch < oldest;
    it = old ? board->tombstones.erase(it) : std::next(it);
  }
}

}  // namespace tarragon::dispatch
