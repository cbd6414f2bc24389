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

/// Entry to gate, every few hundred milliseconds: the entry lives. A gate ends
/// the runs of an entry from which it hears nothing.
struct EntryNotice {
  /// Clock of the gate in the last report that the entry has; zero for none.
  core::Time echo;
  /// Revision and digest of the operator state that the entry has.
  std::uint64_t operator_revision = 0;
  std::uint64_t operator_digest = 0;

  bool operator==(const EntryNotice&) const = default;
};

/// Either way: a newer copy of what the operators have decided.
struct OperatorUpdate {
  OperatorState state;

  bool operator==(const OperatorUpdate&) const = default;
};

/// Gate to entry: the target and its free room, on each change and every few
/// hundred milliseconds.
struct TargetReport {
  /// Clock of the gate.
  core::Time clock;
  /// The last StartRun of the receiving entry that `free` counts.
  std::uint64_t starts_seen = 0;
  /// Tasks may start.
  bool usable = false;
  /// The gate knows which runs are at the target and can answer AskRun. The
  /// target's fields below mean nothing otherwise.
  bool runs_known = false;
  TargetId target;
  TargetIncarnation born;
  /// Number of its last announcement in this life.
  std::int64_t sequence = 0;
  /// "IP:port" for orders.
  core::Address address;
  bool draining = false;
  core::ServiceId service;
  core::DomainId domain;
  std::vector<Label> labels;
  Room capacity;
  Room free;
  /// Entries that the gate knows, so that they share the trials of a target.
  std::uint32_t entries = 1;
  /// Run times lately over the expected ones, in thousandths; 1000 is as usual.
  std::uint32_t slowness_permille = 1000;
  /// Share of the runs lately that failed, in thousandths.
  std::uint32_t failed_permille = 0;
  /// Revision and digest of the operator state that the gate has.
  std::uint64_t operator_revision = 0;
  std::uint64_t operator_digest = 0;
  /// Room of `free` is kept for the receiving entry, which wants it, until it
  /// answers by StartRun or RoomWanted, for a few milliseconds at most.
  bool offered = false;

  bool operator==(const TargetReport&) const = default;
};

/// Entry to gate: a task waits for room. The gate offers room that gets free to
/// the entry whose task is the most urgent. Replaces what the entry wanted so
/// far, and ends an offer to it.
struct RoomWanted {
  /// Of the task; with no millicores nothing is wanted any more.
  Room room;
  /// The job can no longer be in time.
  bool late = false;
  /// Until the task must start for its job to be in time.
  core::Duration slack{0};

  bool operator==(const RoomWanted&) const = default;
};

/// Entry to gate: the target that an earlier process at the gate's address has
/// reported. A gate that was restarted so finds its target, and the runs there,
/// before the next announcement.
struct TargetHint {
  TargetReport last;

  bool operator==(const TargetHint&) const = default;
};

/// Entry to gate: start a task, or refuse it. Answered by RunEnded in the end.
struct StartRun {
  RunRef run;
  /// Rises with each StartRun of one entry.
  std::uint64_t sequence = 0;
  core::ServiceId service;
  Room room;
  std::string payload;
  Label required;
  /// On the gate's clock; an order that is read later is refused.
  core::Time start_by;
  core::Duration expected_run{0};
  /// The operator state by which the entry decided.
  std::uint64_t operator_revision = 0;
  std::uint64_t operator_digest = 0;

  bool operator==(const StartRun&) const = default;
};

/// Entry to gate: what has become of a run? Answered by RunEnded, unless the
/// run goes on. A run that the gate does not know is proved never to start
/// before the answer.
struct AskRun {
  RunRef run;
  /// End the run if it goes on.
  bool stop = false;
  /// Room that the run takes, for a gate that has found it after a restart.
  Room room;

  bool operator==(const AskRun&) const = default;
};

/// Gate to entry: a run has ended, or will never start.
struct RunEnded {
  RunRef run;
  RunEnd end = RunEnd::kDone;
  RefusalReason reason = RefusalReason::kNone;
  /// From the target's answer to the start until the end was seen.
  core::Duration run_time{0};

  bool operator==(const RunEnded&) const = default;
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_MESSAGE_H_
