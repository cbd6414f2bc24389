#ifndef TARRAGON_DISPATCH_AGENT_BOARD_H_
#define TARRAGON_DISPATCH_AGENT_BOARD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/invariant.h"
#include "tarragon/dispatch/job.h"
#include "tarragon/dispatch/kept_memory.h"
#include "tarragon/dispatch/message.h"
#include "tarragon/dispatch/policy.h"
#include "tarragon/dispatch/world.h"

namespace tarragon::dispatch {

// What the home knows of a job.

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
  core::Time placed;
  /// The executor said that it has started.
  bool started = false;
  /// A queued task is not placed before this moment.
  core::Time not_before;
  /// Last sign of life of the executor about this task.
  core::Time heard;
  /// When the next seal is due, and since when seals go unanswered.
  core::Time seal_at = core::kNever;
  std::optional<core::Time> unanswered_since;
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
  core::Time arrived;
  core::Time deadline;
  JobAnswer answer;
  std::vector<HomeTask> tasks;
  std::uint32_t ended = 0;
  /// Longest run time of its tasks that have ended.
  core::Duration longest_run{0};
  std::vector<Waiter> waiters;
  /// Number in the order of arrival; the order of the queue.
  std::uint64_t number = 0;
  /// Nothing of it is due earlier while it is active; also in the board's
  /// index.
  core::Time due = core::kNever;
  std::vector<std::string> history;
  /// The history once the job has ended, a line for each event, and the bytes
  /// that its record is counted with from then on.
  std::string ended_history;
  std::uint64_t kept_bytes = 0;
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
  std::deque<std::uint64_t> order;
  /// Highest count of a request that was forgotten. What is not above it may
  /// have been refused and is not run any more.
  std::uint64_t forgotten_up_to = 0;
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
  std::set<core::NodeId> told;
  /// Measured run time of the service, and when a task last ended well.
  core::Duration mean_run{0};
  core::Time measured_at;
  /// Shortest recent run time; rises slowly until a shorter one comes.
  core::Duration least_run{0};
  /// Run time that nine of ten tasks stay below, over all executors, and the
  /// ends that it was estimated from.
  core::Duration usual_run{0};
  std::uint64_t runs = 0;
  /// The latest ends and their executors, oldest first.
  std::deque<std::pair<core::Time, core::NodeId>> recent_ends;
};

// What the executor knows of a task.

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
  core::Time started;
  /// The target was told to stop it; its end says nothing of the target.
  bool stopped = false;
  /// When a running task is late, to repeat the end, or to forget the record;
  /// also in the board's index. A running task that is late has none.
  core::Time due = core::kNever;
  core::Time forget = core::kNever;
  Finished finished;
  /// Kept only while the task waits at the executor.
  std::optional<Assign> waiting;
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
  core::Time oldest;
};

/// A slot that is kept free until a home answers.
struct OpenPull {
  core::NodeId home;
  core::ServiceId service;
  core::Time expires;
};

/// What this executor last told a home of its load.
struct ToldLoad {
  std::uint32_t free_slots = 0;
  core::Time at;
  /// Last task or pull answer from this home.
  core::Time last_work;
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
  std::uint32_t announced_foreign = 0;
  core::Time announced;
};

/// Recent ends at the target, decayed, for ejection and admission.
struct TargetHealth {
  double ends = 0;
  double failures = 0;
  core::Duration mean_run{0};
  /// Share of late tasks, weighted towards recent ones.
  double late = 0;
  /// Since when the share of late tasks tells that the target is slow.
  core::Time slow_since = core::kNever;
  /// The target is slow and that is confirmed.
  bool slow = false;
  /// While ejected: when the next single trial may start, and the one that
  /// runs.
  core::Time next_trial;
  std::optional<TaskKey> trial;
  bool ejected = false;
};

// What the agent knows of the others.

/// Another agent, or this one, as a possible executor.
struct Peer {
  AgentStatus status;
  /// Assignments sent to it, to be compared with those that it has counted.
  std::uint64_t assigns_sent = 0;
  /// Set after a lost connection; nothing is placed there until then.
  core::Time avoid_until;
  /// When its load was last heard from itself.
  core::Time load_at;
};

/// An entry to which heartbeats go.
struct EntryLink {
  core::Address address;
  core::NodeId node;
  std::uint64_t heartbeat_sequence = 0;
  /// Heartbeats that may still be answered, with the moment of sending.
  std::deque<std::pair<std::uint64_t, core::Time>> sent;
  core::Time heard;
  std::uint64_t members_version = 0;
  /// Members that this entry told of.
  std::map<core::NodeId, AgentStatus> members;
};

// What the agent asks its runtime to do.

/// Send a message to another process.
struct SendMessage {
  core::NodeId to;
  Message message;
};

/// Hand a task to the target. The end comes back through OnTargetEnd.
struct RunTask {
  TaskRef ref;
  core::ServiceId service;
  std::string payload;
  core::Duration time_left{0};
};

/// Tell the target to stop a task.
struct StopTask {
  TaskRef ref;
};

using AgentAction = std::variant<SendMessage, RunTask, StopTask>;

/// Counters that the metrics page shows.
struct AgentCounters {
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> refusals;
  std::uint64_t starts = 0;
  std::uint64_t placements = 0;
  std::uint64_t retries = 0;
  std::uint64_t seals = 0;
  std::uint64_t pulls = 0;
  std::uint64_t empty_pulls = 0;
  std::uint64_t hints = 0;
  std::uint64_t duplicates = 0;
  /// Assignments of other homes that this executor refused.
  std::uint64_t refused_assigns = 0;
};

/// One finished job, for the histograms of the metrics page.
struct JobSample {
  core::TenantId tenant;
  core::ServiceId service;
  core::Duration response{0};
  Outcome outcome = Outcome::kRunning;
  core::Duration longest_run{0};
};

/// One task that ended well, for the histograms of the metrics page.
struct TaskSample {
  core::TenantId tenant;
  core::ServiceId service;
  /// From the arrival of its job to its last placement.
  core::Duration queued{0};
  core::Duration run{0};
};

/// Samples of each kind that wait for the runtime, which takes them with every
/// event; further ones are dropped.
inline constexpr std::size_t kMaxSamples = 10000;

/// All that an agent knows; the controllers read and write it. No I/O, no
/// threads; the time is passed in.
struct AgentBoard {
  // Who this process is.
  core::NodeId self;
  core::DomainId domain;
  Policy policy;
  std::mt19937_64 random;
  core::Time started;

  // What is in force.
  World world;
  core::Time permit_until;
  bool stopping = false;
  core::Time stop_requested;

  // The others.
  std::vector<core::Address> seeds;
  EntryList entries;
  std::vector<EntryLink> links;
  /// When the links were chosen.
  core::Time links_chosen;
  core::Time next_heartbeat;
  std::map<core::NodeId, Peer> peers;

  // The home.
  std::map<core::JobKey, HomeJob> jobs;
  std::set<core::JobKey> active;
  /// Active jobs by `due` and number.
  std::map<std::pair<core::Time, std::uint64_t>, core::JobKey> job_due;
  std::deque<std::pair<core::Time, core::JobKey>> kept;
  std::map<core::JobKey, Tombstone> tombstones;
  std::map<core::NodeId, EntryRefusals> refusals;
  /// Lives of entries that are gone and still in `refusals`, oldest first.
  std::deque<core::NodeId> gone_entries;
  std::map<core::ServiceId, ServiceQueue> queues;
  std::map<core::TenantId, std::uint32_t> tenant_queued;
  std::map<core::TenantId, std::uint32_t> tenant_running;
  std::uint64_t next_job_number = 1;
  /// Numbers placements; never used twice, so that a late copy of an old
  /// message is known whatever became of its job since.
  std::uint32_t next_attempt = 1;
  /// Bytes of payloads, results and records of ended jobs, and the part of
  /// ended jobs, which gives way to new ones.
  std::uint64_t bytes_held = 0;
  std::uint64_t bytes_kept = 0;
  double retry_tokens = 0;
  core::Time next_want_refresh;
  /// Epoch in which old tombstones were last dropped.
  std::uint32_t swept_epoch = 0;

  // Memories of former homes; once stopped and without jobs, also the own one.
  std::map<core::NodeId, KeptMemory> inherited;
  std::map<core::NodeId, IncomingHandover> incoming;
  std::map<core::NodeId, OutgoingHandover> outgoing;
  /// The own memory is in `inherited` and will not change any more.
  bool frozen = false;
  core::Time next_heir_tick;

  // The executor.
  Target target;
  TargetHealth health;
  std::map<TaskKey, Execution> executions;
  std::set<std::pair<core::Time, TaskKey>> execution_due;
  std::list<TaskKey> waiting;
  std::uint32_t running = 0;
  std::map<std::pair<core::NodeId, core::ServiceId>, RemoteWant> wants;
  std::map<std::uint64_t, OpenPull> pulls;
  std::uint64_t next_pull = 1;
  std::map<core::NodeId, ToldLoad> told;
  std::uint64_t load_sequence = 0;

  // Towards the runtime.
  std::vector<AgentAction> actions;
  std::deque<Message> loopback;
  AgentCounters counters;
  InvariantCounts invariants;
  std::vector<JobSample> samples;
  std::vector<TaskSample> task_samples;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_AGENT_BOARD_H_
