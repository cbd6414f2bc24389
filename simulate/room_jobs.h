#ifndef TARRAGON_SIMULATE_ROOM_JOBS_H_
#define TARRAGON_SIMULATE_ROOM_JOBS_H_

#include <cstdint>
#include <random>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/simulate/room_world.h"

namespace tarragon::simulate {

/// A job that was submitted, as its client knows it.
struct ClientJob {
  const JobKind* kind = nullptr;
  core::Time submitted_at;
  core::Duration objective{0};
  double worth = 0;
  /// Of each task.
  std::vector<core::Duration> task_run_times;
  /// What the client says a task takes.
  core::Duration declared_run_time{0};
  /// Millicore-seconds that its runs have taken.
  double used_millicore_seconds = 0;
};

/// Draws a job of the kind: width and run times about their means, what the
/// client declares about the truth.
ClientJob MakeClientJob(const CoordinatorPlan& plan, const JobKind* kind,
                        std::mt19937_64* random);

inline double ToSeconds(core::Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

inline core::Duration FromSeconds(double seconds) {
  return core::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace tarragon::simulate

#endif  // TARRAGON_SIMULATE_ROOM_JOBS_H_
