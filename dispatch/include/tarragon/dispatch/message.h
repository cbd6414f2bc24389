#ifndef TARRAGON_DISPATCH_MESSAGE_H_
#define TARRAGON_DISPATCH_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tarragon/coordinator/message.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/job.h"
#include "tarragon/dispatch/world.h"

/// The messages between the system's processes. Each is one-way; an answer is
/// a separate message that repeats the number or reference of the request.

namespace tarragon::dispatch {

/// Identifies one placement of one task. Answers must match all three fields.
struct TaskRef {
  core::JobKey key;
  core::TaskIndex task;
  core::Attempt attempt;

  bool operator==(const TaskRef&) const = default;
  auto operator<=>(const TaskRef&) const = default;
};

/// Load of one executor; part of every message that it sends to a home.
struct Load {
  /// Slots that could start a task now.
  std::uint32_t free_slots = 0;
  /// All slots of the target.
  std::uint32_t slots = 0;
  /// Incremented with each message of this executor, so that an older load
  /// that arrives late is ignored.
  std::uint64_t sequence = 0;
  /// Assign and PullTask messages of the receiving home that were counted.
  std::uint64_t assigns_seen = 0;

  bool operator==(const Load&) const = default;
};

/// State of an agent and its target, as the agent reports it.
struct AgentStatus {
  core::NodeId node;
  core::DomainId domain;
  /// Services of the target; empty while no target has announced itself.
  std::vector<core::ServiceId> services;
  Load load;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  /// The agent is stopping: it gets no new tasks and is home of no new jobs.
  bool leaving = false;
  /// Share of recent tasks that the target failed, in thousandths.
  std::uint32_t failure_permille = 0;
  /// Epoch of the handles that are issued for this home now. Rises with time;
  /// a home remembers every key of the epochs that it still accepts.
  std::uint32_t handle_epoch = 0;
  /// Mean run time of recent tasks; zero when there were none.
  core::Duration mean_run{0};
  /// Share of recent tasks that were late, in thousandths.
  std::uint32_t late_permille = 0;

  bool operator==(const AgentStatus&) const = default;
};

// Entry <-> agent.

/// Agent to entry: heartbeat with the agent's status; requests a permit.
struct Heartbeat {
  std::uint64_t sequence = 0;
  AgentStatus status;
  /// Versions that the agent has, so that the entry sends only newer state.
  core::NoteVersion note_version;
  std::uint64_t members_version = 0;

  bool operator==(const Heartbeat&) const = default;
};

/// Entry to agent: a lease to start tasks; answers the heartbeat `sequence`.
struct Permit {
  std::uint64_t sequence = 0;
  /// Validity, counted from the moment at which the agent sent the heartbeat.
  /// Zero: no permit is granted.
  core::Duration lifetime{0};
  core::NoteVersion note_version;
  /// The world itself, if the agent's version is older.
  bool has_world = false;
  World world;
  /// Members known to this entry: the whole list, or the changes since the
  /// version of this entry's list that the heartbeat names.
  std::uint64_t members_version = 0;
  bool members_full = false;
  std::vector<AgentStatus> members;
  std::vector<core::NodeId> members_gone;
  /// Entries to which the agent may send its heartbeats.
  EntryList entries;

  bool operator==(const Permit&) const = default;
};

/// Low bits of a request's number that identify the request at its entry. The
/// bits above count the rounds in which the entry submitted it again.
inline constexpr unsigned kRequestNumberBits = 48;

/// The number of a request without the bits of its round.
inline constexpr std::uint64_t RequestNumberWithoutRound(std::uint64_t number) {
  return number & ((std::uint64_t{1} << kRequestNumberBits) - 1);
}

/// Entry to home: a client's job.
struct Submit {
  /// The entry's number of the request, with its round.
  std::uint64_t request = 0;
  JobSpec spec;
  /// Digest of the client's body, to detect a key reused for another job.
  std::uint64_t body_digest = 0;

  bool operator==(const Submit&) const = default;
};

/// Entry to home: a client asks for the answer to an earlier submission.
struct Query {
  std::uint64_t request = 0;
  core::JobKey key;

  bool operator==(const Query&) const = default;
};

/// Entry to home: a client cancels its job.
struct Cancel {
  std::uint64_t request = 0;
  core::JobKey key;

  bool operator==(const Cancel&) const = default;
};

/// Home to entry: the final answer to `request`, or kRunning if a copy arrives
/// of a request that the home already has.
struct Answer {
  std::uint64_t request = 0;
  JobAnswer answer;
  /// Digest of the results; a mismatch is a failure, never a partial answer.
  std::uint64_t results_digest = 0;

  bool operator==(const Answer&) const = default;
};

/// Entry to home: asks for the history of a key.
struct Explain {
  std::uint64_t request = 0;
  core::JobKey key;

  bool operator==(const Explain&) const = default;
};

/// What is known about a key that was asked to be explained.
enum class KeyHistory : std::uint8_t {
  /// The lines of the explanation tell what has happened to the job, or why
  /// its history is not available.
  kKnown = 0,
  /// No job was ever submitted under the key. One line says so.
  kUnknownKey,
};
/// The line of the explanation of an unknown key, and the detail of an answer
/// about it.
inline constexpr char kUnknownKeyDetail[] = "No job is known under this key.";
inline constexpr std::uint32_t kLastKeyHistory =
    static_cast<std::uint32_t>(KeyHistory::kUnknownKey);

/// Home to entry: the history, oldest first, one line for each event.
struct Explanation {
  std::uint64_t request = 0;
  KeyHistory history = KeyHistory::kKnown;
  std::vector<std::string> lines;

  bool operator==(const Explanation&) const = default;
};

// Home <-> executor.

/// Home to executor: start this task now, or refuse it.
struct Assign {
  TaskRef ref;
  core::ServiceId service;
  core::TenantId tenant;
  core::Duration time_left{0};
  TaskSpec spec;
  /// Run time below which most tasks of the service end, on any target; zero
  /// while the home has seen too few tasks.
  core::Duration usual_run{0};

  bool operator==(const Assign&) const = default;
};

/// Executor to home: the task has not started and will never start.
struct Refused {
  TaskRef ref;
  Reason reason = Reason::kNone;
  core::Duration retry_after{0};
  Load load;

  bool operator==(const Refused&) const = default;
};

/// Executor to home: the task has started; sent as the answer to a seal.
struct Started {
  TaskRef ref;
  Load load;

  bool operator==(const Started&) const = default;
};

/// Executor to home: the task has ended.
struct Finished {
  TaskRef ref;
  bool ok = false;
  Reason reason = Reason::kNone;
  std::string result;
  std::uint64_t result_digest = 0;
  /// Measured run time.
  core::Duration run_time{0};
  Load load;
  /// Not zero: the slot is reserved under this number for a waiting task of
  /// `pull_service` at the home; answered by PullTask or by the confirmation.
  std::uint64_t pull = 0;
  core::ServiceId pull_service;

  bool operator==(const Finished&) const = default;
};

/// Home to executor: the home has recorded the end; the executor may drop it.
struct FinishedAck {
  TaskRef ref;
  /// Not zero: no task for this pull.
  std::uint64_t pull = 0;

  bool operator==(const FinishedAck&) const = default;
};

/// Home to executor: a tombstone; if this task has not started, it must never
/// start. The executor answers Refused, Started or Finished.
struct Seal {
  TaskRef ref;
  /// Also stop the task if it has started.
  bool stop = false;

  bool operator==(const Seal&) const = default;
};

/// Home to executor: tasks of `service` are queued; pull when a slot is free.
struct Want {
  core::ServiceId service;
  std::uint32_t waiting = 0;
  /// How long the oldest has waited.
  core::Duration oldest_wait{0};

  bool operator==(const Want&) const = default;
};

/// Executor to home: a slot is reserved; answered by PullTask or PullEmpty.
struct Pull {
  std::uint64_t number = 0;
  core::ServiceId service;
  Load load;

  bool operator==(const Pull&) const = default;
};

/// Home to executor: no task for the pull `number`.
struct PullEmpty {
  std::uint64_t number = 0;
  core::ServiceId service;

  bool operator==(const PullEmpty&) const = default;
};

/// Home to executor: the answer to a pull.
struct PullTask {
  std::uint64_t number = 0;
  Assign assign;
  /// Tasks that remain queued after this one.
  std::uint32_t waiting = 0;
  core::Duration oldest_wait{0};

  bool operator==(const PullTask&) const = default;
};

/// Executor to homes that recently sent tasks: free slots changed considerably.
struct LoadHint {
  Load load;

  bool operator==(const LoadHint&) const = default;
};

// Entry <-> entry.

/// Asks another registered entry for its versions of the world and entry list.
struct EntryPing {
  std::uint64_t sequence = 0;
  core::NoteVersion note_version;
  std::uint64_t entries_version = 0;

  bool operator==(const EntryPing&) const = default;
};

/// Answers the ping `sequence`. Contains the world and the entry list where
/// they are newer than the sender's of the ping.
struct EntryPong {
  std::uint64_t sequence = 0;
  core::NoteVersion note_version;
  std::uint64_t entries_version = 0;
  bool has_world = false;
  World world;
  bool has_entries = false;
  EntryList entries;

  bool operator==(const EntryPong&) const = default;
};

/// Any process to any: the process `node` is stopping gracefully.
struct Leaving {
  core::NodeId node;

  bool operator==(const Leaving&) const = default;
};

// Handover of a stopping home's records, agent <-> agent and agent -> entry.

/// One key of a stopped home, with its answer.
struct KeptAnswer {
  JobAnswer answer;
  std::uint64_t body_digest = 0;
  /// The answer is dropped after this time; its outcome is kept.
  core::Duration time_left{0};
  /// The answer was dropped; only its outcome is known.
  bool dropped = false;

  bool operator==(const KeptAnswer&) const = default;
};

/// Stopping agent to its heir: part `sequence` of the records of `home`, which
/// is the sender itself or a home whose records the sender had taken over.
struct Handover {
  core::NodeId home;
  /// Counts the parts from zero.
  std::uint64_t sequence = 0;
  /// No part follows.
  bool last = false;
  /// The heir may drop keys of older epochs.
  std::uint32_t oldest_epoch = 0;
  /// The heir drops all records after this time.
  core::Duration time_left{0};
  /// Size of all records together.
  std::uint64_t bytes = 0;
  std::vector<KeptAnswer> records;

  bool operator==(const Handover&) const = default;
};

/// Heir to stopping agent: acknowledges the parts received so far.
struct HandoverAck {
  core::NodeId home;
  /// Number of parts that have arrived without a gap.
  std::uint64_t received = 0;
  /// The heir accepts no further parts.
  bool refused = false;

  bool operator==(const HandoverAck&) const = default;
};

/// Agent to entry: `heir` answers for the keys of these stopped homes.
struct Inherited {
  core::NodeId heir;
  std::vector<core::NodeId> homes;

  bool operator==(const Inherited&) const = default;
};

/// Every message that one process sends to another.
using Message = std::variant<
    Heartbeat, Permit, Submit, Query, Cancel, Answer, Explain, Explanation,
    Assign, Refused, Started, Finished, FinishedAck, Seal, Want, Pull,
    PullEmpty, PullTask, LoadHint, EntryPing, EntryPong, Leaving, Handover,
    HandoverAck, Inherited, coordinator::EntryNotice,
    coordinator::OperatorUpdate, coordinator::TargetReport,
    coordinator::StartRun, coordinator::AskRun, coordinator::RunEnded,
    coordinator::TargetHint, coordinator::RoomWanted, coordinator::RunProgress>;

/// The message's name in logs and counters, such as "assign".
const char* Name(const Message& message);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_MESSAGE_H_
