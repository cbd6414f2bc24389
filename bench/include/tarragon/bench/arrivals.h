#ifndef TARRAGON_BENCH_ARRIVALS_H_
#define TARRAGON_BENCH_ARRIVALS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "tarragon/bench/preset.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

namespace tarragon::bench {

/// One job as it is planned before the run.
struct PlannedJob {
  /// When it is due, from the start of the run.
  core::Duration at{0};
  core::ServiceId service;
  bool idempotent = true;
  core::TenantId tenant;
  /// Index into Preset::sizes.
  std::size_t size_class = 0;
  /// Run time of each task, in whole milliseconds.
  std::vector<core::Duration> runs;

  bool operator==(const PlannedJob&) const = default;
};

/// A whole run, known before it begins.
struct RunPlan {
  Preset preset;
  /// Work that arrives, in thousandths of what the slots can do.
  std::uint32_t load_permille = 700;
  /// How long jobs arrive.
  core::Duration length{std::chrono::seconds(30)};
  std::uint64_t seed = 1;
  /// In the order of their arrival.
  std::vector<PlannedJob> jobs;
};

/// Plans Poisson arrivals. Equal arguments give equal plans. With another load
/// the same jobs come closer together or further apart.
RunPlan PlanRun(const Preset& preset, std::uint32_t load_permille,
                core::Duration length, std::uint64_t seed);

/// Sum of the run times of a job's tasks.
core::Duration Work(const PlannedJob& job);

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_ARRIVALS_H_
