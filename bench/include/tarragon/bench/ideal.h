#ifndef TARRAGON_BENCH_IDEAL_H_
#define TARRAGON_BENCH_IDEAL_H_

#include <cstdint>
#include <vector>

#include "tarragon/core/clock.h"

namespace tarragon::bench {

/// What the ideal has to know of one job.
struct IdealJob {
  core::Duration at{0};
  std::vector<core::Duration> runs;
};

/// Response times under a central first-come-first-served queue that knows all
/// slots at every moment and costs no time: the end of a job's last task less
/// its arrival. `jobs` must be in the order of arrival; `slots` at least 1.
/// The result has the order of `jobs`; a job without tasks has 0.
std::vector<core::Duration> SimulateIdeal(const std::vector<IdealJob>& jobs,
                                          std::uint32_t slots);

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_IDEAL_H_
