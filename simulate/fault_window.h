#ifndef TARRAGON_SIMULATE_FAULT_WINDOW_H_
#define TARRAGON_SIMULATE_FAULT_WINDOW_H_

#include <cstddef>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/simulate/simulation.h"

/// When a scenario's fault is active, which workers it affects and how the
/// remaining slots were used meanwhile.

namespace tarragon::simulate {

/// The interval in which a target ran one task.
struct RunInterval {
  std::size_t worker = 0;
  core::Time from;
  core::Time to;
};

/// True if `fault` is the scenario's fault and affects `worker` at `now`.
/// `begin` is the time at which arrivals start.
bool IsFaultActive(const Scenario& scenario, core::Time begin, core::Time now,
                   Fault fault, std::size_t worker);

/// True if the scenario's fault does not affect `worker`, or affects all
/// workers alike, so that its slots count as remaining capacity.
bool IsUsableUnderFault(const Scenario& scenario, std::size_t worker);

/// Returns the share, from 0 to 1, of the remaining slots' time that was used
/// by tasks while the fault lasted.
double ComputeFaultWindowUse(const Scenario& scenario, core::Time begin,
                             std::size_t workers,
                             const std::vector<RunInterval>& intervals);

}  // namespace tarragon::simulate

#endif  // TARRAGON_SIMULATE_FAULT_WINDOW_H_
