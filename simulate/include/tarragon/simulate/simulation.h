#ifndef TARRAGON_SIMULATE_SIMULATION_H_
#define TARRAGON_SIMULATE_SIMULATION_H_

#include <cstdint>
#include <string>

#include "tarragon/bench/arrivals.h"
#include "tarragon/bench/report.h"
#include "tarragon/core/clock.h"
#include "tarragon/dispatch/policy.h"

namespace tarragon::simulate {

/// The fault that is injected into a simulated run.
enum class Fault : std::uint8_t {
  kNone,
  /// Operators take the first failure domain out of service and bring it back.
  kDomainOut,
  /// The first target fails every task at once.
  kTargetFails,
  /// The first target runs at a tenth of its speed.
  kTargetLingers,
  /// All targets run at a tenth of their speed.
  kAllLinger,
  /// The first target's VM dies and is not replaced.
  kTargetDies,
};

/// Input of one simulated run.
struct Scenario {
  bench::RunPlan plan;
  dispatch::Policy policy;
  std::uint32_t domains = 4;
  /// One-way delay between two processes of the system.
  core::Duration network_delay{std::chrono::microseconds(500)};
  Fault fault = Fault::kNone;
  core::Duration fault_from{std::chrono::seconds(10)};
  core::Duration fault_to{std::chrono::seconds(20)};
};

/// Measurements of one simulated run.
struct Result {
  bench::Report report;
  /// Share of the remaining slots' time that was used between the start and the
  /// end of the fault. Remaining slots are those of targets that the fault
  /// leaves usable.
  double fault_window_use = 0;
  /// Time for which targets that the fault leaves usable were ejected, summed
  /// over these targets.
  core::Duration healthy_ejected{0};
};

/// Runs the decisions of one entry and all agents in virtual time, with
/// targets that run each task for its planned time. Equal scenarios give equal
/// reports, whatever the load of the host. The times exclude the cost of CPU,
/// codecs and sockets.
Result Simulate(const Scenario& scenario);

}  // namespace tarragon::simulate

#endif  // TARRAGON_SIMULATE_SIMULATION_H_
