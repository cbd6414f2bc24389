#ifndef TARRAGON_SIMULATE_ROOM_WORLD_H_
#define TARRAGON_SIMULATE_ROOM_WORLD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tarragon/coordinator/policy.h"
#include "tarragon/core/clock.h"

/// Simulates coordinating entries, gates and targets with limited capacity in
/// virtual time. It runs the decision code of the product, without a network.

namespace tarragon::simulate {

/// A class of jobs: its arrival rate, sizes and value.
struct JobKind {
  std::string name;
  /// Summed over all entries.
  double arrivals_per_second = 0;
  double mean_tasks = 1;
  std::uint32_t max_tasks = 1;
  core::Duration mean_run{0};
  core::Duration max_run{0};
  std::int64_t millicores = 1600;
  std::uint32_t priority = 0;
  /// Value of a mean job that completes in time; a late one earns a fixed share
  /// of it.
  double worth = 1;
  /// Share of the jobs whose first task crashes each target that starts it.
  double deadly_share = 0;
  /// Tasks of a job need between `millicores` and this; zero if all need
  /// `millicores`.
  std::int64_t max_millicores = 0;
  /// Share of the tasks that run seven times as long as the others.
  double long_share = 0;
};

/// An interval in which the load or the behaviour of some targets differs.
struct Disturbance {
  core::Duration from{0};
  core::Duration until{0};
  /// Multiplies the arrival rate of `kind`, or of all kinds if it is empty.
  double arrival_factor = 1;
  std::string kind;
  /// Number of targets affected, counted from the first.
  std::uint32_t affected_targets = 0;
  /// Multiplies the run times on the affected targets.
  double run_time_factor = 1;
  /// Share of the runs on the affected targets that fail at once.
  double failure_share = 0;
  /// Share of the runs on the affected targets that never end by themselves.
  double hang_share = 0;
  /// Not zero: the affected targets announce at `from` that they leave after
  /// this time; others join in their place at `until`.
  core::Duration notice{0};
  /// The affected targets announce at `until` that they stay after all.
  bool is_false_notice = false;
  /// The power of all processes and targets is lost from `from` until `until`.
  /// Then clients that still wait submit their jobs again at once.
  bool power_loss = false;
};

/// Input of one simulation of coordinating entries.
struct CoordinatorPlan {
  std::uint64_t seed = 1;
  std::uint32_t entries = 4;
  /// Capacity of each target.
  std::vector<std::int64_t> target_millicores;
  /// Speed of each target; empty for a speed of 1 everywhere.
  std::vector<double> target_speeds;
  std::vector<JobKind> kinds;
  std::vector<Disturbance> disturbances;
  core::Duration length{std::chrono::seconds(30)};
  /// Time after submission at which the client stops waiting for an answer.
  core::Duration client_timeout{std::chrono::seconds(5)};
  /// Relative share of the clients for each entry; empty for equal shares.
  std::vector<double> entry_shares;
  /// One-way network delay between an entry and a gate of the same failure
  /// domain, and of different ones.
  core::Duration same_domain_delay{std::chrono::microseconds(500)};
  core::Duration cross_domain_delay{std::chrono::microseconds(500)};
  /// Time until a target executes an order from its gate, and until the answer
  /// to a poll arrives.
  core::Duration order_delay{std::chrono::microseconds(1500)};
  double stretch = 1.6;
  core::Duration latency_target{std::chrono::milliseconds(60)};
  coordinator::Policy policy;
  /// Share of the tasks that run `tail_factor` times as long as the others.
  double tail_share = 0;
  double tail_factor = 1;
  /// Targets list the percent of their runs. A run that hangs stops at a random
  /// percent.
  bool lists_percent = false;
};

/// Outcomes of the jobs of one kind.
struct KindResult {
  std::uint64_t submitted = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  /// Summed worth of the jobs submitted, and of those completed.
  double offered_worth = 0;
  double earned_worth = 0;
  /// Summed time from submission to refusal.
  core::Duration refused_wait_sum{0};
  /// Ratio of duration to objective of each completed job.
  std::vector<double> relative_durations;
};

/// Outcomes of the tenth of the jobs with the smallest or largest tasks.
struct SizeResult {
  std::uint64_t submitted = 0;
  std::uint64_t in_time = 0;
  /// From submission to the start of a task, or to the answer if it has not
  /// started.
  core::Duration mean_wait{0};
};

/// Outcomes of all jobs of a simulation.
struct CoordinatorResult {
  std::map<std::string, KindResult> kinds;
  /// Earned worth divided by offered worth, over all kinds.
  double earned_share = 0;
  /// The same for the kind with the lowest share.
  double worst_kind_share = 0;
  /// Work of runs that were stopped or whose job got no result.
  double wasted_millicore_seconds = 0;
  std::uint64_t target_crashes = 0;
  /// Most crashes that one job has caused.
  std::uint32_t max_crashes_of_job = 0;
  /// Jobs with no hanging run that got no result after some of their tasks had
  /// run, and stops of runs that did not hang, of jobs that went on.
  std::uint64_t sound_jobs_given_up = 0;
  std::uint64_t sound_runs_stopped = 0;
  /// Runs that ended because their target left, and their work.
  std::uint64_t lost_runs = 0;
  double lost_millicore_seconds = 0;
  /// Starts that targets have carried out after their notice.
  std::uint64_t starts_after_notice = 0;
  core::Duration last_start_after_notice{0};
  /// Jobs submitted within 2 s after a power loss, and those of them that ended
  /// in time.
  std::uint64_t submitted_after_loss = 0;
  std::uint64_t in_time_after_loss = 0;
  SizeResult smallest_tenth;
  SizeResult largest_tenth;
  /// Mean share of the capacity that is free while a task waits.
  double free_share_while_waiting = 0;
  std::uint64_t messages = 0;
  std::uint64_t wants = 0;
  std::uint64_t returned_offers = 0;
  std::uint64_t no_room_refusals = 0;
  std::uint64_t reservations = 0;
  std::uint64_t kept_reservations = 0;
  std::uint64_t lapsed_reservations = 0;
  std::uint64_t backfills = 0;
  /// Speed of each target as learned by its gate, in thousandths.
  std::vector<std::uint32_t> learned_permille;
};

/// Returns the job kinds of two users, with a mean target load of 0.62.
CoordinatorPlan MakeDefaultPlan();

/// Returns the default plan with eight entries in several failure domains. The
/// busiest entry has four times the clients of the least busy one.
CoordinatorPlan MakeUnequalEntriesPlan();

/// Runs the plan in virtual time. Equal plans give equal results.
CoordinatorResult SimulateCoordinators(const CoordinatorPlan& plan);

}  // namespace tarragon::simulate

#endif  // TARRAGON_SIMULATE_ROOM_WORLD_H_
