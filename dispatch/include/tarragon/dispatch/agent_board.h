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
#include "tarragon/dispatch/executor_records.h"
#include "tarragon/dispatch/home_records.h"
#include "tarragon/dispatch/home_snapshot.h"
#include "tarragon/dispatch/invariant.h"
#include "tarragon/dispatch/job.h"
#include "tarragon/dispatch/message.h"
#include "tarragon/dispatch/policy.h"
#include "tarragon/dispatch/world.h"

namespace tarragon::dispatch {

// Other processes, as this agent sees them.

/// Another agent, or this one, as a possible executor.
struct Peer {
  AgentStatus status;
  /// Assignments sent to it. Compared with the number that it reports as
  /// received, to find out how many are still on their way.
  std::uint64_t assigns_sent = 0;
  /// No task is placed there before this time. Set after a broken connection or
  /// a refusal that concerns the whole executor.
  core::Time avoid_until;
  /// When the agent itself last reported its load.
  core::Time load_received_at;
};

/// An entry to which this agent sends heartbeats.
struct EntryLink {
  core::Address address;
  core::NodeId node;
  std::uint64_t heartbeat_sequence = 0;
  /// Sequence numbers of unanswered heartbeats, with the time of sending.
  std::deque<std::pair<std::uint64_t, core::Time>> open_heartbeats;
  core::Time last_reply_at;
  std::uint64_t members_version = 0;
  /// The agents that this entry reported.
  std::map<core::NodeId, AgentStatus> members;
};

// Actions for the runtime.

/// Send a message to another process.
struct SendMessage {
  core::NodeId to;
  Message message;
};

/// Pass a task to the target. Its end is reported by OnTaskEnd.
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

/// Measurements of one ended job, for the histograms of the metrics page.
struct JobSample {
  core::TenantId tenant;
  core::ServiceId service;
  core::Duration response_time{0};
  Outcome outcome = Outcome::kRunning;
  core::Duration longest_run_time{0};
};

/// Measurements of one task that succeeded, for the histograms of the metrics
/// page.
struct TaskSample {
  core::TenantId tenant;
  core::ServiceId service;
  /// From the arrival of its job to its last placement.
  core::Duration queue_time{0};
  core::Duration run_time{0};
};

/// Maximum number of samples of each kind that wait for the runtime, which
/// collects them after every event. Further samples are dropped.
inline constexpr std::size_t kMaxSamples = 10000;

/// The whole state of an agent, shared by its controllers (the blackboard
/// pattern). It does no I/O and has no threads; the current time is passed in.
struct AgentBoard {
  // Identity and settings of this process.
  core::NodeId self;
  core::DomainId domain;
  Policy policy;
  std::mt19937_64 random;
  core::Time started_at;

  // The release note in force and the right to act on it.
  World world;
  core::Time permit_until;
  bool stopping = false;
  core::Time stop_requested_at;

  // Other processes.
  std::vector<core::Address> seed_entries;
  EntryList entries;
  std::vector<EntryLink> entry_links;
  /// When the entries in `entry_links` were chosen.
  core::Time links_chosen_at;
  core::Time next_heartbeat_at;
  std::map<core::NodeId, Peer> peers;

  // The home.
  std::map<core::JobKey, HomeJob> jobs;
  std::set<core::JobKey> active_jobs;
  /// Active jobs by `due_at` and arrival number.
  std::map<std::pair<core::Time, std::uint64_t>, core::JobKey> jobs_by_due_time;
  std::deque<std::pair<core::Time, core::JobKey>> kept_answers;
  std::map<core::JobKey, Tombstone> tombstones;
  std::map<core::NodeId, EntryRefusals> refusals_by_entry;
  /// Entry processes that are gone but still in `refusals_by_entry`, oldest
  /// first.
  std::deque<core::NodeId> gone_entries;
  std::map<core::ServiceId, ServiceQueue> service_queues;
  std::map<core::TenantId, std::uint32_t> queued_tasks_by_tenant;
  std::map<core::TenantId, std::uint32_t> running_tasks_by_tenant;
  std::uint64_t next_job_number = 1;
  /// Number of the next placement. Numbers are never reused, so that a late
  /// copy of an old message is recognised even after its job has ended.
  std::uint32_t next_attempt = 1;
  /// Bytes of payloads, results and records of ended jobs, and the share of the
  /// ended jobs, which are dropped to make room for new ones.
  std::uint64_t bytes_held = 0;
  std::uint64_t ended_job_bytes = 0;
  double retry_tokens = 0;
  core::Time next_want_refresh_at;
  /// Handle epoch in which expired tombstones were last removed.
  std::uint32_t last_swept_epoch = 0;

  // Handover: the snapshots of stopped homes for which this agent answers as
  // their heir (successor). Once this agent is stopping and has no active jobs,
  // they include its own.
  std::map<core::NodeId, HomeSnapshot> inherited_snapshots;
  std::map<core::NodeId, IncomingHandover> incoming_handovers;
  std::map<core::NodeId, OutgoingHandover> outgoing_handovers;
  /// The own snapshot is in `inherited_snapshots` and does not change any more.
  bool snapshot_taken = false;
  core::Time next_heir_tick_at;

  // The executor.
  Target target;
  TargetHealth health;
  std::map<TaskKey, Execution> executions;
  std::set<std::pair<core::Time, TaskKey>> executions_by_due_time;
  std::list<TaskKey> waiting_tasks;
  std::uint32_t running_tasks = 0;
  std::map<std::pair<core::NodeId, core::ServiceId>, RemoteWant> remote_wants;
  std::map<std::uint64_t, OpenPull> open_pulls;
  std::uint64_t next_pull_number = 1;
  std::map<core::NodeId, ReportedLoad> reported_loads;
  std::uint64_t load_sequence = 0;

  // Output for the runtime; `loopback` holds messages of the agent to itself.
  std::vector<AgentAction> actions;
  std::deque<Message> loopback;
  AgentCounters counters;
  InvariantCounts invariant_counts;
  std::vector<JobSample> job_samples;
  std::vector<TaskSample> task_samples;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_AGENT_BOARD_H_
