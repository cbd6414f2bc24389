#ifndef TARRAGON_SIMULATE_ROOM_JOBS_H_
#define TARRAGON_SIMULATE_ROOM_JOBS_H_

#include <cstdint>
#include <random>
#include <set>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/simulate/room_world.h"

namespace tarragon::simulate {

/// A submitted job as its client knows it.
struct ClientJob {
  const JobKind* kind = nullptr;
  core::Time submitted_at;
  core::Duration objective{0};
  double worth = 0;
  /// One for each task.
  std::vector<core::Duration> task_run_times;
  /// Run time of a task as declared by the client.
  core::Duration declared_run_time{0};
  /// Summed over the runs started, at their planned run time.
  double used_millicore_seconds = 0;
  /// Room of each task.
  std::int64_t millicores = 0;
  /// Tasks that have started, and their summed wait.
  std::set<std::uint32_t> started;
  core::Duration wait_sum{0};
  /// Its first task crashes each target that starts it.
  bool deadly = false;
  std::uint32_t crashes = 0;
  /// One of its runs never ends by itself.
  bool hangs = false;
};

/// Draws a random job of `kind`. The task count and run times vary around their
/// means, and the declared run time varies around the real one.
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
