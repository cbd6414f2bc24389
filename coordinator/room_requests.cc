#include <algorithm>
#include <cstddef>
#include <vector>

#include "entry_internal.h"
#include "placing.h"

namespace tarragon::coordinator {
namespace {

/// Number of gates of which the one that will have room first is asked.
constexpr int kDraws = 4;

/// True if the gate was sent a request for a task that is about as urgent.
bool HasSentWant(const JobBoard& board, const GateLink& gate,
                 const WaitingTask& next) {
  if (!gate.sent_want.has_value()) return false;
  if (gate.sent_want->late != next.late) return !gate.sent_want->late;
  if (gate.sent_want->rank != next.rank) {
    return gate.sent_want->rank < next.rank;
  }
  return gate.sent_want->latest_start <=
         next.latest_start + board.policy.want_urgency_step;
}

/// True if the task could run at the gate once room is free.
bool CanRunAtGate(const JobBoard& board, core::Time now, const GateLink& gate,
                  const Job& job, const StepSpec& step) {
  return IsUsable(board, now, gate) && !gate.health.suspect &&
         now >= gate.health.avoid_until &&
         gate.report->service == job.queue.service &&
         Fits(step.room, gate.report->capacity) &&
         HasLabel(*gate.report, step.required);
}

void SendWant(JobBoard* board, core::Time now, GateLink* gate,
              const WaitingTask& next, const Room& room,
              core::Duration expected_run) {
  gate->sent_want = SentWant{next.late, next.rank, next.latest_start};
  ++board->counts.wants;
  RoomWanted wanted;
  wanted.room = room;
  wanted.late = next.late;
  wanted.slack = next.latest_start - now;
  wanted.priority = next.rank;
  wanted.expected_run = expected_run;
  board->actions.push_back(SendTo<RoomWanted>{gate->node, wanted});
}

/// Estimates when the gate will have `room`, by its last report.
core::Time EstimateTimeOfRoom(const GateLink& gate, core::Time now,
                              const Room& room) {
  const std::int64_t free = EstimateFreeRoom(gate).millicores;
  if (room.millicores <= free) return now;
  for (const RoomRelease& each : gate.report->releases) {
    if (room.millicores <= free + each.millicores) {
      return gate.last_heard_at + each.after;
    }
  }
  return core::kNever;
}

/// Chooses one of the gates: the one that will have room first among a few
/// drawn at random, so that entries with the same reports choose different
/// ones.
std::size_t DrawGate(JobBoard* board, core::Time now, const Room& room,
                     const std::vector<GateLink*>& gates) {
  std::size_t best = NextRandom(board) % gates.size();
  core::Time best_time = EstimateTimeOfRoom(*gates[best], now, room);
  for (int i = 1; i < kDraws; ++i) {
    const std::size_t at = NextRandom(board) % gates.size();
    const core::Time time = EstimateTimeOfRoom(*gates[at], now, room);
    if (time >= best_time) continue;
    best = at;
    best_time = time;
  }
  return best;
}

}  // namespace

void RequestRoom(JobBoard* board, core::Time now) {
  if (board->waiting_tasks.empty()) return;
  const WaitingTask& next = *board->waiting_tasks.begin();
  const Job& job = *board->jobs.at(next.job);
  const Task& task = job.tasks[next.task_index];
  const StepSpec& step = job.request.steps[task.ref.step];
  const std::size_t wanted =
      std::min(board->policy.max_wants,
               board->policy.wants_per_task * board->waiting_tasks.size());
  std::size_t requested = 0;
  std::vector<GateLink*> others;
  for (auto& [address, gate] : board->gates) {
    if (!CanRunAtGate(*board, now, gate, job, step)) continue;
    if (HasSentWant(*board, gate, next)) {
      ++requested;
    } else {
      others.push_back(&gate);
    }
  }
  while (requested < wanted && !others.empty()) {
    const std::size_t at = DrawGate(board, now, step.room, others);
    SendWant(board, now, others[at], next, step.room,
             EstimateRunTime(*board, job, task));
    others[at] = others.back();
    others.pop_back();
    ++requested;
  }
}

void WithdrawRequests(JobBoard* board) {
  if (!board->policy.reserve_room || !board->waiting_tasks.empty()) return;
  for (auto& [address, gate] : board->gates) {
    if (!gate.connected || !gate.sent_want.has_value()) continue;
    gate.sent_want.reset();
    board->actions.push_back(SendTo<RoomWanted>{gate.node, {}});
  }
}

void ReturnUnusedOffer(JobBoard* board, GateLink* gate) {
  // A request that was sent after the report has ended the offer already.
  if (gate->sent_want.has_value()) return;
  ++board->counts.returned_offers;
  board->actions.push_back(SendTo<RoomWanted>{gate->node, {}});
}

}  // namespace tarragon::coordinator
