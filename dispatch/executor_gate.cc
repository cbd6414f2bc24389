#include <algorithm>
#include <utility>

#include "ejection.h"
#include "executor.h"
#include "executor_queue.h"
#include "outbox.h"
#include "tarragon/dispatch/digest.h"

namespace tarragon::dispatch {
namespace {

bool TargetOffersService(const Target& target, const core::ServiceId& service) {
  return std::find(target.services.begin(), target.services.end(), service) !=
         target.services.end();
}

bool IsOwnDomainInService(const AgentBoard& board) {
  const auto domain = board.world.domains.find(board.domain);
  return domain != board.world.domains.end() && domain->second.in_service;
}

/// Sets the record's next due time, also in `executions_by_due_time`.
void SetDueTime(AgentBoard* board, const TaskKey& key, Execution* execution,
                core::Time due) {
  board->executions_by_due_time.erase({execution->due_at, key});
  execution->due_at = due;
  if (due != core::kNever) board->executions_by_due_time.insert({due, key});
}

/// Records that no attempt up to this one has started or ever will: a tombstone
/// for the task.
void SealAttempts(AgentBoard* board, core::Time now, const TaskRef& ref,
                  const core::NodeId& home) {
  const TaskKey key{ref.key, ref.task};
  Execution& execution = board->executions[key];
  execution.state = ExecutionState::kSealed;
  execution.attempt = std::max(execution.attempt, ref.attempt);
  execution.home = home;
  execution.waiting_assign.reset();
  SetDueTime(board, key, &execution, now + board->policy.tombstone_retention);
}

/// Which check refused a task, and so proves that it has not started.
enum class RefusedBy : std::uint8_t {
  kGate,    // It was never passed to the target.
  kTarget,  // It was passed to the target, which rejected it.
};

/// Checks that the record of a refused task agrees that it was not run.
void AssertNotStarted(AgentBoard* board, const TaskRef& ref, RefusedBy proof) {
  const auto found = board->executions.find(TaskKey{ref.key, ref.task});
  bool not_started = true;
  if (found != board->executions.end()) {
    const ExecutionState state = found->second.state;
    not_started =
        state == ExecutionState::kSealed || state == ExecutionState::kWaiting ||
        (state == ExecutionState::kRunning && proof == RefusedBy::kTarget &&
         found->second.attempt == ref.attempt);
  }
  CheckInvariant(
      &board->invariant_counts, "not_run_means_not_started", not_started,
      {"key=" + ref.key.value() + " task=" + std::to_string(ref.task.value()) +
       " executor=" + core::ToString(board->self)});
}

void RefuseTask(AgentBoard* board, core::Time now, const TaskRef& ref,
                const core::NodeId& home, Reason reason,
                RefusedBy proof = RefusedBy::kGate) {
  AssertNotStarted(board, ref, proof);
  SealAttempts(board, now, ref, home);
  if (home != board->self) ++board->counters.refused_assigns;
  ++board->counters.refusals[std::string(Name(reason))];
  Post(board, home,
       Refused{ref, reason, core::Duration(0),
               MakeLoadReport(board, now, home)});
}

/// Checks the conditions of a start once more, immediately before it.
void AssertStartAllowed(AgentBoard* board, core::Time now, const TaskKey& key) {
  const auto found = board->executions.find(key);
  const bool fresh_record = found == board->executions.end() ||
                            found->second.state == ExecutionState::kSealed ||
                            found->second.state == ExecutionState::kWaiting;
  const std::vector<std::string> history = {
      "key=" + key.key.value() + " task=" + std::to_string(key.task.value()) +
      " executor=" + core::ToString(board->self)};
  CheckInvariant(&board->invariant_counts, "start_once", fresh_record, history);
  CheckInvariant(&board->invariant_counts, "start_under_permit",
                 now < board->permit_until, history);
  CheckInvariant(&board->invariant_counts, "start_in_service",
                 IsOwnDomainInService(*board), history);
  CheckInvariant(&board->invariant_counts, "start_while_staying",
                 !board->stopping && !board->target.leaving, history);
  CheckInvariant(&board->invariant_counts, "start_in_slot",
                 board->running_tasks < board->target.slots, history);
}

void StartTask(AgentBoard* board, core::Time now, const core::NodeId& home,
               Assign assign) {
  const TaskKey key{assign.ref.key, assign.ref.task};
  AssertStartAllowed(board, now, key);
  Execution& execution = board->executions[key];
  SetDueTime(board, key, &execution,
             ComputeLateTime(*board, now, assign.usual_run));
  execution.state = ExecutionState::kRunning;
  execution.attempt = assign.ref.attempt;
  execution.home = home;
  execution.service = assign.service;
  execution.tenant = assign.tenant;
  execution.started_at = now;
  execution.stop_requested = false;
  execution.waiting_assign.reset();
  ++board->running_tasks;
  ++board->counters.starts;
  RecordTaskStart(board, now, key);
  board->actions.emplace_back(RunTask{assign.ref, assign.service,
                                      std::move(assign.spec.payload),
                                      assign.time_left});
}

/// Adds the task to the executor's own queue, which is used without late
/// binding.
void EnqueueAssign(AgentBoard* board, core::Time now, const core::NodeId& home,
                   Assign assign) {
  const TaskKey key{assign.ref.key, assign.ref.task};
  Execution& execution = board->executions[key];
  SetDueTime(board, key, &execution, core::kNever);
  execution.state = ExecutionState::kWaiting;
  execution.attempt = assign.ref.attempt;
  execution.home = home;
  execution.started_at = now;
  execution.waiting_assign = std::move(assign);
  board->waiting_tasks.push_back(key);
}

/// Answers an assignment whose task has a record that forbids another start.
/// Returns true if the assignment needs no further handling.
bool AnswerIfTaskKnown(AgentBoard* board, core::Time now,
                       const core::NodeId& home, const TaskRef& ref) {
  const auto found = board->executions.find(TaskKey{ref.key, ref.task});
  if (found == board->executions.end()) return false;
  const Execution& execution = found->second;
  if (execution.state == ExecutionState::kSealed) {
    if (execution.attempt < ref.attempt) return false;
    RefuseTask(board, now, ref, home, Reason::kSealed);
    return true;
  }
  ++board->counters.duplicates;
  if (execution.state == ExecutionState::kFinished &&
      execution.attempt == ref.attempt) {
    Post(board, home, execution.finished);
  }
  return true;
}

}  // namespace

std::uint32_t FreeSlots(const AgentBoard& board, core::Time now) {
  const Target& target = board.target;
  if (!target.present || target.leaving || board.stopping) return 0;
  if (now >= board.permit_until || !IsOwnDomainInService(board)) return 0;
  const std::uint32_t reserved =
      static_cast<std::uint32_t>(board.open_pulls.size());
  const std::uint32_t used =
      board.running_tasks + target.foreign_running + reserved;
  if (used >= target.slots) return 0;
  if (board.health.ejected) return IsTrialAllowed(board, now) ? 1 : 0;
  return target.slots - used;
}

Load MakeLoadReport(AgentBoard* board, core::Time now,
                    const core::NodeId& home) {
  ReportedLoad& reported = board->reported_loads[home];
  // The slots reserved for this home are free from its point of view.
  reported.free_slots =
      FreeSlots(*board, now) + CountReservedSlots(*board, home);
  reported.reported_at = now;
  return Load{reported.free_slots, board->target.slots, ++board->load_sequence,
              reported.assigns_seen};
}

Reason CheckGate(const AgentBoard& board, core::Time now,
                 const core::ServiceId& service, core::Duration time_left) {
  if (board.stopping || board.target.leaving) return Reason::kLeaving;
  if (!board.target.present || !TargetOffersService(board.target, service)) {
    return Reason::kTargetGone;
  }
  if (now >= board.permit_until) return Reason::kStaleView;
  if (!IsOwnDomainInService(board)) return Reason::kDomainOut;
  if (board.world.services.count(service) == 0) return Reason::kUnknownService;
  if (time_left.count() <= 0) return Reason::kDeadline;
  if (FreeSlots(board, now) == 0) return Reason::kNoSlot;
  return Reason::kNone;
}

void HandleAssign(AgentBoard* board, core::Time now, const core::NodeId& home,
                  Assign assign) {
  ReportedLoad& reported = board->reported_loads[home];
  reported.last_work_at = now;
  ++reported.assigns_seen;
  if (AnswerIfTaskKnown(board, now, home, assign.ref)) return;
  Reason reason = CheckGate(*board, now, assign.service, assign.time_left);
  if (reason == Reason::kNoSlot && ReleaseReservedSlot(board, home)) {
    reason = CheckGate(*board, now, assign.service, assign.time_left);
  }
  if (reason == Reason::kNone) {
    StartTask(board, now, home, std::move(assign));
    return;
  }
  const bool may_wait =
      reason == Reason::kNoSlot && !board->policy.late_binding &&
      board->waiting_tasks.size() < board->policy.executor_queue;
  if (may_wait) {
    EnqueueAssign(board, now, home, std::move(assign));
    return;
  }
  RefuseTask(board, now, assign.ref, home, reason);
}

void HandleSeal(AgentBoard* board, core::Time now, const core::NodeId& home,
                const Seal& seal) {
  const TaskKey key{seal.ref.key, seal.ref.task};
  const auto found = board->executions.find(key);
  if (found == board->executions.end() ||
      found->second.state == ExecutionState::kSealed) {
    RefuseTask(board, now, seal.ref, home, Reason::kSealed);
    return;
  }
  Execution& execution = found->second;
  if (execution.home != home || execution.attempt != seal.ref.attempt) return;
  if (execution.state == ExecutionState::kWaiting) {
    board->waiting_tasks.remove(key);
    RefuseTask(board, now, seal.ref, home, Reason::kSealed);
    return;
  }
  if (execution.state == ExecutionState::kFinished) {
    Post(board, home, execution.finished);
    return;
  }
  if (execution.state == ExecutionState::kConfirmed) return;
  if (seal.stop) {
    execution.stop_requested = true;
    board->actions.emplace_back(StopTask{seal.ref});
  }
  Post(board, home, Started{seal.ref, MakeLoadReport(board, now, home)});
}

void HandleFinishedAck(AgentBoard* board, core::Time now,
                       const core::NodeId& home, const FinishedAck& ack) {
  const TaskKey key{ack.ref.key, ack.ref.task};
  ReleasePull(board, home, ack.pull);
  const auto found = board->executions.find(key);
  if (found == board->executions.end()) return;
  Execution& execution = found->second;
  if (execution.state != ExecutionState::kFinished) return;
  if (execution.home != home || execution.attempt != ack.ref.attempt) return;
  // The record stays as a tombstone, so that a late copy of the assignment does
  // not start the task again.
  execution.finished = Finished{};
  execution.state = ExecutionState::kConfirmed;
  SetDueTime(board, key, &execution, now + board->policy.tombstone_retention);
}

void HandleTaskEnd(AgentBoard* board, core::Time now, const TaskRef& ref,
                   TaskEnd end, std::string result) {
  const TaskKey key{ref.key, ref.task};
  const auto found = board->executions.find(key);
  if (found == board->executions.end()) return;
  Execution& execution = found->second;
  if (execution.state != ExecutionState::kRunning) return;
  if (execution.attempt != ref.attempt) return;
  --board->running_tasks;
  const core::NodeId home = execution.home;
  const bool ok = end == TaskEnd::kOk;
  RecordTimeliness(
      board, now, key, ok,
      end == TaskEnd::kNotStarted ? core::kNever : execution.due_at);
  if (end == TaskEnd::kNotStarted) {
    // The target has fewer free slots than it announced. Treat it as full until
    // its next announcement.
    const Target& target = board->target;
    board->target.foreign_running = target.slots > board->running_tasks
                                        ? target.slots - board->running_tasks
                                        : 0;
    RefuseTask(board, now, ref, home, Reason::kNoSlot, RefusedBy::kTarget);
    return;
  }
  const core::Duration run_time = now - execution.started_at;
  if (!execution.stop_requested) RecordTaskEnd(board, ok, run_time);
  // Ejection is updated at once and not at the next tick: a target that fails
  // within a millisecond would take one task after another until then.
  UpdateEjection(board, now);
  execution.state = ExecutionState::kFinished;
  execution.give_up_at = now + board->policy.finished_retry_limit;
  SetDueTime(board, key, &execution, now + board->policy.finished_interval);
  Finished& finished = execution.finished;
  finished.ref = ref;
  finished.ok = ok;
  finished.reason = finished.ok               ? Reason::kNone
                    : end == TaskEnd::kFailed ? Reason::kTaskFailed
                                              : Reason::kTargetGone;
  finished.result = std::move(result);
  finished.result_digest = Digest(finished.result);
  finished.run_time = run_time;
  // Slots are reserved for waiting homes before the load report is made.
  // Otherwise a slot could be offered as free and be reserved as well, and be
  // taken twice.
  AddPullToFinished(board, now, home, &finished);
  FillSlots(board, now);
  finished.load = MakeLoadReport(board, now, home);
  Post(board, home, finished);
  // Repeated reports of this end carry no pull.
  finished.pull = 0;
}

void StartWaitingTasks(AgentBoard* board, core::Time now) {
  while (!board->waiting_tasks.empty() && FreeSlots(*board, now) > 0) {
    const TaskKey key = board->waiting_tasks.front();
    board->waiting_tasks.pop_front();
    Execution& execution = board->executions[key];
    if (!execution.waiting_assign.has_value()) continue;
    Assign assign = std::move(*execution.waiting_assign);
    execution.waiting_assign.reset();
    const core::NodeId home = execution.home;
    assign.time_left -= now - execution.started_at;
    const Reason reason =
        CheckGate(*board, now, assign.service, assign.time_left);
    if (reason == Reason::kNone) {
      StartTask(board, now, home, std::move(assign));
    } else {
      RefuseTask(board, now, assign.ref, home, reason);
    }
  }
}

void RefuseWaitingTasks(AgentBoard* board, core::Time now, Reason reason) {
  while (!board->waiting_tasks.empty()) {
    const TaskKey key = board->waiting_tasks.front();
    board->waiting_tasks.pop_front();
    const Execution& execution = board->executions[key];
    const TaskRef ref{key.key, key.task, execution.attempt};
    const core::NodeId home = execution.home;
    RefuseTask(board, now, ref, home, reason);
  }
}

void TickExecutions(AgentBoard* board, core::Time now) {
  while (!board->executions_by_due_time.empty() &&
         board->executions_by_due_time.begin()->first <= now) {
    const TaskKey key = board->executions_by_due_time.begin()->second;
    Execution& execution = board->executions[key];
    if (execution.state == ExecutionState::kRunning) {
      SetDueTime(board, key, &execution, core::kNever);
      RecordLateTask(board, now);
      continue;
    }
    if (execution.state == ExecutionState::kFinished &&
        now < execution.give_up_at) {
      SetDueTime(board, key, &execution, now + board->policy.finished_interval);
      Post(board, execution.home, execution.finished);
      continue;
    }
    if (execution.state == ExecutionState::kFinished) {
      execution.finished = Finished{};
      execution.state = ExecutionState::kConfirmed;
      SetDueTime(board, key, &execution,
                 now + board->policy.tombstone_retention);
      continue;
    }
    board->executions_by_due_time.erase(board->executions_by_due_time.begin());
    board->executions.erase(key);
  }
}

void ResendUnconfirmedEnds(AgentBoard* board, core::Time now,
                           const core::NodeId& home) {
  for (auto& [key, execution] : board->executions) {
    if (execution.state != ExecutionState::kFinished) continue;
    if (execution.home == home) SetDueTime(board, key, &execution, now);
  }
}

}  // namespace tarragon::dispatch
