#include <algorithm>
#include <utility>

#include "ejection.h"
#include "executor.h"
#include "executor_queue.h"
#include "outbox.h"

namespace tarragon::dispatch {
namespace {

using WantKey = std::pair<core::NodeId, core::ServiceId>;

/// A change of the free slots is large if it is at least 1/4 of all slots.
constexpr std::uint32_t kHintDivisor = 4;
/// Time that a home has to use the free slots that were reported to it: a few
/// round trips.
constexpr core::Duration kReportGracePeriod = std::chrono::milliseconds(10);

/// True if free slots were reported to the home within the grace period: it is
/// probably about to use them.
bool HasRecentFreeSlotReport(const AgentBoard& board, core::Time now,
                             const core::NodeId& home) {
  const auto reported = board.reported_loads.find(home);
  if (reported == board.reported_loads.end()) return false;
  return reported->second.free_slots > 0 &&
         now - reported->second.reported_at < kReportGracePeriod;
}

/// The home and service with the longest-waiting task, among the services that
/// the target offers. Homes with a recent report of free slots count only if
/// `all` is set.
const WantKey* FindOldestWant(const AgentBoard& board, core::Time now,
                              bool all) {
  const WantKey* oldest = nullptr;
  core::Time since = core::kNever;
  for (const auto& [key, want] : board.remote_wants) {
    const auto& services = board.target.services;
    if (std::find(services.begin(), services.end(), key.second) ==
        services.end()) {
      continue;
    }
    if (!all && HasRecentFreeSlotReport(board, now, key.first)) continue;
    if (want.oldest_since < since) {
      since = want.oldest_since;
      oldest = &key;
    }
  }
  return oldest;
}

void SetWant(AgentBoard* board, core::Time now, const WantKey& key,
             std::uint32_t waiting, core::Duration oldest_wait) {
  if (waiting == 0) {
    board->remote_wants.erase(key);
    return;
  }
  board->remote_wants[key] = RemoteWant{waiting, now - oldest_wait};
}

/// Reserves a slot for a task that waits at a home, and returns the number of
/// the pull.
std::uint64_t ReserveSlot(AgentBoard* board, core::Time now,
                          const WantKey& key) {
  const std::uint64_t number = board->next_pull_number++;
  const auto want = board->remote_wants.find(key);
  if (--want->second.waiting == 0) board->remote_wants.erase(want);
  board->open_pulls[number] =
      OpenPull{key.first, key.second, now + board->policy.pull_timeout};
  return number;
}

/// Reserves a slot and sends the home a pull for a task.
void SendPull(AgentBoard* board, core::Time now, const WantKey& key) {
  const std::uint64_t number = ReserveSlot(board, now, key);
  ++board->counters.pulls;
  Post(board, key.first,
       Pull{number, key.second, MakeLoadReport(board, now, key.first)});
}

void DropWantsAndPulls(AgentBoard* board, const core::NodeId& home) {
  for (auto it = board->remote_wants.begin();
       it != board->remote_wants.end();) {
    it =
        it->first.first == home ? board->remote_wants.erase(it) : std::next(it);
  }
  for (auto it = board->open_pulls.begin(); it != board->open_pulls.end();) {
    it = it->second.home == home ? board->open_pulls.erase(it) : std::next(it);
  }
}

bool IsLargeChange(std::uint32_t reported, std::uint32_t now,
                   std::uint32_t slots) {
  if ((reported == 0) != (now == 0)) return true;
  const std::uint32_t change = reported > now ? reported - now : now - reported;
  return change >= std::max(2U, slots / kHintDivisor);
}

}  // namespace

void AddPullToFinished(AgentBoard* board, core::Time now,
                       const core::NodeId& home, Finished* finished) {
  if (FreeSlots(*board, now) == 0) return;
  const WantKey* oldest = FindOldestWant(*board, now, true);
  if (oldest == nullptr || oldest->first != home) return;
  finished->pull_service = oldest->second;
  finished->pull = ReserveSlot(board, now, WantKey(*oldest));
}

std::uint32_t CountReservedSlots(const AgentBoard& board,
                                 const core::NodeId& home) {
  return static_cast<std::uint32_t>(std::count_if(
      board.open_pulls.begin(), board.open_pulls.end(),
      [&home](const auto& pull) { return pull.second.home == home; }));
}

bool ReleaseReservedSlot(AgentBoard* board, const core::NodeId& home) {
  const auto pull = std::find_if(
      board->open_pulls.begin(), board->open_pulls.end(),
      [&home](const auto& item) { return item.second.home == home; });
  if (pull == board->open_pulls.end()) return false;
  board->open_pulls.erase(pull);
  return true;
}

void ReleasePull(AgentBoard* board, const core::NodeId& home,
                 std::uint64_t number) {
  const auto pull = board->open_pulls.find(number);
  if (pull == board->open_pulls.end() || pull->second.home != home) return;
  board->remote_wants.erase({pull->second.home, pull->second.service});
  board->open_pulls.erase(pull);
}

void FillSlots(AgentBoard* board, core::Time now) {
  StartWaitingTasks(board, now);
  while (FreeSlots(*board, now) > 0) {
    const WantKey* oldest = FindOldestWant(*board, now, false);
    if (oldest == nullptr) return;
    SendPull(board, now, WantKey(*oldest));
  }
}

void HandleWant(AgentBoard* board, core::Time now, const core::NodeId& home,
                const Want& want) {
  board->reported_loads[home].last_work_at = now;
  SetWant(board, now, {home, want.service}, want.waiting, want.oldest_wait);
}

void HandlePullTask(AgentBoard* board, core::Time now, const core::NodeId& home,
                    PullTask task) {
  const auto pull = board->open_pulls.find(task.number);
  if (pull != board->open_pulls.end() && pull->second.home == home) {
    board->open_pulls.erase(pull);
  }
  SetWant(board, now, {home, task.assign.service}, task.waiting,
          task.oldest_wait);
  HandleAssign(board, now, home, std::move(task.assign));
}

void HandlePullEmpty(AgentBoard* board, core::Time now,
                     const core::NodeId& home, const PullEmpty& empty) {
  (void)now;
  ++board->counters.empty_pulls;
  board->remote_wants.erase({home, empty.service});
  ReleasePull(board, home, empty.number);
}

void SendLoadHints(AgentBoard* board, core::Time now) {
  const std::uint32_t free = FreeSlots(*board, now);
  for (auto& [home, reported] : board->reported_loads) {
    if (home == board->self) continue;
    if (now - reported.last_work_at > board->policy.hint_recipient_timeout) {
      continue;
    }
    if (now - reported.reported_at < board->policy.hint_interval) continue;
    if (!IsLargeChange(reported.free_slots, free, board->target.slots)) {
      continue;
    }
    ++board->counters.hints;
    Post(board, home, LoadHint{MakeLoadReport(board, now, home)});
  }
}

void TickExecutor(AgentBoard* board, core::Time now) {
  Target& target = board->target;
  if (target.present &&
      now - target.announced_at > board->policy.target_timeout) {
    target.present = false;
  }
  for (auto it = board->open_pulls.begin(); it != board->open_pulls.end();) {
    it = it->second.expires_at <= now ? board->open_pulls.erase(it)
                                      : std::next(it);
  }
  TickExecutions(board, now);
  UpdateEjection(board, now);
  if (board->stopping || target.leaving) {
    RefuseWaitingTasks(board, now, Reason::kLeaving);
  }
  FillSlots(board, now);
  SendLoadHints(board, now);
}

void HandlePeerLostForExecutor(AgentBoard* board, core::Time now,
                               const core::NodeId& peer) {
  DropWantsAndPulls(board, peer);
  ResendUnconfirmedEnds(board, now, peer);
}

void HandlePeerGoneForExecutor(AgentBoard* board, core::Time now,
                               const core::NodeId& peer) {
  (void)now;
  DropWantsAndPulls(board, peer);
  board->reported_loads.erase(peer);
  for (auto& [key, execution] : board->executions) {
    if (execution.home != peer) continue;
    // No process is left to confirm the end, so it is not resent.
    if (execution.state == ExecutionState::kFinished) {
      execution.give_up_at = now;
    }
  }
}

}  // namespace tarragon::dispatch
