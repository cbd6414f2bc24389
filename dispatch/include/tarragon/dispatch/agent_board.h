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
#include "tarragon/dispatch/invariant.h"
#include "tarragon/dispatch/job.h"
#include "tarragon/dispatch/kept_memory.h"
#include "tarragon/dispatch/message.h"
#include "tarragon/dispatch/policy.h"
#include "tarragon/dispatch/world.h"

namespace tarragon::dispatch {

// What the agent knows of the others.

/// Another agent, or this one, as a possible executor.
struct Peer {
  AgentStatus status;
  /// Assignments sent to it, to be compared with those that it has counted.
  std::uint64_t assigns_sent = 0;
  /// Set after a lost connection; nothing is placed there until then.
  core::Time avoid_until;
  /// When its load was last heard from itself.
  core::Time load_received_at;
};

/// An entry to which heartbeats go.
struct EntryLink {
  core::Address address;
  core::NodeId node;
  std::uint64_t heartbeat_sequence = 0;
  /// Heartbeats that may still be answered, with the moment of sending.
  std::deque<std::pair<std::uint64_t, core::Time>> open_heartbeats;
  core::Time last_reply_at;
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
  core::Duration response_time{0};
  Outcome outcome = Outcome::kRunning;
  core::Duration longest_run_time{0};
};

/// One task that ended well, for the histograms of the metrics page.
struct TaskSample {
  core::TenantId tenant;
  core::ServiceId service;
  /// From the arrival of its job to its last placement.
  core::Duration queue_time{0};
  core::Duration run_time{0};
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
  core::Time started_at;

  // What is in force.
  World world;
  core::Time permit_until;
  bool stopping = false;
  core::Time stop_requested_at;

  // The others.
  std::vector<core::Address> seed_entries;
  EntryList entries;
  std::vector<EntryLink> entry_links;
  /// When the links were chosen.
  core::Time links_chosen_at;
  core::Time next_heartbeat_at;
  std::map<core::NodeId, Peer> peers;

  // The home.
  std::map<core::JobKey, HomeJob> jobs;
  std::set<core::JobKey> active_jobs;
  /// Active jobs by `due` and number.
  std::map<std::pair<core::Time, std::uint64_t>, core::JobKey> jobs_by_due_time;
  std::deque<std::pair<core::Time, core::JobKey>> kept_answers;
  std::map<core::JobKey, Tombstone> tombstones;
  std::map<core::NodeId, EntryRefusals> refusals_by_entry;
  /// Lives of entries that are gone and still in `refusals`, oldest first.
  std::deque<core::NodeId> gone_entries;
  std::map<core::ServiceId, ServiceQueue> service_queues;
  std::map<core::TenantId, std::uint32_t> queued_tasks_by_tenant;
  std::map<core::TenantId, std::uint32_t> running_tasks_by_tenant;
  std::uint64_t next_job_number = 1;
  /// Numbers placements; never used twice, so that a late copy of an old
  /// message is known whatever became of its job since.
  std::uint32_t next_attempt = 1;
  /// Bytes of payloads, results and records of ended jobs, and the part of
  /// ended jobs, which gives way to new ones.
  std::uint64_t bytes_held = 0;
  std::uint64_t ended_job_bytes = 0;
  double retry_tokens = 0;
  core::Time next_want_refresh_at;
  /// Epoch in which old tombstones were last dropped.
  std::uint32_t last_swept_epoch = 0;

  // Memories of former homes; once stopped and without jobs, also the own one.
  std::map<core::NodeId, HomeSnapshot> inherited_snapshots;
  std::map<core::NodeId, IncomingHandover> incoming_handovers;
  std::map<core::NodeId, OutgoingHandover> outgoing_handovers;
  /// The own memory is in `inherited` and will not change any more.
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

  // Towards the runtime.
  std::vector<AgentAction> actions;
  std::deque<Message> loopback;
  AgentCounters counters;
  InvariantCounts invariant_counts;
  std::vector<JobSample> job_samples;
  std::vector<TaskSample> task_samples;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_AGENT_BOARD_H_
