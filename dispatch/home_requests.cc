#include <algorithm>
#include <utility>

#include "admission.h"
#include "heir.h"
#include "home.h"
#include "outbox.h"
#include "placement.h"
#include "queue.h"
#include "refusals.h"
#include "tarragon/dispatch/agent.h"
#include "tarragon/dispatch/handle.h"

namespace tarragon::dispatch {
namespace {

/// Retry delay in the refusals of a stopping home.
constexpr core::Duration kLeavingPause = std::chrono::milliseconds(100);

/// Sends an answer that is not stored with a job.
void SendAnswerWithoutJob(AgentBoard* board, const Waiter& waiter,
                          const core::JobKey& key, Outcome outcome,
                          Reason reason, const std::string& detail,
                          core::Duration retry_after) {
  JobAnswer answer;
  answer.key = key;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.detail = detail;
  answer.retry_after = retry_after;
  Post(board, waiter.entry, Answer{waiter.request, std::move(answer), 0});
}

void RefuseRequest(AgentBoard* board, const Waiter& waiter,
                   const core::JobKey& key, Reason reason,
                   const std::string& detail, core::Duration retry_after) {
  ++board->counters.refusals[std::string(Name(reason))];
  RememberRefusal(board, waiter, RefusedRequest{reason, retry_after});
  SendAnswerWithoutJob(board, waiter, key, Outcome::kNotRun, reason, detail,
                       retry_after);
}

/// Answers a request for a key of which only a tombstone is left.
void AnswerFromTombstone(AgentBoard* board, const Waiter& waiter,
                         const core::JobKey& key, const Tombstone& tombstone) {
  if (tombstone.outcome == Outcome::kNotRun) {
    SendAnswerWithoutJob(
        board, waiter, key, Outcome::kNotRun, Reason::kCancelled,
        "The key was cancelled before any task was run.", core::Duration(0));
    return;
  }
  SendAnswerWithoutJob(
      board, waiter, key, Outcome::kUnknown, Reason::kAnswerDropped,
      "The job ended as " + std::string(Name(tombstone.outcome)) +
          "; its answer is no longer kept.",
      core::Duration(0));
}

/// True if every used key of this epoch is still remembered.
bool IsEpochRemembered(const AgentBoard& board, core::Time now,
                       std::uint32_t epoch) {
  const std::uint32_t current_epoch = CurrentHandleEpoch(board, now);
  return epoch > current_epoch ||
         current_epoch - epoch <= board.policy.handle_epochs;
}

/// Answers a query or cancellation of a key that belongs to another home or is
/// too old to be remembered. Returns true if it was answered.
bool AnswerIfKeyUnknowable(AgentBoard* board, core::Time now,
                           const Waiter& waiter, const core::JobKey& key) {
  const std::optional<Handle> handle = ParseHandle(key);
  if (!handle.has_value() || handle->home != board->self) {
    SendAnswerWithoutJob(board, waiter, key, Outcome::kUnknown,
                         Reason::kHomeGone, "The key belongs to another home.",
                         core::Duration(0));
    return true;
  }
  if (IsEpochRemembered(*board, now, handle->epoch)) return false;
  SendAnswerWithoutJob(
      board, waiter, key, Outcome::kUnknown, Reason::kHandleExpired,
      "The key is too old: the home no longer remembers its job.",
      core::Duration(0));
  return true;
}

/// Answers a late copy of a request that was refused. Returns true if it was
/// one.
bool AnswerIfRefusedBefore(AgentBoard* board, const Waiter& waiter,
                           const core::JobKey& key) {
  const std::optional<RefusedRequest> refusal = FindRefusal(*board, waiter);
  if (!refusal.has_value()) return false;
  SendAnswerWithoutJob(board, waiter, key, Outcome::kNotRun, refusal->reason,
                       "This request was refused before.",
                       refusal->retry_after);
  return true;
}

/// Refuses a first submission whose handle is not of an accepted epoch. The
/// answer is "unknown" if the epoch is so old that the key may have been used
/// and forgotten. Returns true if it was answered.
bool AnswerIfEpochNotAccepted(AgentBoard* board, core::Time now,
                              const Waiter& waiter, const core::JobKey& key,
                              std::uint32_t epoch) {
  const std::uint32_t current_epoch = CurrentHandleEpoch(*board, now);
  const std::uint32_t accepted = board->policy.handle_epochs;
  if (epoch <= current_epoch && current_epoch - epoch < accepted) return false;
  if (epoch > current_epoch || current_epoch - epoch == accepted) {
    RefuseRequest(board, waiter, key, Reason::kHandleExpired,
                  "The key's handle is not valid now; get a new handle.",
                  core::Duration(0));
    return true;
  }
  SendAnswerWithoutJob(
      board, waiter, key, Outcome::kUnknown, Reason::kHandleExpired,
      "The key is too old: the home no longer remembers its job.",
      core::Duration(0));
  return true;
}

bool IsFinal(const HomeJob& job) {
  return job.answer.outcome != Outcome::kRunning;
}

/// Adds the request to those that wait for the job's end. An entry repeats a
/// request after a broken connection; the copy is answered "running" at once,
/// which confirms that it has reached the home.
void AddWaiter(AgentBoard* board, HomeJob* job, const Waiter& waiter) {
  const bool repeated = std::find(job->waiters.begin(), job->waiters.end(),
                                  waiter) != job->waiters.end();
  if (repeated) {
    SendAnswer(board, *job, waiter);
    return;
  }
  job->waiters.push_back(waiter);
}

/// Answers a submission whose key has a job or tombstone. Returns true if it
/// was answered.
bool AnswerIfKeyKnown(AgentBoard* board, const Waiter& waiter,
                      const Submit& submit) {
  const core::JobKey& key = submit.spec.key;
  const auto found = board->jobs.find(key);
  if (found != board->jobs.end()) {
    HomeJob& job = found->second;
    if (job.body_digest != submit.body_digest) {
      RefuseRequest(board, waiter, key, Reason::kKeyReused,
                    "The key was used with a different body.",
                    core::Duration(0));
    } else if (IsFinal(job)) {
      SendAnswer(board, job, waiter);
    } else {
      AddWaiter(board, &job, waiter);
    }
    return true;
  }
  const auto tombstone = board->tombstones.find(key);
  if (tombstone == board->tombstones.end()) return false;
  AnswerFromTombstone(board, waiter, key, tombstone->second);
  return true;
}

void AcceptJob(AgentBoard* board, core::Time now, const Waiter& waiter,
               Submit submit) {
  const core::JobKey key = submit.spec.key;
  CheckInvariant(&board->invariant_counts, "take_in_while_staying",
                 !board->stopping, {});
  HomeJob job;
  job.spec = std::move(submit.spec);
  job.body_digest = submit.body_digest;
  job.arrived_at = now;
  job.deadline = now + job.spec.time_left;
  job.answer.key = key;
  job.arrival_number = board->next_job_number++;
  job.waiters.push_back(waiter);
  job.tasks.reserve(job.spec.tasks.size());
  for (TaskSpec& spec : job.spec.tasks) {
    HomeTask task;
    board->bytes_held += spec.payload.size();
    task.spec = std::move(spec);
    job.tasks.push_back(std::move(task));
  }
  job.spec.tasks = std::vector<TaskSpec>();
  AddHistoryLine(&job, now,
                 "Accepted " + std::to_string(job.tasks.size()) +
                     " tasks of service " + job.spec.service.value() +
                     " for tenant " + job.spec.tenant.value() + ".");
  HomeJob& kept = board->jobs.emplace(key, std::move(job)).first->second;
  AddActiveJob(board, &kept);
  for (std::uint32_t i = 0; i < kept.tasks.size(); ++i) {
    EnqueueTask(board, kept, core::TaskIndex(i));
  }
  PlaceWaitingTasks(board, now);
}

}  // namespace

void HandleSubmit(AgentBoard* board, core::Time now, const core::NodeId& entry,
                  Submit submit) {
  if (AnswerIfInherited(board, now, entry, submit)) return;
  const Waiter waiter{entry, submit.request};
  const core::JobKey key = submit.spec.key;
  const std::optional<Handle> handle = ParseHandle(key);
  if (!handle.has_value() || handle->home != board->self) {
    SendAnswerWithoutJob(board, waiter, key, Outcome::kUnknown,
                         Reason::kHomeGone, "The key belongs to another home.",
                         core::Duration(0));
    return;
  }
  if (AnswerIfKeyKnown(board, waiter, submit)) return;
  if (AnswerIfRefusedBefore(board, waiter, key)) return;
  if (AnswerIfEpochNotAccepted(board, now, waiter, key, handle->epoch)) return;
  if (board->stopping) {
    RefuseRequest(board, waiter, key, Reason::kLeaving,
                  "The home is stopping; get a new handle.", kLeavingPause);
    return;
  }
  const std::optional<Refusal> refusal =
      CheckAdmission(*board, now, submit.spec);
  if (refusal.has_value()) {
    RefuseRequest(board, waiter, key, refusal->reason, refusal->detail,
                  refusal->retry_after);
    return;
  }
  AcceptJob(board, now, waiter, std::move(submit));
}

void HandleQuery(AgentBoard* board, core::Time now, const core::NodeId& entry,
                 const Query& query) {
  if (AnswerIfInherited(board, now, entry, query)) return;
  const Waiter waiter{entry, query.request};
  const auto found = board->jobs.find(query.key);
  if (found != board->jobs.end()) {
    if (IsFinal(found->second)) {
      SendAnswer(board, found->second, waiter);
    } else {
      AddWaiter(board, &found->second, waiter);
    }
    return;
  }
  const auto tombstone = board->tombstones.find(query.key);
  if (tombstone != board->tombstones.end()) {
    AnswerFromTombstone(board, waiter, query.key, tombstone->second);
    return;
  }
  if (AnswerIfKeyUnknowable(board, now, waiter, query.key)) return;
  SendAnswerWithoutJob(board, waiter, query.key, Outcome::kNotRun,
                       Reason::kNone, kUnknownKeyDetail, core::Duration(0));
}

void HandleCancel(AgentBoard* board, core::Time now, const core::NodeId& entry,
                  const Cancel& cancel) {
  if (AnswerIfInherited(board, now, entry, cancel)) return;
  const Waiter waiter{entry, cancel.request};
  const auto found = board->jobs.find(cancel.key);
  if (found != board->jobs.end()) {
    if (!IsFinal(found->second)) {
      found->second.waiters.push_back(waiter);
      EndJob(board, now, cancel.key, Outcome::kFailed, Reason::kCancelled,
             "The client cancelled the job.");
    } else {
      SendAnswer(board, found->second, waiter);
    }
    return;
  }
  const auto known = board->tombstones.find(cancel.key);
  if (known != board->tombstones.end()) {
    AnswerFromTombstone(board, waiter, cancel.key, known->second);
    return;
  }
  if (AnswerIfKeyUnknowable(board, now, waiter, cancel.key)) return;
  // The tombstone prevents a submission that arrives after its cancellation
  // from running.
  const Tombstone cancelled{ParseHandle(cancel.key)->epoch, Outcome::kNotRun};
  board->tombstones.emplace(cancel.key, cancelled);
  AnswerFromTombstone(board, waiter, cancel.key, cancelled);
}

void HandleExplain(AgentBoard* board, core::Time now, const core::NodeId& entry,
                   const Explain& explain) {
  (void)now;
  if (AnswerIfInherited(board, entry, explain)) return;
  Explanation explanation;
  explanation.request = explain.request;
  const auto found = board->jobs.find(explain.key);
  if (found != board->jobs.end()) {
    explanation.lines = HistoryLines(found->second);
  } else if (board->tombstones.count(explain.key) > 0) {
    explanation.lines = {"Ended; the history is no longer kept."};
  } else {
    explanation.history = KeyHistory::kUnknownKey;
    explanation.lines = {kUnknownKeyDetail};
  }
  Post(board, entry, std::move(explanation));
}

bool AnswerPull(AgentBoard* board, core::Time now, const core::NodeId& executor,
                std::uint64_t number, const core::ServiceId& service) {
  const auto peer = board->peers.find(executor);
  std::optional<QueuedTask> next;
  if (peer != board->peers.end()) {
    next = FindNextForExecutor(*board, peer->second.status);
  }
  if (!next.has_value()) {
    board->service_queues[service].notified_executors.erase(executor);
    return false;
  }
  ServiceQueue& queue = board->service_queues[next->service];
  PullTask task;
  task.number = number;
  task.assign = PlaceTask(board, now, next->key, next->task, executor);
  task.waiting = queue.size;
  task.oldest_wait = OldestWaitTime(*board, now, next->service);
  if (queue.size == 0) queue.notified_executors.erase(executor);
  Post(board, executor, std::move(task));
  RetractWants(board, next->service);
  return true;
}

void HandlePull(AgentBoard* board, core::Time now, const core::NodeId& executor,
                const Pull& pull) {
  UpdatePeerLoad(board, now, executor, pull.load);
  if (!AnswerPull(board, now, executor, pull.number, pull.service)) {
    Post(board, executor, PullEmpty{pull.number, pull.service});
  }
  // The load may show more free slots than the reserved one.
  PlaceWaitingTasks(board, now);
}

}  // namespace tarragon::dispatch
