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

/// Records of the home: its jobs and its queues of waiting tasks.

namespace tarragon::dispatch {

enum class TaskState : std::uint8_t {
  kQueued,    // In the home's queue; no executor may start it.
  kAssigned,  // Sent to an executor, which may have started it.
  kEnded,     // Its result is recorded.
};

/// One task at its home.
struct HomeTask {
  TaskSpec spec;
  TaskState state = TaskState::kQueued;
  core::Attempt attempt;
  /// Number of times that it was sent to an executor.
  std::uint32_t placements = 0;
  /// The executor that it was last sent to; set unless queued.
  core::NodeId executor;
  /// When it was sent last.
  core::Time placed_at;
  /// A queued task is not placed before this time.
  core::Time not_before;
  /// When the next seal is sent, and since when seals have not been answered. A
  /// seal asks the executor about the task and forbids it to start an attempt
  /// that it has not started yet.
  core::Time next_seal_at = core::kNever;
  std::optional<core::Time> seals_unanswered_since;
  std::string result;
};

/// A request of an entry that waits for the job's answer.
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
  /// Longest run time of its ended tasks.
  core::Duration longest_run_time{0};
  std::vector<Waiter> waiters;
  /// Sequence number in the order of arrival, which is the order of the queue.
  std::uint64_t arrival_number = 0;
  /// Earliest time at which the active job may need attention: its deadline or
  /// a seal. It is also the job's key in `jobs_by_due_time`.
  core::Time due_at = core::kNever;
  std::vector<std::string> history;
  /// After the job has ended: its history in one text, a line for each event,
  /// and the size of its record as counted in `bytes_held`.
  std::string ended_history;
  std::uint64_t record_bytes = 0;
};

/// What remains of a job after its answer was dropped, so that its key cannot
/// run again.
struct Tombstone {
  std::uint32_t epoch = 0;
  Outcome outcome = Outcome::kUnknown;
};

/// Why a request was answered "not run".
struct RefusedRequest {
  Reason reason = Reason::kNone;
  core::Duration retry_after{0};
};

/// The most recent requests of one entry that were answered "not run".
struct EntryRefusals {
  std::map<std::uint64_t, RefusedRequest> requests;
  std::deque<std::uint64_t> oldest_first;
  /// Highest request count that was removed from `requests`. Requests up to
  /// this count may have been refused before and must not run.
  std::uint64_t max_forgotten_count = 0;
};

/// A task in the home's queue, ordered by arrival.
struct QueueKey {
  std::uint64_t job_number = 0;
  core::TaskIndex task;

  auto operator<=>(const QueueKey&) const = default;
};

/// The waiting tasks of one tenant and service at the home.
using TenantQueue = std::map<QueueKey, core::JobKey>;

/// The home's waiting tasks of one service, and the run times measured for it.
struct ServiceQueue {
  std::map<core::TenantId, TenantQueue> tenants;
  std::uint32_t size = 0;
  /// Executors that were notified that tasks wait here.
  std::set<core::NodeId> notified_executors;
  /// Mean run time of the service, and when a task last succeeded.
  core::Duration mean_run{0};
  core::Time last_measured_at;
  /// Shortest recent run time. It rises slowly until a shorter one is measured.
  core::Duration shortest_run{0};
  /// Estimated 90th percentile of the run time over all executors, and the
  /// number of runs that the estimate is based on.
  core::Duration usual_run{0};
  std::uint64_t measured_runs = 0;
  /// The most recent ends, each with its time and executor, oldest first.
  std::deque<std::pair<core::Time, core::NodeId>> recent_ends;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_HOME_RECORDS_H_
