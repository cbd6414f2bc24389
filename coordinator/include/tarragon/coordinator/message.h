#ifndef TARRAGON_COORDINATOR_MESSAGE_H_
#define TARRAGON_COORDINATOR_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/coordinator/job.h"
#include "tarragon/coordinator/operator_state.h"
#include "tarragon/coordinator/room.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

/// Messages between a coordinating entry and the gates beside the targets.

namespace tarragon::coordinator {

/// What one or several entries have of the tasks of one priority. Zero is the
/// highest priority.
struct PriorityDemand {
  std::uint32_t priority = 0;
  /// Work of the waiting tasks, in millicore-milliseconds.
  std::uint64_t waiting_work = 0;
  /// Mean work that arrives, in millicore-milliseconds per millisecond.
  std::uint64_t arriving_millicores = 0;

  bool operator==(const PriorityDemand&) const = default;
};

/// Room that the runs at a target will have released after some time.
struct RoomRelease {
  /// From the time of the report.
  core::Duration after{0};
  /// In sum until then, without the room that is free already.
  std::int64_t millicores = 0;

  bool operator==(const RoomRelease&) const = default;
};

/// `EntryNotice::clients_read` before the first report has been handled.
inline constexpr core::Time kNothingRead{core::Duration{1}};

/// Entry to gate, every few hundred milliseconds: a heartbeat. A gate stops the
/// runs of an entry from which it receives none.
struct EntryNotice {
  /// Clock of the gate in the last report that the entry has received; zero for
  /// none.
  core::Time echo;
  /// Revision and digest of the drained domains that the entry knows, and the
  /// version of its configuration.
  std::uint64_t operator_revision = 0;
  std::uint64_t domains_digest = 0;
  std::uint64_t config_version = 0;
  /// Demand of this entry, by priority.
  std::vector<PriorityDemand> demand = {};
  /// Clock of the gate in the newest report before whose sending the entry has
  /// certainly noticed every client that it had lost; kNothingRead for none,
  /// zero from an earlier version, which means `echo`.
  core::Time clients_read = {};

  bool operator==(const EntryNotice&) const = default;
};

/// Entry to gate or gate to entry: a newer copy of the operator state.
struct OperatorUpdate {
  OperatorState state;
  /// The state has no configuration, only the drained domains.
  bool domains_only = false;

  bool operator==(const OperatorUpdate&) const = default;
};

/// Gate to entry: the target and its free room, on each change and every few
/// hundred milliseconds.
struct TargetReport {
  /// Clock of the gate.
  core::Time clock;
  /// Sequence number of the receiving entry's last StartRun that `free`
  /// accounts for.
  std::uint64_t starts_seen = 0;
  /// The gate accepts starts.
  bool usable = false;
  /// The gate knows the runs at the target and can answer AskRun. The fields of
  /// the target below are meaningless otherwise.
  bool runs_known = false;
  TargetId target;
  TargetIncarnation born;
  /// Sequence number of the last announcement of this incarnation.
  std::int64_t sequence = 0;
  /// "IP:port" to which starts, stops and polls are sent.
  core::Address address;
  bool draining = false;
  core::ServiceId service;
  core::DomainId domain;
  std::vector<Label> labels;
  Room capacity;
  Room free;
  /// Number of entries that the gate knows; they share the trials of a suspect
  /// target.
  std::uint32_t entries = 1;
  /// Recent ratio of actual to expected run times, in thousandths; 1000 is
  /// normal.
  std::uint32_t slowness_permille = 1000;
  /// Share of recent jobs with a failed run, in thousandths.
  std::uint32_t failed_permille = 0;
  /// Revision and digest of the drained domains that the gate knows, and the
  /// version of its copy of the configuration.
  std::uint64_t operator_revision = 0;
  std::uint64_t domains_digest = 0;
  std::uint64_t config_version = 0;
  /// Part of `free` is reserved for the receiving entry, which has requested
  /// room, until it answers with StartRun or RoomWanted, for a few milliseconds
  /// at most.
  bool offered = false;
  /// The target has a run under whose task another target has crashed.
  bool has_suspect = false;
  /// Demand of all entries but the receiving one, by priority.
  std::vector<PriorityDemand> others_demand;
  /// Time until the draining target leaves at the earliest; zero if it does not
  /// leave or has not told, or if its gate accepts no starts any more. Until
  /// then the gate accepts runs that certainly end before, although `usable` is
  /// false.
  core::Duration leaves_in{0};
  /// Learned speed in thousandths: 1000 is usual, at 2000 runs take half the
  /// time; zero if unknown.
  std::uint32_t speed_permille = 0;
  /// When runs will release room, by time.
  std::vector<RoomRelease> releases;

  bool operator==(const TargetReport&) const = default;
};

/// Entry to gate: a request for room for a waiting task. The gate offers freed
/// room to the entry with the most urgent task. Replaces the entry's earlier
/// request and ends an offer to it.
struct RoomWanted {
  /// Room that the task needs; zero millicores withdraw the request.
  Room room;
  /// The job can no longer be in time.
  bool late = false;
  /// Time until the latest start with which the job is in time.
  core::Duration slack{0};
  /// Priority of the task's queue, zero is the highest; zero for every task
  /// while the entry sees no shortage of room.
  std::uint32_t priority = 0;
  /// Expected run time of the task; zero if unknown.
  core::Duration expected_run{0};

  bool operator==(const RoomWanted&) const = default;
};

/// Entry to gate: the target that an earlier process at the gate's address has
/// reported. It lets a restarted gate find its target, and the runs there,
/// before the next announcement.
struct TargetHint {
  TargetReport last;

  bool operator==(const TargetHint&) const = default;
};

/// Entry to gate: an order to start a run. Answered by RunEnded when the run
/// has ended or was refused.
struct StartRun {
  RunRef run;
  /// Increases with each StartRun of one entry.
  std::uint64_t sequence = 0;
  core::ServiceId service;
  Room room;
  std::string payload;
  Label required;
  /// On the gate's clock; a StartRun that is read later is refused.
  core::Time start_by;
  core::Duration expected_run{0};
  /// The drained domains by which the entry decided.
  std::uint64_t operator_revision = 0;
  std::uint64_t domains_digest = 0;
  /// A target has crashed under an earlier run of the task.
  bool suspect = false;
  /// Priority of the task's queue; zero is the highest.
  std::uint32_t priority = 0;
  /// Upper bound of the run time at this target; zero for none.
  core::Duration longest_run{0};

  bool operator==(const StartRun&) const = default;
};

/// Entry to gate: a query for the state of a run. Answered by RunEnded, unless
/// the run goes on. If the gate does not know the run, it first makes sure that
/// the run can never start.
struct AskRun {
  RunRef run;
  /// Stop the run if it goes on.
  bool stop = false;
  /// Room that the run takes, for a gate that found the run after a restart.
  Room room;

  bool operator==(const AskRun&) const = default;
};

/// Gate to entry: the progress of a run that takes longer than expected.
struct RunProgress {
  RunRef run;
  /// Share of the work that is done, from 0 to 100.
  std::uint32_t percent = 0;
  /// Estimated time until the end; zero if unknown.
  core::Duration remaining{0};
  /// The run makes no progress.
  bool standing = false;

  bool operator==(const RunProgress&) const = default;
};

/// Gate to entry: a run has ended, or will never start.
struct RunEnded {
  RunRef run;
  RunEnd end = RunEnd::kDone;
  RefusalReason reason = RefusalReason::kNone;
  /// From the target's answer to the start until the end was seen.
  core::Duration run_time{0};
  /// The target has crashed under the run, which may be the cause.
  bool target_crashed = false;

  bool operator==(const RunEnded&) const = default;
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_MESSAGE_H_
