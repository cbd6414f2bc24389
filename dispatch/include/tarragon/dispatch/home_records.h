#ifndef TARRAGON_DISPATCH_HOME_RECORDS_H_
#define TARRAGON_DISPATCH_HOME_RECORDS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/job.h"

/// What the home knows of its jobs and of the tasks that wait.

namespace tarragon::dispatch {

enum class TaskState : std::uint8_t {
  kQueued,    // At the home; nobody else may start it.
  kAssigned,  // Sent to an executor, which may have started it.
  kEnded,     // Its result is recorded.
};

/// One task at its home.
struct HomeTask {
  TaskSpec spec;
  TaskState state = TaskState::kQueued;
  core::Attempt attempt;
  /// How often it was sent to an executor.
  std::uint32_t placements = 0;
  /// Where it was sent last; set unless queued.
  core::NodeId executor;
  /// When it was sent last.
  core::Time placed_at;
  /// The executor said that it has started.
  bool started = false;
  /// A queued task is not placed before this moment.
  core::Time not_before;
  /// Last sign of life of the executor about this task.
  core::Time last_heard_at;
  /// When the next seal is due, and since when seals go unanswered.
  core::Time next_seal_at = core::kNever;
  std::optional<core::Time> seals_unanswered_since;
  std::string result;
};

/// An entry that waits for the answer.
struct Waiter {
  core::NodeId entry;
  std::uint64_t request = 0;

  bool operator==(const Waiter&) const = default;
};

/// One job at its home.
struct HomeJob {
  JobSpec spec;
  std::uint64_t body_digest = 0;
  core::Time arrived_at;
  core::Time deadline;
  JobAnswer answer;
  std::vector<HomeTask> tasks;
  std::uint32_t ended_tasks = 0;
  /// Longest run time of its tasks that have ended.
  core::Duration longest_run_time{0};
  std::vector<Waiter> waiters;
  /// Number in the order of arrival; the order of the queue.
  std::uint64_t arrival_number = 0;
  /// Nothing of it is due earlier while it is active; also in the board's
  /// index.
  core::Time due_at = core::kNever;
  std::vector<std::string> history;
  /// The history once the job has ended, a line for each event, and the bytes
  /// that its record is counted with from then on.
  std::string ended_history;
  std::uint64_t record_bytes = 0;
};

/// What is left of a job after its answer was dropped.
struct Tombstone {
  std::uint32_t epoch = 0;
  Outcome outcome = Outcome::kUnknown;
};

/// Why a request was answered "not run".
struct RefusedRequest {
  Reason reason = Reason::kNone;
  core::Duration retry_after{0};
};

/// The latest requests of one entry that were answered "not run".
struct EntryRefusals {
  std::map<std::uint64_t, RefusedRequest> requests;
  std::deque<std::uint64_t> oldest_first;
  /// Highest count of a request that was forgotten. What is not above it may
  /// have been refused and is not run any more.
  std::uint64_t max_forgotten_count = 0;
};

/// A task in the home's queue, ordered by arrival.
struct QueueKey {
  std::uint64_t job_number = 0;
  core::TaskIndex task;

  auto operator<=>(const QueueKey&) const = default;
};

/// The tasks of one tenant and service that wait at the home.
using TenantQueue = std::map<QueueKey, core::JobKey>;

/// The home's waiting tasks of one service.
struct ServiceQueue {
  std::map<core::TenantId, TenantQueue> tenants;
  std::uint32_t size = 0;
  /// Executors that were told that tasks wait here.
  std::set<core::NodeId> notified_executors;
  /// Measured run time of the service, and when a task last ended well.
  core::Duration mean_run{0};
  core::Time last_measured_at;
  /// Shortest recent run time; rises slowly until a shorter one comes.
  core::Duration shortest_run{0};
  /// Run time that nine of ten tasks stay below, over all executors, and the
  /// ends that it was estimated from.
  core::Duration usual_run{0};
  std::uint64_t measured_runs = 0;
  /// The latest ends and their executors, oldest first.
  std::deque<std::pair<core::Time, core::NodeId>> recent_ends;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_HOME_RECORDS_H_
