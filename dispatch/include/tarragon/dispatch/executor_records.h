#ifndef TARRAGON_DISPATCH_EXECUTOR_RECORDS_H_
#define TARRAGON_DISPATCH_EXECUTOR_RECORDS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/message.h"

/// What the executor knows of its tasks, of its target and of the homes.

namespace tarragon::dispatch {

enum class ExecutionState : std::uint8_t {
  kWaiting,    // In the executor's queue; only without late binding.
  kRunning,    // Handed to the target.
  kFinished,   // Ended; the home has not confirmed it yet.
  kConfirmed,  // Ended, and the home has recorded it.
  kSealed,     // Never started and never will, up to this attempt.
};

/// One task at its executor.
struct Execution {
  ExecutionState state = ExecutionState::kSealed;
  core::Attempt attempt;
  core::NodeId home;
  core::ServiceId service;
  core::TenantId tenant;
  core::Time started_at;
  /// The target was told to stop it; its end says nothing of the target.
  bool stop_requested = false;
  /// When a running task is late, to repeat the end, or to forget the record;
  /// also in the board's index. A running task that is late has none.
  core::Time due_at = core::kNever;
  core::Time give_up_at = core::kNever;
  Finished finished;
  /// Kept only while the task waits at the executor.
  std::optional<Assign> waiting_assign;
};

/// A task of a job.
struct TaskKey {
  core::JobKey key;
  core::TaskIndex task;

  bool operator==(const TaskKey&) const = default;
  auto operator<=>(const TaskKey&) const = default;
};

/// Tasks that wait for this executor at a home.
struct RemoteWant {
  std::uint32_t waiting = 0;
  /// Since when the oldest waits, on this process's clock.
  core::Time oldest_since;
};

/// A slot that is kept free until a home answers.
struct OpenPull {
  core::NodeId home;
  core::ServiceId service;
  core::Time expires_at;
};

/// What this executor last told a home of its load.
struct ReportedLoad {
  std::uint32_t free_slots = 0;
  core::Time reported_at;
  /// Last task or pull answer from this home.
  core::Time last_work_at;
  std::uint64_t assigns_seen = 0;
};

/// The target beside the agent, as it announced itself.
struct Target {
  bool present = false;
  core::Address address;
  std::vector<core::ServiceId> services;
  std::uint32_t slots = 0;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  bool leaving = false;
  /// Tasks that the target runs and that this process did not start.
  std::uint32_t foreign_running = 0;
  /// The same by the last announcement alone.
  std::uint32_t announced_foreign_running = 0;
  core::Time announced_at;
};

/// Recent ends at the target, decayed, for ejection and admission.
struct TargetHealth {
  double decayed_ends = 0;
  double decayed_failures = 0;
  core::Duration mean_run{0};
  /// Share of late tasks, weighted towards recent ones.
  double late_share = 0;
  /// Since when the share of late tasks tells that the target is slow.
  core::Time slow_since = core::kNever;
  /// The target is slow and that is confirmed.
  bool slow = false;
  /// While ejected: when the next single trial may start, and the one that
  /// runs.
  core::Time next_trial_at;
  std::optional<TaskKey> running_trial;
  bool ejected = false;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_EXECUTOR_RECORDS_H_
