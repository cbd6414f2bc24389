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

/// Pause after a refusal by a home that is being stopped.
constexpr core::Duration kLeavingPause = std::chrono::milliseconds(100);

/// Answers one request without a record of its own.
void AnswerDirectly(AgentBoard* board, const Waiter& waiter,
                    const core::JobKey& key, Outcome outcome, Reason reason,
                    const std::string& detail, core::Duration retry_after) {
  JobAnswer answer;
  answer.key = key;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.detail = detail;
  answer.retry_after = retry_after;
  Post(board, waiter.entry, Answer{waiter.request, std::move(answer), 0});
}

void RefuseDirectly(AgentBoard* board, const Waiter& waiter,
                    const core::JobKey& key, Reason reason,
                    const std::string& detail, core::Duration retry_after) {
  ++board->counters.refusals[std::string(Name(reason))];
  RememberRefusal(board, waiter, RefusedRequest{reason, retry_after});
  AnswerDirectly(board, waiter, key, Outcome::kNotRun, reason, detail,
                 retry_after);
}

/// Answers from what is remembered of a key whose record is gone.
void AnswerFromTombstone(AgentBoard* board, const Waiter& waiter,
                         const core::JobKey& key, const Tombstone& tombstone) {
  if (tombstone.outcome == Outcome::kNotRun) {
    AnswerDirectly(board, waiter, key, Outcome::kNotRun, Reason::kCancelled,
                   "The key was cancelled before any task was run.",
                   core::Duration(0));
    return;
  }
  AnswerDirectly(board, waiter, key, Outcome::kUnknown, Reason::kAnswerDropped,
                 "The job ended as " + std::string(Name(tombstone.outcome)) +
                     "; its answer is no longer kept.",
                 core::Duration(0));
}

/// True while every key of this epoch that was used is still remembered.
bool RemembersEpoch(const AgentBoard& board, core::Time now,
                    std::uint32_t epoch) {
  const std::uint32_t present = HandleEpoch(board, now);
  return epoch > present || present - epoch <= board.policy.handle_epochs;
}

/// Answers a query or cancellation of a key about which nothing can be known
/// here. True when it was answered.
bool AnswerForeignKey(AgentBoard* board, core::Time now, const Waiter& waiter,
                      const core::JobKey& key) {
  const std::optional<Handle> handle = ParseHandle(key);
  if (!handle.has_value() || handle->home != board->self) {
    AnswerDirectly(board, waiter, key, Outcome::kUnknown, Reason::kHomeGone,
                   "The key names another process.", core::Duration(0));
    return true;
  }
  if (RemembersEpoch(*board, now, handle->epoch)) return false;
  AnswerDirectly(board, waiter, key, Outcome::kUnknown, Reason::kHandleExpired,
                 "The key is older than the home's memory.", core::Duration(0));
  return true;
}

/// Answers a late copy of a request that was refused. True when it was one.
bool AnswerRefusedAgain(AgentBoard* board, const Waiter& waiter,
                        const core::JobKey& key) {
  const std::optional<RefusedRequest> refusal = FindRefusal(*board, waiter);
  if (!refusal.has_value()) return false;
  AnswerDirectly(board, waiter, key, Outcome::kNotRun, refusal->reason,
                 "This request was refused before.", refusal->retry_after);
  return true;
}

/// Refuses a first submission whose handle is not of an accepted epoch. True
/// when it was answered.
bool AnswerWrongEpoch(AgentBoard* board, core::Time now, const Waiter& waiter,
                      const core::JobKey& key, std::uint32_t epoch) {
  const std::uint32_t present = HandleEpoch(*board, now);
  const std::uint32_t accepted = board->policy.handle_epochs;
  if (epoch <= present && present - epoch < accepted) return false;
  if (epoch > present || present - epoch == accepted) {
    RefuseDirectly(board, waiter, key, Reason::kHandleExpired,
                   "Take a fresh handle.", core::Duration(0));
    return true;
  }
  AnswerDirectly(board, waiter, key, Outcome::kUnknown, Reason::kHandleExpired,
                 "The key is older than the home's memory.", core::Duration(0));
  return true;
}

bool IsFinal(const HomeJob& job) {
  return job.answer.outcome != Outcome::kRunning;
}

/// Lets the request wait for the job's end. An entry repeats a request after a
/// broken connection and learns here that it has reached the home again.
void AwaitEnd(AgentBoard* board, HomeJob* job, const Waiter& waiter) {
  const bool repeated = std::find(job->waiters.begin(), job->waiters.end(),
                                  waiter) != job->waiters.end();
  if (repeated) {
    SendAnswer(board, *job, waiter);
    return;
  }
  job->waiters.push_back(waiter);
}

/// Answers a submission whose key has a record. True when it had.
bool AnswerKnownKey(AgentBoard* board, const Waiter& waiter,
                    const Submit& submit) {
  const core::JobKey& key = submit.spec.key;
  const auto found = board->jobs.find(key);
  if (found != board->jobs.end()) {
    HomeJob& job = found->second;
    if (job.body_digest != submit.body_digest) {
      RefuseDirectly(board, waiter, key, Reason::kKeyReused,
                     "The key was used with a different body.",
                     core::Duration(0));
    } else if (IsFinal(job)) {
      SendAnswer(board, job, waiter);
    } else {
      AwaitEnd(board, &job, waiter);
    }
    return true;
  }
  const auto tombstone = board->tombstones.find(key);
  if (tombstone == board->tombstones.end()) return false;
  AnswerFromTombstone(board, waiter, key, tombstone->second);
  return true;
}

void TakeIn(AgentBoard* board, core::Time now, const Waiter& waiter,
            Submit submit) {
  const core::JobKey key = submit.spec.key;
  CheckInvariant(&board->invariants, "take_in_while_staying", !board->stopping,
                 {});
  HomeJob job;
  job.spec = std::move(submit.spec);
  job.body_digest = submit.body_digest;
  job.arrived = now;
  job.deadline = now + job.spec.time_left;
  job.answer.key = key;
  job.number = board->next_job_number++;
  job.waiters.push_back(waiter);
  job.tasks.reserve(job.spec.tasks.size());
  for (TaskSpec& spec : job.spec.tasks) {
    HomeTask task;
    board->bytes_held += spec.payload.size();
    task.spec = std::move(spec);
    job.tasks.push_back(std::move(task));
  }
  job.spec.tasks = std::vector<TaskSpec>();
  Record(&job, now,
         "Took in " + std::to_string(job.tasks.size()) + " tasks of service " +
             job.spec.service.value() + " for tenant " +
             job.spec.tenant.value() + ".");
  HomeJob& kept = board->jobs.emplace(key, std::move(job)).first->second;
  Activate(board, &kept);
  for (std::uint32_t i = 0; i < kept.tasks.size(); ++i) {
    Enqueue(board, kept, core::TaskIndex(i));
  }
  PlaceAll(board, now);
}

}  // namespace

void HandleSubmit(AgentBoard* board, core::Time now, const core::NodeId& entry,
                  Submit submit) {
  if (AnswerInherited(board, now, entry, submit)) return;
  const Waiter waiter{entry, submit.request};
  const core::JobKey key = submit.spec.key;
  const std::optional<Handle> handle = ParseHandle(key);
  if (!handle.has_value() || handle->home != board->self) {
    AnswerDirectly(board, waiter, key, Outcome::kUnknown, Reason::kHomeGone,
                   "The key names another process.", core::Duration(0));
    return;
  }
  if (AnswerKnownKey(board, waiter, submit)) return;
  if (AnswerRefusedAgain(board, waiter, key)) return;
  if (AnswerWrongEpoch(board, now, waiter, key, handle->epoch)) return;
  if (board->stopping) {
    RefuseDirectly(board, waiter, key, Reason::kLeaving,
                   "The home is being stopped; take a fresh handle.",
                   kLeavingPause);
    return;
  }
  const std::optional<Refusal> refusal = Admit(*board, now, submit.spec);
  if (refusal.has_value()) {
    RefuseDirectly(board, waiter, key, refusal->reason, refusal->detail,
                   refusal->retry_after);
    return;
  }
  TakeIn(board, now, waiter, std::move(submit));
}

void HandleQuery(AgentBoard* board, core::Time now, const core::NodeId& entry,
                 const Query& query) {
  if (AnswerInherited(board, now, entry, query)) return;
  const Waiter waiter{entry, query.request};
  const auto found = board->jobs.find(query.key);
  if (found != board->jobs.end()) {
    if (IsFinal(found->second)) {
      SendAnswer(board, found->second, waiter);
    } else {
      AwaitEnd(board, &found->second, waiter);
    }
    return;
  }
  const auto tombstone = board->tombstones.find(query.key);
  if (tombstone != board->tombstones.end()) {
    AnswerFromTombstone(board, waiter, query.key, tombstone->second);
    return;
  }
  if (AnswerForeignKey(board, now, waiter, query.key)) return;
  AnswerDirectly(board, waiter, query.key, Outcome::kNotRun, Reason::kNone,
                 "No job is known under this key.", core::Duration(0));
}

void HandleCancel(AgentBoard* board, core::Time now, const core::NodeId& entry,
                  const Cancel& cancel) {
  if (AnswerInherited(board, now, entry, cancel)) return;
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
  if (AnswerForeignKey(board, now, waiter, cancel.key)) return;
  // A submission that arrives after its cancellation must not run.
  const Tombstone cancelled{ParseHandle(cancel.key)->epoch, Outcome::kNotRun};
  board->tombstones.emplace(cancel.key, cancelled);
  AnswerFromTombstone(board, waiter, cancel.key, cancelled);
}

void HandleExplain(AgentBoard* board, core::Time now, const core::NodeId& entry,
                   const Explain& explain) {
  (void)now;
  if (AnswerInherited(board, entry, explain)) return;
  Explanation explanation;
  explanation.request = explain.request;
  const auto found = board->jobs.find(explain.key);
  if (found != board->jobs.end()) {
    explanation.lines = History(found->second);
  } else if (board->tombstones.count(explain.key) > 0) {
    explanation.lines = {"Ended; the history is no longer kept."};
  } else {
    explanation.lines = {"No job is known under this key."};
  }
  Post(board, entry, std::move(explanation));
}

bool AnswerPull(AgentBoard* board, core::Time now, const core::NodeId& executor,
                std::uint64_t number, const core::ServiceId& service) {
  const auto peer = board->peers.find(executor);
  std::optional<QueuedTask> next;
  if (peer != board->peers.end()) {
    next = NextForExecutor(*board, peer->second.status);
  }
  if (!next.has_value()) {
    board->queues[service].told.erase(executor);
    return false;
  }
  ServiceQueue& queue = board->queues[next->service];
  PullTask task;
  task.number = number;
  task.assign = TakeForExecutor(board, now, next->key, next->task, executor);
  task.waiting = queue.size;
  task.oldest_wait = OldestWait(*board, now, next->service);
  if (queue.size == 0) queue.told.erase(executor);
  Post(board, executor, std::move(task));
  RetractWants(board, next->service);
  return true;
}

void HandlePull(AgentBoard* board, core::Time now, const core::NodeId& executor,
                const Pull& pull) {
  LearnLoad(board, now, executor, pull.load);
  if (!AnswerPull(board, now, executor, pull.number, pull.service)) {
    Post(board, executor, PullEmpty{pull.number, pull.service});
  }
  // The load may show more free slots than the one that is kept.
  PlaceAll(board, now);
}

}  // namespace tarragon::dispatch
