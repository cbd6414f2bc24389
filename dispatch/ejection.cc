#include "ejection.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "view.h"

namespace tarragon::dispatch {
namespace {

/// Weight of the past at each new end.
constexpr double kDecay = 0.9;
/// Ends, after decay, that are too few to judge.
constexpr double kLeastEnds = 3.0;
/// A target above the first and peers below the second mean ejection.
constexpr std::uint32_t kEjectPermille = 500;
constexpr std::uint32_t kPeersPermille = 250;
/// Weight of the past in the share of late tasks. The share starts at zero, so
/// that a few late tasks alone eject nothing.
constexpr double kLateDecay = 0.92;
/// A target above the first share of late tasks, with its peers below the
/// second, is slow until trials bring it below the third.
constexpr std::uint32_t kSlowPermille = 400;
constexpr std::uint32_t kPeersLatePermille = 200;
constexpr std::uint32_t kFastPermille = 150;
/// A task is not late before it has run longer than usual by this; scheduling
/// delays must not make short tasks late.
constexpr core::Duration kLeastLateness = std::chrono::milliseconds(50);
/// At most one target in this many is ejected.
constexpr std::size_t kEjectedShare = 4;
/// What a success during ejection leaves of the failures counted, and a trial
/// in time of the late tasks.
constexpr double kTrialDecay = 0.5;
constexpr double kMeanWeight = 0.1;
constexpr int kPermille = 1000;

/// What the other agents that offer a target tell of theirs.
struct PeerHealth {
  std::vector<std::uint32_t> failures;
  std::vector<std::uint32_t> late;
  /// Those that go before this target when few may be ejected.
  std::size_t worse = 0;
};

PeerHealth ReadPeers(const AgentBoard& board) {
  const std::uint32_t mine =
      std::max(FailurePermille(board.health), LatePermille(board.health));
  PeerHealth health;
  for (const auto& [node, peer] : board.peers) {
    const AgentStatus& status = peer.status;
    if (node == board.self || status.services.empty()) continue;
    health.failures.push_back(status.failure_permille);
    health.late.push_back(status.late_permille);
    const std::uint32_t theirs =
        std::max(status.failure_permille, status.late_permille);
    if (theirs > mine || (theirs == mine && node < board.self)) ++health.worse;
  }
  return health;
}

/// The largest value but `larger`; zero when there are no more.
std::uint32_t LargestBut(std::size_t larger,
                         std::vector<std::uint32_t> values) {
  if (values.size() <= larger) return 0;
  const auto wanted = values.begin() + static_cast<std::ptrdiff_t>(larger);
  std::nth_element(values.begin(), wanted, values.end(), std::greater<>());
  return *wanted;
}

std::uint32_t Median(std::vector<std::uint32_t> values) {
  if (values.empty()) return 0;
  const std::size_t larger = (values.size() - 1) / 2;
  return LargestBut(larger, std::move(values));
}

/// An entry has told of the peers since then.
bool HeardSince(const AgentBoard& board, core::Time since) {
  return std::any_of(
      board.links.begin(), board.links.end(),
      [since](const EntryLink& link) { return link.heard > since; });
}

/// Half of the slots run tasks. With fewer, so do those of the peers, which
/// then have too few ends to compare with, and a slow target does no harm.
bool IsBusy(const AgentBoard& board) {
  return 2 * board.running >= board.target.slots;
}

/// Decides whether the target is slow. When all slow down together each agent
/// sees its own target first: only what lasts until the peers were heard of
/// counts, and one more of them than may be ejected must not be slow as well.
void ReviewSlowness(AgentBoard* board, core::Time now,
                    std::uint32_t peers_late) {
  TargetHealth& health = board->health;
  const std::uint32_t bound = health.slow ? kFastPermille : kSlowPermille;
  if (LatePermille(health) < bound || peers_late >= kPeersLatePermille) {
    health.slow_since = core::kNever;
    health.slow = false;
    return;
  }
  if (health.slow_since == core::kNever) health.slow_since = now;
  if (now - health.slow_since < board->policy.slow_confirm) return;
  const bool confirmed =
      IsBusy(*board) && HeardSince(*board, health.slow_since);
  health.slow = health.slow || confirmed;
}

void CountPace(TargetHealth* health, bool late) {
  health->late = health->late * kLateDecay + (late ? 1 - kLateDecay : 0);
}

}  // namespace

std::uint32_t FailurePermille(const TargetHealth& health) {
  if (health.ends < kLeastEnds) return 0;
  return static_cast<std::uint32_t>(kPermille * health.failures / health.ends);
}

std::uint32_t LatePermille(const TargetHealth& health) {
  return static_cast<std::uint32_t>(kPermille * health.late);
}

core::Time LateAt(const AgentBoard& board, core::Time now,
                  core::Duration usual_run) {
  const std::int64_t factor = board.policy.late_factor;
  if (factor == 0 || usual_run.count() <= 0) return core::kNever;
  return now + std::max(factor * usual_run, usual_run + kLeastLateness);
}

void RecordStart(AgentBoard* board, core::Time now, const TaskKey& key) {
  TargetHealth& health = board->health;
  if (!health.ejected) return;
  health.next_trial = now + board->policy.trial_interval;
  health.trial = key;
}

void RecordEnd(AgentBoard* board, bool ok, core::Duration run_time) {
  TargetHealth& health = board->health;
  health.ends = health.ends * kDecay + 1;
  health.failures = health.failures * kDecay + (ok ? 0 : 1);
  if (!ok) return;
  if (health.ejected) health.failures *= kTrialDecay;
  if (health.mean_run.count() == 0) {
    health.mean_run = run_time;
    return;
  }
  const double mean = static_cast<double>(health.mean_run.count());
  const double run = static_cast<double>(run_time.count());
  health.mean_run = core::Duration(
      static_cast<std::int64_t>(mean + kMeanWeight * (run - mean)));
}

void RecordLate(AgentBoard* board, core::Time now) {
  const std::uint32_t before = LatePermille(board->health);
  CountPace(&board->health, true);
  // The peers must know soon, or each would believe that it alone is slow.
  const bool crossed = before < kPeersLatePermille &&
                       LatePermille(board->health) >= kPeersLatePermille;
  if (crossed) ScheduleHeartbeatNow(board, now);
}

void RecordPace(AgentBoard* board, core::Time now, const TaskKey& key, bool ok,
                core::Time late_at) {
  TargetHealth& health = board->health;
  const bool trial = health.trial == key;
  if (trial) health.trial.reset();
  const bool in_time = late_at != core::kNever && now < late_at;
  if (late_at != core::kNever && !in_time) RecordLate(board, now);
  if (in_time && ok) CountPace(&health, false);
  if (!trial || !health.slow) return;
  if (in_time && ok) health.late *= kTrialDecay;
  // A trial in time is followed by the next at once.
  health.next_trial = in_time && ok ? now : now + board->policy.trial_interval;
}

bool MayTry(const AgentBoard& board, core::Time now) {
  return board.pulls.empty() && !board.health.trial.has_value() &&
         now >= board.health.next_trial;
}

void ReviewEjection(AgentBoard* board, core::Time now) {
  TargetHealth& health = board->health;
  const PeerHealth peers = ReadPeers(*board);
  const std::size_t allowed = (peers.failures.size() + 1) / kEjectedShare;
  ReviewSlowness(board, now, LargestBut(allowed, peers.late));
  const bool failing = FailurePermille(health) >= kEjectPermille &&
                       Median(peers.failures) < kPeersPermille;
  const bool eject = board->policy.ejection && (failing || health.slow) &&
                     peers.worse < allowed;
  if (eject && !health.ejected) {
    health.next_trial = now + board->policy.trial_interval;
  }
  health.ejected = eject;
}

}  // namespace tarragon::dispatch
