#include "tarragon/dispatch/agent.h"

#include <algorithm>
#include <utility>

#include "ejection.h"
#include "executor.h"
#include "heir.h"
#include "home.h"
#include "outbox.h"
#include "placement.h"
#include "view.h"

namespace tarragon::dispatch {
namespace {

/// Calls the handler of a message.
class Router {
 public:
  Router(AgentBoard* board, core::Time now, const core::NodeId& from)
      : board_(board), now_(now), from_(from) {}

  void operator()(Permit& m) {
    HandlePermit(board_, now_, from_, std::move(m));
  }
  void operator()(Submit& m) {
    HandleSubmit(board_, now_, from_, std::move(m));
  }
  void operator()(Query& m) { HandleQuery(board_, now_, from_, m); }
  void operator()(Cancel& m) { HandleCancel(board_, now_, from_, m); }
  void operator()(Explain& m) { HandleExplain(board_, now_, from_, m); }
  void operator()(Assign& m) {
    HandleAssign(board_, now_, from_, std::move(m));
  }
  void operator()(Refused& m) { HandleRefused(board_, now_, from_, m); }
  void operator()(Started& m) { HandleStarted(board_, now_, from_, m); }
  void operator()(Finished& m) {
    HandleFinished(board_, now_, from_, std::move(m));
  }
  void operator()(FinishedAck& m) { HandleFinishedAck(board_, now_, from_, m); }
  void operator()(Seal& m) { HandleSeal(board_, now_, from_, m); }
  void operator()(Want& m) { HandleWant(board_, now_, from_, m); }
  void operator()(Pull& m) { HandlePull(board_, now_, from_, m); }
  void operator()(PullEmpty& m) { HandlePullEmpty(board_, now_, from_, m); }
  void operator()(PullTask& m) {
    HandlePullTask(board_, now_, from_, std::move(m));
  }
  void operator()(LoadHint& m) {
    UpdatePeerLoad(board_, now_, from_, m.load);
    PlaceWaitingTasks(board_, now_);
  }
  void operator()(Leaving& m) {
    if (m.node != from_) return;
    const auto peer = board_->peers.find(m.node);
    if (peer != board_->peers.end()) peer->second.status.leaving = true;
  }
  void operator()(Handover& m) {
    HandleHandover(board_, now_, from_, std::move(m));
  }
  void operator()(HandoverAck& m) { HandleHandoverAck(board_, now_, from_, m); }
  /// All other messages are for entries only.
  template <typename Other>
  void operator()(Other&) {}

 private:
  AgentBoard* board_;
  core::Time now_;
  core::NodeId from_;
};

void Route(AgentBoard* board, core::Time now, const core::NodeId& from,
           Message* message) {
  Router router(board, now, from);
  std::visit(router, *message);
}

/// Handles the messages of the agent to itself and fills free slots, until
/// there are no more such messages.
void ProcessLoopback(AgentBoard* board, core::Time now) {
  do {
    while (!board->loopback.empty()) {
      Message message = std::move(board->loopback.front());
      board->loopback.pop_front();
      Route(board, now, board->self, &message);
    }
    FillSlots(board, now);
  } while (!board->loopback.empty());
}

}  // namespace

void InitAgent(AgentBoard* board, core::Time now, const core::NodeId& self,
               const core::DomainId& domain,
               const std::vector<core::Address>& entries, std::uint64_t seed) {
  board->self = self;
  board->domain = domain;
  board->seed_entries = entries;
  board->random.seed(seed);
  board->started_at = now;
  board->next_heartbeat_at = now;
  board->permit_until = now;
  board->retry_tokens = board->policy.retry_burst;
}

void OnMessage(AgentBoard* board, core::Time now, const core::NodeId& from,
               Message message) {
  Route(board, now, from, &message);
  ProcessLoopback(board, now);
}

void OnTargetAnnounce(AgentBoard* board, core::Time now, const Target& target) {
  const bool changed = !board->target.present ||
                       board->target.leaving != target.leaving ||
                       board->target.services != target.services;
  if (!board->target.present) board->health = TargetHealth{};
  // An announcement can cross with the end of a task and count that task as
  // foreign. So the lower count of two successive announcements is taken.
  const std::uint32_t before = board->target.present
                                   ? board->target.announced_foreign_running
                                   : target.foreign_running;
  board->target = target;
  board->target.announced_foreign_running = target.foreign_running;
  board->target.foreign_running = std::min(before, target.foreign_running);
  board->target.present = true;
  board->target.announced_at = now;
  if (changed) ScheduleHeartbeatNow(board, now);
  ProcessLoopback(board, now);
}

void OnTaskEnd(AgentBoard* board, core::Time now, const TaskRef& ref,
               TaskEnd end, std::string result) {
  HandleTaskEnd(board, now, ref, end, std::move(result));
  ProcessLoopback(board, now);
}

void OnPeerLost(AgentBoard* board, core::Time now, const core::NodeId& peer) {
  HandlePeerLostForHome(board, now, peer);
  HandlePeerLostForExecutor(board, now, peer);
  ProcessLoopback(board, now);
}

void OnPeerGone(AgentBoard* board, core::Time now, const core::NodeId& peer) {
  RemovePeerFromView(board, peer);
  HandlePeerGoneForHome(board, now, peer);
  HandlePeerGoneForExecutor(board, now, peer);
  HandlePeerGoneForHandover(board, now, peer);
  ProcessLoopback(board, now);
}

void OnTick(AgentBoard* board, core::Time now) {
  TickHeartbeats(board, now);
  TickExecutor(board, now);
  TickHome(board, now);
  TickHandover(board, now);
  TickHeir(board, now);
  ProcessLoopback(board, now);
}

void RequestStop(AgentBoard* board, core::Time now) {
  if (board->stopping) return;
  board->stopping = true;
  board->stop_requested_at = now;
  for (const auto& [node, peer] : board->peers) {
    if (node != board->self) Post(board, node, Leaving{board->self});
  }
  BroadcastToEntries(board, Leaving{board->self});
  ScheduleHeartbeatNow(board, now);
  OnTick(board, now);
}

bool IsStopFinished(const AgentBoard& board, core::Time now) {
  if (!board.stopping) return false;
  if (now - board.stop_requested_at >= board.policy.drain_limit) return true;
  if (!board.active_jobs.empty() || board.running_tasks > 0) return false;
  if (!IsHandoverFinished(board)) return false;
  return std::none_of(board.executions.begin(), board.executions.end(),
                      [](const auto& item) {
                        return item.second.state == ExecutionState::kFinished;
                      });
}

AgentStatus BuildStatus(const AgentBoard& board, core::Time now) {
  AgentStatus status;
  status.node = board.self;
  status.domain = board.domain;
  status.leaving = board.stopping;
  status.handle_epoch = CurrentHandleEpoch(board, now);
  if (!board.target.present || board.target.leaving) return status;
  status.services = board.target.services;
  status.load.free_slots = FreeSlots(board, now);
  status.load.slots = board.target.slots;
  status.load.sequence = board.load_sequence;
  status.cores = board.target.cores;
  status.memory_mb = board.target.memory_mb;
  status.failure_permille = FailurePermille(board.health);
  status.mean_run = board.health.mean_run;
  status.late_permille = LatePermille(board.health);
  return status;
}

std::uint32_t CurrentHandleEpoch(const AgentBoard& board, core::Time now) {
  return static_cast<std::uint32_t>((now - board.started_at) /
                                    board.policy.handle_epoch);
}

}  // namespace tarragon::dispatch
