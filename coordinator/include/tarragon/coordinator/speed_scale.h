#ifndef TARRAGON_COORDINATOR_SPEED_SCALE_H_
#define TARRAGON_COORDINATOR_SPEED_SCALE_H_

#include "tarragon/core/clock.h"

namespace tarragon::coordinator {

/// What the speeds that the gates report have in common, at an entry.
struct SpeedScale {
  /// Geometric mean of the speeds of usable targets, in thousandths. The run
  /// times that an entry expects are those at a target of this speed.
  double mean_permille = 1000;
  /// Some target is considerably faster or slower than the mean.
  bool differ = false;
  /// Longest mean run time of a queue.
  core::Duration longest_run{0};
  core::Time computed_at{-std::chrono::hours(1)};
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_SPEED_SCALE_H_
