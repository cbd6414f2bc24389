#ifndef TARRAGON_SIMULATE_RESEND_WORLD_H_
#define TARRAGON_SIMULATE_RESEND_WORLD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/coordinator/policy.h"
#include "tarragon/core/clock.h"

/// Simulates entries, gates, targets and clients that submit their jobs again,
/// under a random series of faults in virtual time, and checks that no two runs
/// of one task are at work at the same time. It runs the decision code of the
/// product; processes, connections and targets are simulated.

namespace tarragon::simulate {

/// Input of one simulation. Equal plans give equal results.
struct ResendPlan {
  std::uint64_t seed = 1;
  std::uint32_t entries = 3;
  std::uint32_t gates = 6;
  /// Jobs are submitted for this time.
  core::Duration length{std::chrono::milliseconds(7000)};
  double jobs_per_second = 18;
  /// Most faults in the series; zero for none.
  std::uint32_t max_faults = 12;
  coordinator::Policy policy;
  /// Records what the processes log in `ResendResult::trace`.
  bool trace = false;
};

/// A run as its target has seen it.
struct SimulatedRun {
  /// "JOB/STEP.INDEX#RUN".
  std::string run;
  std::string target;
  /// The entry for which the gate ordered the run.
  std::string ordered_by;
  core::Time ordered_at;
  core::Time start;
  core::Time end;
  /// How it ended, or "crashed" if its target did.
  std::string how;
};

/// Two runs of one task that were at work at the same time.
struct RunOverlap {
  SimulatedRun first;
  SimulatedRun second;
  core::Duration length{0};
};

/// Outcome of one simulation.
struct ResendResult {
  /// The series of faults, in order.
  std::vector<std::string> faults;
  std::vector<RunOverlap> overlaps;
  std::vector<std::string> trace;
  std::uint64_t jobs = 0;
  std::uint64_t completed = 0;
  /// Submissions of a job after its first, those of them that an entry has
  /// accepted as a new attempt, and jobs completed by one.
  std::uint64_t resubmitted = 0;
  std::uint64_t accepted_again = 0;
  std::uint64_t completed_again = 0;
  /// Runs that targets have started, and how they ended.
  std::uint64_t runs = 0;
  std::uint64_t done = 0;
  std::uint64_t stopped = 0;
  std::uint64_t lapsed = 0;
  std::uint64_t crashed = 0;
  /// Starts that a target has carried out late.
  std::uint64_t late_starts = 0;
};

/// Runs the plan.
ResendResult SimulateResends(const ResendPlan& plan);

/// The result in several lines, for people.
std::string FormatOverlaps(const ResendResult& result);

}  // namespace tarragon::simulate

#endif  // TARRAGON_SIMULATE_RESEND_WORLD_H_
