#include <algorithm>
#include <utility>

#include "admission.h"
#include "home.h"
#include "outbox.h"
#include "placement.h"
#include "queue.h"
#include "refusals.h"
#include "tarragon/dispatch/digest.h"

namespace tarragon::dispatch {
namespace {

constexpr double kMeanWeight = 0.1;
/// The usual run time starts as the longest of the first `kInitialRuns` run
/// times. After that it rises by the factor kUsualRise with each longer run and
/// falls by kUsualFall with each other one. The two balance when one run in ten
/// is longer: an estimate of the 90th percentile.
constexpr std::uint64_t kInitialRuns = 20;
constexpr std::size_t kMaxRecentEnds = 20;
constexpr double kUsualRise = 0.09;
constexpr double kUsualFall = 0.01;
/// Each measured run lets the shortest run time rise by at most 1/20.
constexpr int kShortestRunRiseDivisor = 20;
/// No task is placed for this long at an executor that is leaving, out of
/// service or cut off, or whose connection broke.
constexpr core::Duration kAvoidPause = std::chrono::milliseconds(500);
/// Delay of the seals that find out what became of the tasks at an executor
/// whose connection broke.
constexpr core::Duration kLostConnectionSealDelay =
    std::chrono::milliseconds(50);

/// The placed task that `ref` of `executor` refers to, or null if the message
/// is outdated, a duplicate or not about an active job.
HomeTask* FindPlaced(AgentBoard* board, const TaskRef& ref,
                     const core::NodeId& executor) {
  if (board->active_jobs.count(ref.key) == 0) return nullptr;
  HomeJob& job = board->jobs.at(ref.key);
  if (ref.task.value() >= job.tasks.size()) return nullptr;
  HomeTask& task = job.tasks[ref.task.value()];
  if (task.state != TaskState::kAssigned) return nullptr;
  if (task.attempt != ref.attempt || task.executor != executor) return nullptr;
  return &task;
}

void RecordExecutorReply(HomeTask* task) {
  task->seals_unanswered_since.reset();
}

void UpdateUsualRunTime(ServiceQueue* queue, core::Time now,
                        const core::NodeId& executor, core::Duration run_time) {
  ++queue->measured_runs;
  queue->recent_ends.emplace_back(now, executor);
  if (queue->recent_ends.size() > kMaxRecentEnds) {
    queue->recent_ends.pop_front();
  }
  if (queue->measured_runs <= kInitialRuns) {
    queue->usual_run = std::max(queue->usual_run, run_time);
    return;
  }
  const double change =
      run_time > queue->usual_run ? 1 + kUsualRise : 1 - kUsualFall;
  const double usual = static_cast<double>(queue->usual_run.count());
  queue->usual_run = core::Duration(static_cast<std::int64_t>(usual * change));
}

void UpdateRunTimes(AgentBoard* board, core::Time now,
                    const core::ServiceId& service,
                    const core::NodeId& executor, core::Duration run_time) {
  ServiceQueue& queue = board->service_queues[service];
  queue.last_measured_at = now;
  UpdateUsualRunTime(&queue, now, executor, run_time);
  queue.shortest_run =
      queue.shortest_run.count() == 0
          ? run_time
          : std::min(run_time,
                     queue.shortest_run +
                         queue.shortest_run / kShortestRunRiseDivisor);
  core::Duration& mean = queue.mean_run;
  if (mean.count() == 0) {
    mean = run_time;
    return;
  }
  const double old_mean = static_cast<double>(mean.count());
  const double run = static_cast<double>(run_time.count());
  mean = core::Duration(
      static_cast<std::int64_t>(old_mean + kMeanWeight * (run - old_mean)));
}

void AddTaskSample(AgentBoard* board, const HomeTask& task, HomeJob* job,
                   core::Duration run_time) {
  job->longest_run_time = std::max(job->longest_run_time, run_time);
  if (board->task_samples.size() >= kMaxSamples) return;
  board->task_samples.push_back(TaskSample{job->spec.tenant, job->spec.service,
                                           task.placed_at - job->arrived_at,
                                           run_time});
}

core::Duration MakeJitteredPause(AgentBoard* board) {
  std::uniform_int_distribution<std::int64_t> pause(
      0, 2 * board->policy.retry_pause.count());
  return core::Duration(pause(board->random));
}

/// True if the reason for a refusal applies to all tasks at that executor.
bool IsExecutorUnavailable(Reason reason) {
  return reason == Reason::kDomainOut || reason == Reason::kLeaving ||
         reason == Reason::kStaleView || reason == Reason::kTargetGone;
}

void SealTask(AgentBoard* board, core::Time now, const core::JobKey& key,
              core::TaskIndex index, HomeTask* task) {
  if (!task->seals_unanswered_since.has_value()) {
    task->seals_unanswered_since = now;
  }
  task->next_seal_at = now + board->policy.seal_interval;
  ++board->counters.seals;
  // This seal must not stop a running task. If the task has not started, the
  // answer proves "not run".
  Post(board, task->executor, Seal{TaskRef{key, index, task->attempt}, false});
}

/// Seals the tasks of one job whose seal is due. Returns false if the job was
/// ended because an executor has not answered its seals.
bool SealOverdueTasks(AgentBoard* board, core::Time now,
                      const core::JobKey& key) {
  HomeJob& job = board->jobs.at(key);
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    HomeTask& task = job.tasks[i];
    if (task.state != TaskState::kAssigned || task.next_seal_at > now) continue;
    const bool gone =
        task.seals_unanswered_since.has_value() &&
        now - *task.seals_unanswered_since >= board->policy.gone_after;
    if (gone) {
      EndJob(board, now, key, Outcome::kUnknown, Reason::kExecutorGone,
             "An executor does not answer; a task may have run.");
      return false;
    }
    SealTask(board, now, key, core::TaskIndex(i), &task);
  }
  return true;
}

/// Records the end of a task in its job, and ends the job if it has failed or
/// is complete.
void ApplyTaskEnd(AgentBoard* board, core::Time now,
                  const core::NodeId& executor, Finished finished) {
  HomeTask* task = FindPlaced(board, finished.ref, executor);
  if (task == nullptr) {
    ++board->counters.duplicates;
    return;
  }
  HomeJob& job = board->jobs.at(finished.ref.key);
  const core::ServiceId service = job.spec.service;
  AddHistoryLine(
      &job, now,
      "Task " + std::to_string(finished.ref.task.value()) +
          (finished.ok ? " succeeded at " : " ended at ") +
          core::ToString(executor) +
          (finished.ok
               ? "."
               : ", reason " + std::string(Name(finished.reason)) + "."));
  if (finished.ok && Digest(finished.result) != finished.result_digest) {
    finished.ok = false;
    finished.reason = Reason::kTruncated;
  }
  if (!finished.ok) {
    // The task has ended, so EndJob must not stop it at its executor.
    task->state = TaskState::kEnded;
    --board->running_tasks_by_tenant[job.spec.tenant];
    const bool known = finished.reason == Reason::kTaskFailed;
    EndJob(board, now, finished.ref.key,
           known ? Outcome::kFailed : Outcome::kUnknown, finished.reason,
           "Task " + std::to_string(finished.ref.task.value()) +
               (known ? " failed." : " returned no complete answer."));
    return;
  }
  UpdateRunTimes(board, now, service, executor, finished.run_time);
  AddTaskSample(board, *task, &job, finished.run_time);
  task->state = TaskState::kEnded;
  task->result = std::move(finished.result);
  board->bytes_held += task->result.size();
  --board->running_tasks_by_tenant[job.spec.tenant];
  ++job.ended_tasks;
  if (job.ended_tasks == job.tasks.size()) {
    CompleteJob(board, now, finished.ref.key);
  }
}

}  // namespace

void HandleRefused(AgentBoard* board, core::Time now,
                   const core::NodeId& executor, const Refused& refused) {
  UpdatePeerLoad(board, now, executor, refused.load);
  if (IsExecutorUnavailable(refused.reason)) {
    const auto peer = board->peers.find(executor);
    if (peer != board->peers.end()) {
      peer->second.avoid_until = now + kAvoidPause;
    }
  }
  HomeTask* task = FindPlaced(board, refused.ref, executor);
  if (task == nullptr) return;
  HomeJob& job = board->jobs.at(refused.ref.key);
  AddHistoryLine(&job, now,
                 "Task " + std::to_string(refused.ref.task.value()) +
                     " was refused by " + core::ToString(executor) +
                     ", reason " + std::string(Name(refused.reason)) + ".");
  --board->running_tasks_by_tenant[job.spec.tenant];
  task->state = TaskState::kQueued;
  task->seals_unanswered_since.reset();
  task->not_before = now + MakeJitteredPause(board);
  EnqueueTask(board, job, refused.ref.task);
  if (task->placements >= board->policy.max_attempts) {
    EndJob(board, now, refused.ref.key, Outcome::kFailed, refused.reason,
           "A task was refused at its last allowed placement.");
    return;
  }
  PlaceWaitingTasks(board, now);
}

void HandleStarted(AgentBoard* board, core::Time now,
                   const core::NodeId& executor, const Started& started) {
  UpdatePeerLoad(board, now, executor, started.load);
  HomeTask* task = FindPlaced(board, started.ref, executor);
  if (task == nullptr) return;
  RecordExecutorReply(task);
  task->next_seal_at = now + board->policy.seal_after;
  ScheduleNoLaterThan(board, &board->jobs.at(started.ref.key),
                      task->next_seal_at);
}

void HandleFinished(AgentBoard* board, core::Time now,
                    const core::NodeId& executor, Finished finished) {
  UpdatePeerLoad(board, now, executor, finished.load);
  const std::uint64_t pull = finished.pull;
  const core::ServiceId pull_service = finished.pull_service;
  FinishedAck ack{finished.ref, 0};
  ApplyTaskEnd(board, now, executor, std::move(finished));
  const bool pulled =
      pull != 0 && AnswerPull(board, now, executor, pull, pull_service);
  if (!pulled) ack.pull = pull;
  Post(board, executor, std::move(ack));
  // The reported load may show a free slot.
  PlaceWaitingTasks(board, now);
}

void TickHome(AgentBoard* board, core::Time now) {
  for (const core::JobKey& key : FindDueJobs(*board, now)) {
    HomeJob& job = board->jobs.at(key);
    if (job.deadline <= now) {
      EndJob(board, now, key, Outcome::kFailed, Reason::kDeadline,
             "The deadline passed.");
    } else if (SealOverdueTasks(board, now, key)) {
      RescheduleJob(board, &job);
    }
  }
  if (now >= board->next_want_refresh_at) {
    board->next_want_refresh_at = now + board->policy.want_refresh;
    for (auto& [service, queue] : board->service_queues) {
      queue.notified_executors.clear();
    }
  }
  PlaceWaitingTasks(board, now);
  ExpireKeptAnswers(board, now);
}

void HandlePeerLostForHome(AgentBoard* board, core::Time now,
                           const core::NodeId& peer) {
  const auto known = board->peers.find(peer);
  if (known != board->peers.end()) {
    known->second.avoid_until = now + kAvoidPause;
    known->second.assigns_sent = known->second.status.load.assigns_seen;
  }
  for (auto& [service, queue] : board->service_queues) {
    queue.notified_executors.erase(peer);
  }
  for (const core::JobKey& key : board->active_jobs) {
    HomeJob& job = board->jobs.at(key);
    for (HomeTask& task : job.tasks) {
      if (task.state != TaskState::kAssigned || task.executor != peer) continue;
      if (!task.seals_unanswered_since.has_value()) {
        task.seals_unanswered_since = now;
      }
      task.next_seal_at =
          std::min(task.next_seal_at, now + kLostConnectionSealDelay);
      ScheduleNoLaterThan(board, &job, task.next_seal_at);
    }
  }
}

void HandlePeerGoneForHome(AgentBoard* board, core::Time now,
                           const core::NodeId& peer) {
  for (auto& [service, queue] : board->service_queues) {
    queue.notified_executors.erase(peer);
  }
  const std::vector<core::JobKey> keys(board->active_jobs.begin(),
                                       board->active_jobs.end());
  for (const core::JobKey& key : keys) {
    const HomeJob& job = board->jobs.at(key);
    const bool placed_there = std::any_of(
        job.tasks.begin(), job.tasks.end(), [&peer](const HomeTask& task) {
          return task.state == TaskState::kAssigned && task.executor == peer;
        });
    if (!placed_there) continue;
    EndJob(board, now, key, Outcome::kUnknown, Reason::kExecutorGone,
           "An executor is gone; a task may have run.");
  }
  board->peers.erase(peer);
  RefuseRequestsOfGoneEntry(board, peer);
}

}  // namespace tarragon::dispatch
