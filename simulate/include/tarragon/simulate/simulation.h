#ifndef TARRAGON_SIMULATE_SIMULATION_H_
#define TARRAGON_SIMULATE_SIMULATION_H_

#include <cstdint>
#include <string>

#include "tarragon/bench/arrivals.h"
#include "tarragon/bench/report.h"
#include "tarragon/core/clock.h"
#include "tarragon/dispatch/policy.h"

namespace tarragon::simulate {

/// What goes wrong during a simulated run.
enum class Fault : std::uint8_t {
  kNone,
  /// Operators take the first failure domain out and bring it back.
  kDomainOut,
  /// The first target fails every task at once.
  kTargetFails,
  /// The first target runs at a tenth of its speed.
  kTargetLingers,
  /// All targets run at a tenth of their speed.
  kAllLinger,
  /// The first target's machine dies and is not replaced.
  kTargetDies,
};

/// One simulated run.
struct Scenario {
  bench::RunPlan plan;
  dispatch::Policy policy;
  std::uint32_t domains = 4;
  /// One way between two processes of the system.
  core::Duration network_delay{std::chrono::microseconds(500)};
  Fault fault = Fault::kNone;
  core::Duration fault_from{std::chrono::seconds(10)};
  core::Duration fault_to{std::chrono::seconds(20)};
};

/// What one simulated run showed.
struct Result {
  bench::Report report;
  /// Share of the time of the remaining slots, those of targets that the fault
  /// leaves useful, that was used between the start and the end of the fault.
  double fault_window_use = 0;
  /// Time that such targets were ejected, summed over them.
  core::Duration healthy_ejected{0};
};

/// Runs the decisions of one entry and all agents in virtual time, with
/// targets that run each task as long as planned. Equal scenarios give equal
/// reports, whatever else the machine does. The cost of processors, codecs and
/// sockets is not part of the times.
Result Simulate(const Scenario& scenario);

}  // namespace tarragon::simulate

#endif  // TARRAGON_SIMULATE_SIMULATION_H_
