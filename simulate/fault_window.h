#ifndef TARRAGON_SIMULATE_FAULT_WINDOW_H_
#define TARRAGON_SIMULATE_FAULT_WINDOW_H_

#include <cstddef>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/simulate/simulation.h"

/// The time in which a fault lasts, and how the slots were used in it.

namespace tarragon::simulate {

/// A task as it ran at a target.
struct RunInterval {
  std::size_t worker = 0;
  core::Time from;
  core::Time to;
};

/// True while `fault` is the scenario's and strikes this worker. `begin` is the
/// moment of the first arrivals.
bool IsFaultActive(const Scenario& scenario, core::Time begin, core::Time now,
                   Fault fault, std::size_t worker);

/// The scenario's fault leaves this worker useful.
bool IsUsableUnderFault(const Scenario& scenario, std::size_t worker);

/// Share of the slots left by the fault that ran tasks while it lasted, from 0
/// to 1.
double ComputeFaultWindowUse(const Scenario& scenario, core::Time begin,
                             std::size_t workers,
                             const std::vector<RunInterval>& intervals);

}  // namespace tarragon::simulate

#endif  // TARRAGON_SIMULATE_FAULT_WINDOW_H_
