#include "room_releases.h"

#include <algorithm>
#include <cstddef>

namespace tarragon::coordinator {
namespace {

/// A target ends a run within this time after its stop.
constexpr core::Duration kStopTime = std::chrono::milliseconds(50);
/// An overdue run is expected to take a further share of its time so far: 1
/// divided by this. Run times of one kind vary by 40 %, so that the mean
/// remaining time grows with the time so far.
constexpr int kOverdueDivisor = 4;
/// Rows of a report. A task needs at most twice the room of the smallest one,
/// so more releases are seldom needed for it.
constexpr std::size_t kMaxRows = 4;

}  // namespace

core::Time EstimateRunEnd(const GateRun& run, core::Time now) {
  if (run.phase != RunPhase::kStarting && run.phase != RunPhase::kRunning) {
    return core::kNever;
  }
  if (run.stop_requested) return now + kStopTime;
  if (run.expected_run_time.count() <= 0) return core::kNever;
  const core::Time began =
      run.phase == RunPhase::kRunning ? run.started_at : run.ordered_at;
  return std::max(began + run.expected_run_time,
                  now + (now - began) / kOverdueDivisor);
}

std::vector<ExpectedRelease> FindReleases(const GateBoard& board,
                                          core::Time now) {
  std::vector<ExpectedRelease> releases;
  releases.reserve(board.runs.size());
  for (const auto& [ref, run] : board.runs) {
    const core::Time at = EstimateRunEnd(run, now);
    if (at != core::kNever) releases.push_back({at, run.room});
  }
  for (const auto& [address, home] : board.homes) {
    if (!home.offer.has_value()) continue;
    if (home.offer->expected_end == core::kNever) continue;
    releases.push_back({home.offer->expected_end, home.offer->room});
  }
  std::sort(releases.begin(), releases.end(),
            [](const ExpectedRelease& a, const ExpectedRelease& b) {
              return a.at < b.at;
            });
  return releases;
}

core::Time FindTimeOfRoom(const std::vector<ExpectedRelease>& releases,
                          core::Time now, const Room& free, const Room& need) {
  Room sum = free;
  if (Fits(need, sum)) return now;
  for (const ExpectedRelease& each : releases) {
    sum = sum + each.room;
    if (Fits(need, sum)) return each.at;
  }
  return core::kNever;
}

Room SumReleases(const std::vector<ExpectedRelease>& releases, core::Time at) {
  Room sum;
  for (const ExpectedRelease& each : releases) {
    if (each.at > at) break;
    sum = sum + each.room;
  }
  return sum;
}

std::vector<RoomRelease> MakeReleaseRows(
    const std::vector<ExpectedRelease>& releases, core::Time now,
    std::int64_t claimed) {
  std::vector<RoomRelease> rows;
  std::int64_t sum = -claimed;
  for (const ExpectedRelease& each : releases) {
    sum += each.room.millicores;
    if (sum <= 0) continue;
    rows.push_back({each.at - now, sum});
    if (rows.size() == kMaxRows) break;
  }
  return rows;
}

}  // namespace tarragon::coordinator
