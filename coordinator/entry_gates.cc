#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "entry_internal.h"
#include "finish_time.h"
#include "operator_sync.h"
#include "placing.h"
#include "precedence.h"
#include "room_forecast.h"

namespace tarragon::coordinator {
namespace {

/// Records that a message has come from a gate, and resets what depended on an
/// earlier incarnation at its address.
GateLink& RecordGateContact(JobBoard* board, core::Time now,
                            const core::NodeId& from) {
  GateLink& gate = board->gates[from.address];
  AwaitProgressAfterSilence(*board, now, from, &gate);
  if (gate.node.incarnation != from.incarnation) {
    for (auto& [ref, placed] : gate.runs) placed.unconfirmed = true;
    gate.uncounted_starts.clear();
    gate.node = from;
    gate.operator_sync = OperatorSync{};
    gate.hint_sent = false;
    gate.echo_due = true;
    gate.sent_want.reset();
    gate.received_report = core::Time{};
    gate.clients_read = core::Time{};
    gate.notice_sent_at = core::Time{};
    AddLogLine(board, "Connected to a gate.", core::ToString(from),
               {{"runs", std::to_string(gate.runs.size())}});
  } else if (!gate.connected) {
    gate.notice_sent_at = core::Time{};
    AddLogLine(board, "Reconnected to a gate.", core::ToString(from),
               {{"runs", std::to_string(gate.runs.size())}});
  }
  gate.connected = true;
  gate.last_heard_at = now;
  return gate;
}

void MarkDisconnected(GateLink* gate) {
  gate->connected = false;
  gate->operator_sync = OperatorSync{};
  gate->uncounted_starts.clear();
  gate->sent_want.reset();
  for (auto& [ref, placed] : gate->runs) {
    placed.unconfirmed = true;
    // A query may have been lost with the connection.
    placed.asked_at = core::Time{};
  }
}

/// Queries runs of which the gate may not know, and repeats requests to stop a
/// run.
void QueryUnconfirmedRuns(JobBoard* board, core::Time now, GateLink* gate) {
  if (!gate->connected || !gate->report.has_value() ||
      !gate->report->runs_known) {
    return;
  }
  for (auto& [ref, placed] : gate->runs) {
    if (!placed.unconfirmed && !placed.stop_requested) continue;
    if (now - placed.asked_at < board->policy.run_query_interval) continue;
    QueryRun(board, now, *gate, ref, &placed);
  }
}

/// Ends the runs at a gate that has been silent for so long that their lease
/// has certainly expired.
void EndLostRuns(JobBoard* board, core::Time now, GateLink* gate) {
  if (gate->runs.empty()) return;
  if (now - gate->last_heard_at <= board->policy.runs_surely_over) return;
  std::vector<RunRef> lost;
  for (const auto& [ref, placed] : gate->runs) lost.push_back(ref);
  AddLogLine(board, "Ended the runs of a silent gate.",
             core::ToString(gate->node),
             {{"runs", std::to_string(lost.size())},
              {"silent", FormatMillis(now - gate->last_heard_at)}});
  for (const RunRef& ref : lost) {
    HandleRunEnd(
        board, now, gate,
        {ref, RunEnd::kLapsed, RefusalReason::kNone, core::Duration{0}});
  }
}

void SendNotice(JobBoard* board, core::Time now, GateLink* gate) {
  gate->notice_sent_at = now;
  EntryNotice notice;
  if (gate->report.has_value()) notice.echo = gate->report->clock;
  notice.clients_read = std::max(gate->clients_read, kNothingRead);
  notice.operator_revision = board->operator_state.revision;
  notice.domains_digest = board->domains_digest;
  notice.config_version = board->operator_state.version;
  notice.demand = MakeDemand(*board, now);
  core::NodeId to = gate->node;
  // Addresses any incarnation, as the gate may have been restarted.
  if (!gate->connected) to.incarnation = core::Incarnation(0);
  board->actions.push_back(SendTo<EntryNotice>{to, notice});
}

/// Advances what notices tell of the clients. A report counts from the second
/// tick after its arrival. The event loop has polled all sockets between the
/// two ticks, so whichever client was lost before the gate sent the report has
/// been noticed, and its runs have been asked to stop.
void AdvanceClientsRead(GateLink* gate) {
  if (!gate->connected) {
    // Orders to stop may have been lost with the connection. They are repeated
    // on the next one before a notice tells of a later report.
    gate->received_report = core::Time{};
    gate->clients_read = core::Time{};
    return;
  }
  gate->clients_read = gate->received_report;
  if (gate->report.has_value()) gate->received_report = gate->report->clock;
}

/// Sends the gate what it lacks of the operator state, once that is due.
void SendOperatorUpdate(JobBoard* board, core::Time now, GateLink* gate) {
  if (!gate->connected || !gate->operator_copy.has_value()) return;
  std::optional<OperatorUpdate> update = NextOperatorUpdate(
      board->operator_state, board->domains_digest, *gate->operator_copy, now,
      NextRandom(board), &gate->operator_sync);
  if (!update.has_value()) return;
  board->actions.push_back(
      SendTo<OperatorUpdate>{gate->node, std::move(*update)});
}

/// Drops starts that the gate will refuse as stale if it reads them now, so
/// they take no room.
void ForgetStaleStarts(const JobBoard& board, core::Time now, GateLink* gate) {
  while (!gate->uncounted_starts.empty() &&
         now - gate->uncounted_starts.front().ordered_at >
             board.policy.start_window) {
    gate->uncounted_starts.pop_front();
  }
}

void TickGate(JobBoard* board, core::Time now, GateLink* gate) {
  AdvanceClientsRead(gate);
  ForgetStaleStarts(*board, now, gate);
  if (gate->connected &&
      now - gate->last_heard_at > board->policy.redial_after) {
    AddLogLine(board, "A gate is silent; reconnecting.",
               core::ToString(gate->node),
               {{"silent", FormatMillis(now - gate->last_heard_at)},
                {"runs", std::to_string(gate->runs.size())}});
    board->actions.push_back(DisconnectGate{gate->node});
    MarkDisconnected(gate);
  }
  const core::Duration pause = gate->connected
                                   ? board->policy.notice_interval
                                   : board->policy.reconnect_interval;
  if (now - gate->notice_sent_at >= pause) SendNotice(board, now, gate);
  SendOperatorUpdate(board, now, gate);
  QueryUnconfirmedRuns(board, now, gate);
  StopStalledRuns(board, now, gate);
  EndLostRuns(board, now, gate);
}

/// Applies the end of a task's last run to its job.
void ApplyTaskEnd(JobBoard* board, core::Time now, Job* job, Task* task,
                  const RunEnded& ended, bool suspect_target) {
  switch (ended.end) {
    case RunEnd::kDone:
      task->phase = TaskPhase::kDone;
      --job->tasks_left;
      if (ended.run_time.count() > 0) {
        RecordRunTime(&board->run_times, job->queue.name,
                      job->request.steps[task->ref.step].declared_run_time,
                      ended.run_time, suspect_target);
      }
      if (--job->step_tasks_left[task->ref.step] == 0 && job->tasks_left > 0) {
        QueueUnblockedTasks(board, now, job);
      }
      if (job->tasks_left == 0) {
        EndJob(board, now, job, JobState::kCompleted, "all tasks are done");
      }
      return;
    case RunEnd::kFailed:
      if (++task->failures >= job->queue.max_attempts) {
        EndJob(board, now, job, JobState::kFailed, "a task failed too often");
        return;
      }
      task->avoid_gate = true;
      break;
    case RunEnd::kStopped:
    case RunEnd::kLapsed:
      if (ended.target_crashed &&
          ++task->crashes >= board->policy.max_crashes) {
        EndJob(board, now, job, JobState::kFailed,
               "targets crashed under a task");
        return;
      }
      task->avoid_gate = true;
      break;
    case RunEnd::kRefused:
      --job->ordered_runs;
      if (ended.reason == RefusalReason::kDuplicate) {
        // The client had submitted the job to another entry before.
        return GiveUpJob(board, now, job, "another attempt is at work");
      }
      break;
  }
  EnqueueTask(board, now, job, task);
}

/// Handles the end of a run whose attempt at the job has ended. A later attempt
/// may wait for it before it starts the task again.
void QueueTaskAfterEarlierRun(JobBoard* board, core::Time now,
                              const RunEnded& ended, const PlacedRun& placed,
                              const GateLink& gate) {
  const auto later = board->jobs.find(ended.run.task.job);
  if (later == board->jobs.end()) return;
  AddLogLine(board, "A run of an earlier attempt at a job ended.",
             ToString(ended.run),
             {{"end", Name(ended.end)},
              {"attempt", std::to_string(placed.job_serial)},
              {"later_attempt", std::to_string(later->second->serial)},
              {"ordered", FormatMillis(now - placed.ordered_at)},
              {"gate", core::ToString(gate.node)}});
  QueueUnblockedTasks(board, now, later->second.get());
}

/// Sends a restarted gate the target that its earlier process had reported.
void SendTargetHint(JobBoard* board, const core::NodeId& from, GateLink* gate) {
  if (!gate->report->target.value().empty()) {
    gate->last_target_report = gate->report;
    return;
  }
  if (gate->hint_sent || !gate->last_target_report.has_value()) return;
  gate->hint_sent = true;
  board->actions.push_back(
      SendTo<TargetHint>{from, {*gate->last_target_report}});
}

/// Compares the gate's copy of the operator state with the entry's own. True if
/// the gate has a newer one, which it sends in answer to a notice.
bool SyncOperatorState(JobBoard* board, core::Time now, GateLink* gate) {
  const TargetReport& report = *gate->report;
  gate->operator_copy = OperatorCopy{
      report.operator_revision, report.domains_digest, report.config_version};
  std::uint64_t& revision = board->operator_state.revision;
  const bool same_domains = report.domains_digest == board->domains_digest;
  if (same_domains) revision = std::max(revision, report.operator_revision);
  SendOperatorUpdate(board, now, gate);
  return (!same_domains && report.operator_revision > revision) ||
         report.config_version > board->operator_state.version;
}

/// Logs when the entry becomes ready for clients, or stops being ready.
void LogReadiness(JobBoard* board, core::Time now) {
  const bool ready = IsReady(*board, now);
  if (ready == board->was_ready) return;
  board->was_ready = ready;
  AddLogLine(board, ready ? "Ready for clients." : "Not ready for clients.", "",
             {{"version", std::to_string(board->operator_state.version)},
              {"gates", std::to_string(board->gates.size())},
              {"stopping", board->stopping ? "true" : "false"}});
}

/// Takes over the parts of an operator state that are newer than the entry's.
void ApplyOperatorState(JobBoard* board, core::Time now, OperatorState state,
                        bool domains_only, const std::string& source) {
  const std::uint64_t old_revision = board->operator_state.revision;
  const OperatorChange change = MergeOperatorState(
      std::move(state), domains_only, &board->operator_state);
  if (!change.configuration && !change.domains) return;
  if (change.configuration) ConfigurePrecedence(board);
  const OperatorState& applied = board->operator_state;
  AddLogLine(board, "Applied a newer operator state.", source,
             {{"revision", std::to_string(applied.revision)},
              {"old_revision", std::to_string(old_revision)},
              {"version", std::to_string(applied.version)},
              {"queues", std::to_string(applied.queues.size())},
              {"domains_out", std::to_string(applied.drained.size())}});
  board->domains_digest = DomainsDigest(applied.drained);
  for (auto& [address, gate] : board->gates) {
    gate.operator_sync = OperatorSync{};
    SendOperatorUpdate(board, now, &gate);
    // The next tick tells the gate which configuration the entry has, so that
    // it neither sends the entry a copy nor waits long for one.
    if (change.configuration) gate.notice_sent_at = core::Time{};
  }
  FinishEvent(board, now);
}

}  // namespace

void QueryRun(JobBoard* board, core::Time now, const GateLink& gate,
              const RunRef& ref, PlacedRun* placed) {
  if (!gate.connected) {
    placed->unconfirmed = true;
    return;
  }
  placed->asked_at = now;
  placed->unconfirmed = false;
  board->actions.push_back(
      SendTo<AskRun>{gate.node, {ref, placed->stop_requested, placed->room}});
}

void HandleRunEnd(JobBoard* board, core::Time now, GateLink* gate,
                  const RunEnded& ended) {
  const auto at = gate->runs.find(ended.run);
  if (at == gate->runs.end()) return;
  const PlacedRun placed = at->second;
  gate->runs.erase(at);
  if (ended.end == RunEnd::kRefused && ended.reason != RefusalReason::kNoRoom) {
    gate->health.avoid_until = now + board->policy.refusal_pause;
  }
  Job* job = FindJobOfRun(*board, ended.run, placed);
  if (job == nullptr) {
    return QueueTaskAfterEarlierRun(board, now, ended, placed, *gate);
  }
  for (Task& task : job->tasks) {
    if (task.ref != ended.run.task) continue;
    if (task.phase != TaskPhase::kPlaced || task.last_run != ended.run.number) {
      return;
    }
    if (ended.end != RunEnd::kDone) {
      AddLogLine(board, "A run did not complete.", ToString(ended.run),
                 {{"end", Name(ended.end)},
                  {"reason", Name(ended.reason)},
                  {"ordered", FormatMillis(now - placed.ordered_at)},
                  {"attempt", std::to_string(placed.job_serial)},
                  {"earlier_runs", std::to_string(job->earlier_runs)},
                  {"stop_requested", placed.stop_requested ? "true" : "false"},
                  {"target_crashed", ended.target_crashed ? "true" : "false"},
                  {"silent", FormatMillis(now - gate->last_heard_at)},
                  {"gate", core::ToString(gate->node)}});
    }
    RunEnded scaled = ended;
    if (gate->report.has_value()) {
      scaled.run_time =
          RunTimeAtMeanSpeed(*board, job->request.steps[task.ref.step],
                             *gate->report, ended.run_time);
    }
    return ApplyTaskEnd(board, now, job, &task, scaled, gate->health.suspect);
  }
}

void OnGateFound(JobBoard* board, core::Time now,
                 const core::Address& address) {
  if (board->gates.contains(address)) return;
  GateLink& gate = board->gates[address];
  gate.node.address = address;
  gate.last_heard_at = now;
  AddLogLine(board, "Discovered a gate.", address.value(), {});
  SendNotice(board, now, &gate);
}

void OnOperatorState(JobBoard* board, core::Time now, OperatorState state,
                     const std::string& source) {
  ApplyOperatorState(board, now, std::move(state), false, source);
}

void OnMessage(JobBoard* board, core::Time now, const core::NodeId& from,
               TargetReport report) {
  GateLink& gate = RecordGateContact(board, now, from);
  while (!gate.uncounted_starts.empty() &&
         gate.uncounted_starts.front().sequence <= report.starts_seen) {
    gate.uncounted_starts.pop_front();
  }
  if (gate.report.has_value() && gate.report->target != report.target) {
    gate.health = TargetHealth{};
  }
  const bool offered = report.offered;
  if (offered) gate.sent_want.reset();
  gate.report = std::move(report);
  RecordOthersDemand(board, now, *gate.report);
  UpdateLeaveTime(now, &gate);
  SendTargetHint(board, from, &gate);
  UpdateSuspicion(board, now, &gate);
  const bool knows_newer = SyncOperatorState(board, now, &gate);
  QueryUnconfirmedRuns(board, now, &gate);
  // This notice follows the claims of the gate's unclaimed runs and tells the
  // gate that this entry has no others.
  const bool echo_due = gate.echo_due && gate.report->runs_known;
  if (echo_due || knows_newer ||
      now - gate.notice_sent_at >= board->policy.notice_interval) {
    gate.echo_due = gate.echo_due && !echo_due;
    SendNotice(board, now, &gate);
  }
  const std::uint64_t starts = board->last_start_sequence;
  FinishGateEvent(board, now, &gate);
  if (!offered) return;
  RequestRoom(board, now);
  const bool taken = !gate.uncounted_starts.empty() &&
                     gate.uncounted_starts.back().sequence > starts;
  if (!taken) ReturnUnusedOffer(board, &gate);
}

void OnMessage(JobBoard* board, core::Time now, const core::NodeId& from,
               OperatorUpdate update) {
  GateLink& gate = RecordGateContact(board, now, from);
  if (!gate.operator_copy.has_value()) gate.operator_copy.emplace();
  RecordOperatorUpdate(update, &*gate.operator_copy);
  ApplyOperatorState(board, now, std::move(update.state), update.domains_only,
                     core::ToString(from));
}

void OnMessage(JobBoard* board, core::Time now, const core::NodeId& from,
               const RunEnded& ended) {
  GateLink& gate = RecordGateContact(board, now, from);
  HandleRunEnd(board, now, &gate, ended);
  FinishGateEvent(board, now, &gate);
}

void OnMessage(JobBoard* board, core::Time now, const core::NodeId& from,
               const RunProgress& progress) {
  GateLink& gate = RecordGateContact(board, now, from);
  ApplyProgress(board, now, &gate, progress);
  FinishGateEvent(board, now, &gate);
}

void OnGateDisconnected(JobBoard* board, core::Time now,
                        const core::NodeId& node) {
  const auto found = board->gates.find(node.address);
  if (found == board->gates.end()) return;
  GateLink& gate = found->second;
  if (gate.connected) {
    AddLogLine(board, "Lost the connection to a gate.",
               core::ToString(gate.node),
               {{"silent", FormatMillis(now - gate.last_heard_at)},
                {"runs", std::to_string(gate.runs.size())}});
    // Makes the next tick reconnect at once, in case only the connection was
    // lost.
    gate.notice_sent_at = core::Time{};
  }
  MarkDisconnected(&gate);
}

void OnGateReplaced(JobBoard* board, core::Time now, const core::NodeId& node) {
  OnGateDisconnected(board, now, node);
}

void OnTick(JobBoard* board, core::Time now) {
  RecordTick(board, now);
  for (auto& [address, gate] : board->gates) TickGate(board, now, &gate);
  std::erase_if(board->gates, [board, now](const auto& entry) {
    return now - entry.second.last_heard_at > board->policy.forget_peer_after;
  });
  UpdateSpeedScale(board, now);
  GiveUpExpiredJobs(board, now);
  if (UpdatePrecedence(board, now)) RerankWaitingTasks(board);
  FinishEvent(board, now);
}

bool IsReady(const JobBoard& board, core::Time now) {
  if (board.stopping || board.operator_state.version == 0) return false;
  for (const auto& [address, gate] : board.gates) {
    if (IsUsable(board, now, gate)) return true;
  }
  return false;
}

void FinishGateEvent(JobBoard* board, core::Time now, GateLink* gate) {
  if (board->queue_grew) return FinishEvent(board, now);
  PlaceWaitingTasks(board, now, gate);
  LogReadiness(board, now);
}

void FinishEvent(JobBoard* board, core::Time now) {
  board->queue_grew = false;
  PlaceWaitingTasks(board, now, nullptr);
  RequestRoom(board, now);
  WithdrawRequests(board);
  LogReadiness(board, now);
}

}  // namespace tarragon::coordinator
