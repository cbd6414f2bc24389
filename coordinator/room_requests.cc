#include <algorithm>
#include <cstddef>
#include <vector>

#include "entry_internal.h"
#include "placing.h"

namespace tarragon::coordinator {
namespace {

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
              const WaitingTask& next, const Room& room) {
  gate->sent_want = SentWant{next.late, next.rank, next.latest_start};
  ++board->counts.wants;
  board->actions.push_back(SendTo<RoomWanted>{
      gate->node, {room, next.late, next.latest_start - now, next.rank}});
}

}  // namespace

void RequestRoom(JobBoard* board, core::Time now) {
  if (board->waiting_tasks.empty()) return;
  const WaitingTask& next = *board->waiting_tasks.begin();
  const Job& job = *board->jobs.at(next.job);
  const StepSpec& step = job.request.steps[job.tasks[next.task_index].ref.step];
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
    const std::size_t at = NextRandom(board) % others.size();
    SendWant(board, now, others[at], next, step.room);
    others[at] = others.back();
    others.pop_back();
    ++requested;
  }
}

void ReturnUnusedOffer(JobBoard* board, GateLink* gate) {
  // A request that was sent after the report has ended the offer already.
  if (gate->sent_want.has_value()) return;
  ++board->counts.returned_offers;
  board->actions.push_back(SendTo<RoomWanted>{gate->node, {}});
}

}  // namespace tarragon::coordinator
