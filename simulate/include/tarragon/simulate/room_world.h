#ifndef TARRAGON_SIMULATE_ROOM_WORLD_H_
#define TARRAGON_SIMULATE_ROOM_WORLD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tarragon/coordinator/policy.h"
#include "tarragon/core/clock.h"

/// Coordinating entries, gates and targets with room, in virtual time: the
/// decisions of the product under a load, without a network.

namespace tarragon::simulate {

/// A kind of job, as clients submit it.
struct JobKind {
  std::string name;
  /// Jobs a second over all entries.
  double arrivals_per_second = 0;
  double mean_tasks = 1;
  std::uint32_t max_tasks = 1;
  core::Duration mean_run{0};
  core::Duration max_run{0};
  std::int64_t millicores = 1600;
  std::uint32_t priority = 0;
  /// What a job in time is worth; late it is worth `late_share` of that.
  double worth = 1;
};

/// A spell in which something differs.
struct Disturbance {
  core::Duration from{0};
  core::Duration until{0};
  /// Factor of the arrivals of `kind`, or of all kinds if it is empty.
  double arrival_factor = 1;
  std::string kind;
  /// Targets that are affected, from the first.
  std::uint32_t affected_targetsmillicores = 0;
  /// Run times there are so much longer.
  double run_time_factor = 1;
  /// Share of the runs there that fail at once.
  double failure_share = 0;
  /// Share of the runs there that never end by themselves.
  double hang_share = 0;
};

/// What is played.
struct CoordinatorPlan {
  std::uint64_t seed = 1;
  std::uint32_t entries = 4;
  /// Millicores of each target.
  std::vector<std::int64_t> targets;
  std::vector<JobKind> kinds;
  std::vector<Disturbance> disturbances;
  core::Duration length{std::chrono::seconds(30)};
  /// How long a client waits.
  core::Duration client_timeout{std::chrono::seconds(5)};
  /// Shares of the clients by entry; empty for equal shares.
  std::vector<double> entry_shares;
  /// One way between an entry and a gate of the same failure domain, and of
  /// different ones.
  core::Duration same_domain_delay{std::chrono::microseconds(500)};
  core::Duration cross_domain_delay{std::chrono::microseconds(500)};
  /// Until a target answers an order.
  core::Duration order_delay{std::chrono::microseconds(1500)};
  double stretch = 1.6;
  core::Duration latency_target{std::chrono::milliseconds(60)};
  coordinator::Policy policy;
};

/// What the clients of one kind got.
struct KindResult {
  std::uint64_t submitted = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  /// Worth that was asked for and got.
  double offered_worth = 0;
  double earned_worth = 0;
  /// Sum of the waits of refused clients.
  core::Duration refused_wait_sum{0};
};

/// What all clients got.
struct CoordinatorResult {
  std::map<std::string, KindResult> kinds;
  /// Share of all worth that was earned.
  double earned_share = 0;
  /// The same of the kind that was served worst.
  double worst_kind_share = 0;
  /// Millicore-seconds of runs that were stopped or whose job got no result.
  double wasted_millicore_seconds = 0;
};

/// Two users' kinds of job, with the mean load of their targets at 0.62.
CoordinatorPlan MakeDefaultPlan();

/// The same with eight entries of which one has four times the clients of
/// another, across failure domains.
CoordinatorPlan MakeUnequalEntriesPlan();

/// Plays the plan. The same plan gives the same result.
CoordinatorResult SimulateCoordinators(const CoordinatorPlan& plan);

}  // namespace tarragon::simulate

#endif  // TARRAGON_SIMULATE_ROOM_WORLD_H_
