#include "ejection.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "view.h"

namespace tarragon::dispatch {
namespace {

/// Factor by which the counts decay with each new end.
constexpr double kDecay = 0.9;
/// Minimum decayed number of ends for a failure share.
constexpr double kMinDecayedEnds = 3.0;
/// A target is failing if its share of failures reaches the first value and the
/// median of its peers is below the second.
constexpr std::uint32_t kFailingPermille = 500;
constexpr std::uint32_t kPeersFailingPermille = 250;
/// Decay factor of the share of late tasks. The share starts at zero, so that a
/// few late tasks alone do not eject a target.
constexpr double kLateDecay = 0.92;
/// A target is slow if its share of late tasks reaches the first value while
/// its peers are below the second. It stays slow until trial tasks bring it
/// below the third.
constexpr std::uint32_t kSlowPermille = 400;
constexpr std::uint32_t kPeersLatePermille = 200;
constexpr std::uint32_t kRecoveredPermille = 150;
/// A task is late only if it has exceeded the usual run time by at least this,
/// so that scheduling delays do not make short tasks late.
constexpr core::Duration kMinLateness = std::chrono::milliseconds(50);
/// At most one target in this many may be ejected.
constexpr std::size_t kAgentsPerEjection = 4;
/// During ejection a success multiplies the failure count by this, and a trial
/// in time the share of late tasks.
constexpr double kTrialDecay = 0.5;
constexpr double kMeanWeight = 0.1;
constexpr int kPermille = 1000;

/// The health of the other agents' targets, as reported.
struct PeerHealth {
  std::vector<std::uint32_t> failure_permilles;
  std::vector<std::uint32_t> late_permilles;
  /// Peers that are ejected before this target when the number is limited.
  std::size_t worse_peers = 0;
};

PeerHealth CollectPeerHealth(const AgentBoard& board) {
  const std::uint32_t mine =
      std::max(FailurePermille(board.health), LatePermille(board.health));
  PeerHealth health;
  for (const auto& [node, peer] : board.peers) {
    const AgentStatus& status = peer.status;
    if (node == board.self || status.services.empty()) continue;
    health.failure_permilles.push_back(status.failure_permille);
    health.late_permilles.push_back(status.late_permille);
    const std::uint32_t theirs =
        std::max(status.failure_permille, status.late_permille);
    if (theirs > mine || (theirs == mine && node < board.self)) {
      ++health.worse_peers;
    }
  }
  return health;
}

/// The value at `rank` in descending order, counted from zero; zero if there
/// are not so many values.
std::uint32_t ValueAtRank(std::size_t rank, std::vector<std::uint32_t> values) {
  if (values.size() <= rank) return 0;
  const auto wanted = values.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(values.begin(), wanted, values.end(), std::greater<>());
  return *wanted;
}

std::uint32_t Median(std::vector<std::uint32_t> values) {
  if (values.empty()) return 0;
  const std::size_t rank = (values.size() - 1) / 2;
  return ValueAtRank(rank, std::move(values));
}

/// True if an entry has reported the state of the peers since that time.
bool HasEntryRepliedSince(const AgentBoard& board, core::Time since) {
  return std::any_of(
      board.entry_links.begin(), board.entry_links.end(),
      [since](const EntryLink& link) { return link.last_reply_at > since; });
}

/// True if at least half of the slots run tasks. With less load the peers
/// probably have few tasks too: there are too few ends to compare with, and a
/// slow target does no harm.
bool IsBusy(const AgentBoard& board) {
  return 2 * board.running_tasks >= board.target.slots;
}

/// Decides whether the target is slow. When all targets slow down together,
/// each agent notices its own first. Therefore slowness must last until the
/// state of the peers has been reported, and it does not count if more peers
/// than may be ejected are slow as well.
void UpdateSlowness(AgentBoard* board, core::Time now,
                    std::uint32_t peers_late) {
  TargetHealth& health = board->health;
  const std::uint32_t bound = health.slow ? kRecoveredPermille : kSlowPermille;
  if (LatePermille(health) < bound || peers_late >= kPeersLatePermille) {
    health.slow_since = core::kNever;
    health.slow = false;
    return;
  }
  if (health.slow_since == core::kNever) health.slow_since = now;
  if (now - health.slow_since < board->policy.slow_confirm) return;
  const bool confirmed =
      IsBusy(*board) && HasEntryRepliedSince(*board, health.slow_since);
  health.slow = health.slow || confirmed;
}

void UpdateLateShare(TargetHealth* health, bool late) {
  health->late_share =
      health->late_share * kLateDecay + (late ? 1 - kLateDecay : 0);
}

}  // namespace

std::uint32_t FailurePermille(const TargetHealth& health) {
  if (health.decayed_ends < kMinDecayedEnds) return 0;
  return static_cast<std::uint32_t>(kPermille * health.decayed_failures /
                                    health.decayed_ends);
}

std::uint32_t LatePermille(const TargetHealth& health) {
  return static_cast<std::uint32_t>(kPermille * health.late_share);
}

core::Time ComputeLateTime(const AgentBoard& board, core::Time now,
                           core::Duration usual_run) {
  const std::int64_t factor = board.policy.late_factor;
  if (factor == 0 || usual_run.count() <= 0) return core::kNever;
  return now + std::max(factor * usual_run, usual_run + kMinLateness);
}

void RecordTaskStart(AgentBoard* board, core::Time now, const TaskKey& key) {
  TargetHealth& health = board->health;
  if (!health.ejected) return;
  health.next_trial_at = now + board->policy.trial_interval;
  health.running_trial = key;
}

void RecordTaskEnd(AgentBoard* board, bool ok, core::Duration run_time) {
  TargetHealth& health = board->health;
  health.decayed_ends = health.decayed_ends * kDecay + 1;
  health.decayed_failures = health.decayed_failures * kDecay + (ok ? 0 : 1);
  if (!ok) return;
  if (health.ejected) health.decayed_failures *= kTrialDecay;
  if (health.mean_run.count() == 0) {
    health.mean_run = run_time;
    return;
  }
  const double mean = static_cast<double>(health.mean_run.count());
  const double run = static_cast<double>(run_time.count());
  health.mean_run = core::Duration(
      static_cast<std::int64_t>(mean + kMeanWeight * (run - mean)));
}

void RecordLateTask(AgentBoard* board, core::Time now) {
  const std::uint32_t before = LatePermille(board->health);
  UpdateLateShare(&board->health, true);
  // Report to the peers soon; otherwise each agent would take its own target
  // for the only slow one.
  const bool crossed = before < kPeersLatePermille &&
                       LatePermille(board->health) >= kPeersLatePermille;
  if (crossed) ScheduleHeartbeatNow(board, now);
}

void RecordTimeliness(AgentBoard* board, core::Time now, const TaskKey& key,
                      bool ok, core::Time late_at) {
  TargetHealth& health = board->health;
  const bool trial = health.running_trial == key;
  if (trial) health.running_trial.reset();
  const bool in_time = late_at != core::kNever && now < late_at;
  if (late_at != core::kNever && !in_time) RecordLateTask(board, now);
  if (in_time && ok) UpdateLateShare(&health, false);
  if (!trial || !health.slow) return;
  if (in_time && ok) health.late_share *= kTrialDecay;
  // After a trial in time the next one may start at once.
  health.next_trial_at =
      in_time && ok ? now : now + board->policy.trial_interval;
}

bool IsTrialAllowed(const AgentBoard& board, core::Time now) {
  return board.open_pulls.empty() && !board.health.running_trial.has_value() &&
         now >= board.health.next_trial_at;
}

void UpdateEjection(AgentBoard* board, core::Time now) {
  TargetHealth& health = board->health;
  const PeerHealth peers = CollectPeerHealth(*board);
  const std::size_t allowed =
      (peers.failure_permilles.size() + 1) / kAgentsPerEjection;
  UpdateSlowness(board, now, ValueAtRank(allowed, peers.late_permilles));
  const bool failing = FailurePermille(health) >= kFailingPermille &&
                       Median(peers.failure_permilles) < kPeersFailingPermille;
  const bool eject = board->policy.ejection && (failing || health.slow) &&
                     peers.worse_peers < allowed;
  if (eject && !health.ejected) {
    health.next_trial_at = now + board->policy.trial_interval;
  }
  health.ejected = eject;
}

}  // namespace tarragon::dispatch
