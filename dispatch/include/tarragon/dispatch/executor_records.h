#ifndef TARRAGON_DISPATCH_EXECUTOR_RECORDS_H_
#define TARRAGON_DISPATCH_EXECUTOR_RECORDS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/message.h"

/// Records of the executor: its tasks, its target and the homes that it works
/// for.

namespace tarragon::dispatch {

enum class ExecutionState : std::uint8_t {
  kWaiting,    // In the executor's queue; only without late binding.
  kRunning,    // Passed to the target.
  kFinished,   // Ended; the home has not confirmed it yet.
  kConfirmed,  // Ended, and the home has recorded it.
  kSealed,     // No attempt up to this one has started or will.
};

/// One task at its executor.
struct Execution {
  ExecutionState state = ExecutionState::kSealed;
  core::Attempt attempt;
  core::NodeId home;
  core::ServiceId service;
  core::TenantId tenant;
  core::Time started_at;
  /// The target was asked to stop it, so its end is not counted in the target's
  /// health.
  bool stop_requested = false;
  /// The next time at which the record needs attention: when a running task
  /// becomes late, when the report of its end is repeated, or when the record
  /// is deleted. Never for a running task that is late already. It is also the
  /// key in `executions_by_due_time`.
  core::Time due_at = core::kNever;
  core::Time give_up_at = core::kNever;
  Finished finished;
  /// Set only while the task waits at the executor.
  std::optional<Assign> waiting_assign;
};

/// Identifies a task by its job and its index.
struct TaskKey {
  core::JobKey key;
  core::TaskIndex task;

  bool operator==(const TaskKey&) const = default;
  auto operator<=>(const TaskKey&) const = default;
};

/// The tasks of one service at one home that this executor may ask for.
struct RemoteWant {
  std::uint32_t waiting = 0;
  /// When the oldest one began to wait, on this process's clock.
  core::Time oldest_since;
};

/// A slot that is reserved until a home answers a pull (a request for a task).
struct OpenPull {
  core::NodeId home;
  core::ServiceId service;
  core::Time expires_at;
};

/// The load that this executor last reported to a home.
struct ReportedLoad {
  std::uint32_t free_slots = 0;
  core::Time reported_at;
  /// When this home last sent a task or announced waiting ones.
  core::Time last_work_at;
  std::uint64_t assigns_seen = 0;
};

/// The target on the agent's VM, as last announced.
struct Target {
  bool present = false;
  core::Address address;
  std::vector<core::ServiceId> services;
  std::uint32_t slots = 0;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  bool leaving = false;
  /// Tasks at the target that this process did not start; the lower of the last
  /// two announcements.
  std::uint32_t foreign_running = 0;
  /// The same, by the last announcement alone.
  std::uint32_t announced_foreign_running = 0;
  core::Time announced_at;
};

/// Statistics of recent tasks at the target, for ejection and admission. The
/// counts decay exponentially.
struct TargetHealth {
  double decayed_ends = 0;
  double decayed_failures = 0;
  core::Duration mean_run{0};
  /// Share of late tasks from 0 to 1, weighted towards recent ones.
  double late_share = 0;
  /// Since when the share of late tasks indicates a slow target.
  core::Time slow_since = core::kNever;
  /// The target is slow, confirmed by `slow_confirm`.
  bool slow = false;
  /// While ejected: when the next trial task may start, and the running one. At
  /// most one trial runs at a time.
  core::Time next_trial_at;
  std::optional<TaskKey> running_trial;
  bool ejected = false;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_EXECUTOR_RECORDS_H_
