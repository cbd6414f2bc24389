#ifndef TARRAGON_COORDINATOR_RUN_PROGRESS_H_
#define TARRAGON_COORDINATOR_RUN_PROGRESS_H_

#include <cstdint>
#include <optional>

#include "tarragon/coordinator/policy.h"
#include "tarragon/core/clock.h"

/// Progress of a run, from the percent that its target lists: how long the run
/// will still take, and whether it makes progress at all.

namespace tarragon::coordinator {

/// What a gate has observed of the progress of one run.
struct ProgressTrack {
  /// First known point: the start, or the first percent of a run that the gate
  /// did not start itself. Empty until a percent was listed.
  std::optional<core::Time> first_at;
  std::uint32_t first_percent = 0;
  std::uint32_t percent = 0;
  /// When `percent` was first observed.
  core::Time risen_at;
  /// Longest time between two observed rises.
  core::Duration longest_gap{0};
  /// Observations without a rise since `risen_at`, and the last one counted.
  std::uint32_t unrisen = 0;
  core::Time unrisen_at;
  /// The percent has fallen, or a listing lacked it, so it tells nothing.
  bool implausible = false;
  /// Target's clock of the last listing, in milliseconds.
  std::int64_t clock_ms = 0;
  /// When the entry was last informed; empty until then.
  std::optional<core::Time> sent_at;
};

/// What the progress of a run shows.
enum class ProgressState : std::uint8_t {
  kUnknown,
  kRising,
  /// The run makes no progress.
  kStanding,
};

/// An estimate from the progress of a run.
struct ProgressEstimate {
  ProgressState state = ProgressState::kUnknown;
  /// Time until the end; zero unless rising.
  core::Duration remaining{0};
};

/// Records a listing of the run. `started_at` is empty if the start is not
/// known. A listing that is older than the last one, by the target's clock, is
/// ignored.
void ObserveProgress(ProgressTrack* track, core::Time now,
                     std::int64_t clock_ms,
                     std::optional<core::Time> started_at,
                     std::optional<std::uint32_t> percent);

/// Estimates the rest of a run. `expected` is its expected run time, zero if
/// unknown.
ProgressEstimate EstimateProgress(const ProgressTrack& track, core::Time now,
                                  core::Duration expected,
                                  const Policy& policy);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_RUN_PROGRESS_H_
