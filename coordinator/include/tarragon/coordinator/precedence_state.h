#ifndef TARRAGON_COORDINATOR_PRECEDENCE_STATE_H_
#define TARRAGON_COORDINATOR_PRECEDENCE_STATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

namespace tarragon::coordinator {

/// Tasks of one priority that arrived or started in one slice of time.
struct DemandSlice {
  /// Number of the slice, counted from the start of the clock.
  std::int64_t number = -1;
  std::uint64_t offered_tasks = 0;
  /// Started by their latest start.
  std::uint64_t timely_tasks = 0;
  /// Offered, in millicore-milliseconds.
  std::uint64_t offered_work = 0;
};

inline constexpr std::size_t kDemandSlices = 10;

/// What an entry has measured of the tasks of one priority.
struct PriorityRecord {
  /// Work of the waiting tasks that are not late, in millicore-milliseconds.
  std::int64_t waiting_work = 0;
  /// The last slices, by their number modulo `kDemandSlices`.
  std::array<DemandSlice, kDemandSlices> slices;
  /// Treated as the highest priority, because too few of its tasks have started
  /// in time.
  bool raised = false;
};

/// Demand of the other entries for one priority: a moving average over the
/// reports of all gates.
struct OthersDemand {
  /// In millicore-milliseconds.
  double waiting_work = 0;
  double arriving_millicores = 0;
};

/// State from which an entry decides whether priorities order its waiting
/// tasks.
struct Precedence {
  /// The service whose queues have different priorities; the first by name if
  /// there are several, empty if there is none. Only its tasks are counted.
  core::ServiceId service;
  /// Room is short, so that priority comes before the latest start.
  bool room_short = false;
  /// Since when little work waits, while `room_short`.
  std::optional<core::Time> calm_since;
  /// The lowest priority number that is configured.
  std::uint32_t highest = 0;
  /// By priority.
  std::map<std::uint32_t, PriorityRecord> records;
  std::map<std::uint32_t, OthersDemand> others;
  /// When `others` was last updated; empty if never.
  std::optional<core::Time> others_at;
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_PRECEDENCE_STATE_H_
