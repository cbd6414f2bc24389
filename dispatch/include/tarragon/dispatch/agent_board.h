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
