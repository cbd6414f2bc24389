#include "ejection.h"

#include <algorithm>
#include <vector>

namespace tarragon::dispatch {
namespace {

/// Weight of the past at each new end.
constexpr double kDecay = 0.9;
/// Ends, after decay, that are too few to judge.
constexpr double kLeastEnds = 3.0;
/// A target above the first and peers below the second mean ejection.
constexpr std::uint32_t kEjectPermille = 500;
constexpr std::uint32_t kPeersPermille = 250;
/// At most one target in this many is ejected.
constexpr std::size_t kEjectedShare = 4;
/// What a success during ejection leaves of the failures counted.
constexpr double kTrialDecay = 0.5;
constexpr double kMeanWeight = 0.1;
constexpr int kPermille = 1000;

/// Median failure share of the other agents that offer a target.
std::uint32_t PeersMedian(const std::vector<std::uint32_t>& sorted) {
  return sorted.empty() ? 0 : sorted[sorted.size() / 2];
}

}  // namespace

std::uint32_t FailurePermille(const TargetHealth& health) {
  if (health.ends < kLeastEnds) return 0;
  return static_cast<std::uint32_t>(kPermille * health.failures / health.ends);
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

void ReviewEjection(AgentBoard* board, core::Time now) {
  TargetHealth& health = board->health;
  const std::uint32_t mine = FailurePermille(health);
  std::vector<std::uint32_t> others;
  std::size_t worse = 0;
  for (const auto& [node, peer] : board->peers) {
    if (node == board->self || peer.status.services.empty()) continue;
    const std::uint32_t theirs = peer.status.failure_permille;
    others.push_back(theirs);
    if (theirs > mine || (theirs == mine && node < board->self)) ++worse;
  }
  std::sort(others.begin(), others.end());
  const std::size_t allowed = (others.size() + 1) / kEjectedShare;
  const bool eject = board->policy.ejection && mine >= kEjectPermille &&
                     PeersMedian(others) < kPeersPermille && worse < allowed;
  if (eject && !health.ejected) {
    health.next_trial = now + board->policy.trial_interval;
  }
  health.ejected = eject;
}

}  // namespace tarragon::dispatch
