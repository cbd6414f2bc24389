#ifndef TARRAGON_COORDINATOR_GATE_BOARD_H_
#define TARRAGON_COORDINATOR_GATE_BOARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tarragon/coordinator/message.h"
#include "tarragon/coordinator/policy.h"
#include "tarragon/coordinator/target_history.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

/// What a gate knows, and what it asks the daemon to do. The gate beside a
/// target is the only process that orders runs there.

namespace tarragon::coordinator {

/// A moment on the target's own clock, in milliseconds.
using TargetClock = core::Strong<struct TargetClockTag, std::int64_t>;

/// What a target says of itself.
struct Announcement {
  TargetId target;
  TargetIncarnation born;
  /// Rises within one life.
  std::int64_t sequence = 0;
  /// "IP:port" for orders.
  core::Address address;
  core::ServiceId service;
  core::DomainId domain;
  std::vector<Label> labels;
  Room capacity;
  /// It leaves and takes no new work.
  bool draining = false;
  TargetClock clock;
};

/// How far an order has come.
enum class RunPhase : std::uint8_t {
  /// The start is sent and not answered.
  kStarting,
  kRunning,
  /// Found on the target after a restart of the gate. Its room is not known.
  kUnclaimed,
  /// The start was not answered; it may still be carried out.
  kUnclear,
  /// Not known here; a stop is sent so that it can never start.
  kSealing,
};

/// A run that takes room at the target, or may.
struct GateRun {
  RunPhase phase = RunPhase::kStarting;
  Room room;
  /// Who ordered it; empty for a run that was found.
  core::NodeId home;
  /// When the start was sent.
  core::Time ordered_at;
  /// When the start was answered.
  core::Time started_at;
  core::Duration expected_run_time{0};
  /// The start is refused by the target after this moment on its clock.
  TargetClock start_deadline;
  /// The run must end.
  bool stop_requested = false;
  bool stop_pending = false;
  /// When the last stop was sent.
  core::Time stop_sent_at;
  /// When a stop was answered: the run is over soon, or will never start.
  std::optional<core::Time> stop_answered_at;
};

/// The target and what is known of its present life.
struct Target {
  Announcement announcement;
  core::Time announced_at;
  /// When the last order or poll was answered.
  core::Time last_answer_at;
  /// When a poll last got no answer.
  core::Time last_poll_failure_at{-std::chrono::hours(1)};
  /// Since when no poll has been answered; nothing if the last one was.
  std::optional<core::Time> silent_since;
  /// Its runs are known: a poll was answered in this life.
  bool runs_known = false;
  /// Since when they are.
  core::Time runs_known_since;
  /// The target's clock when `clock_at` was the time here. Never ahead.
  TargetClock clock;
  core::Time clock_read_at;
  /// Number of the last end that was taken in.
  std::int64_t last_end = 0;
  /// Number of the last end that the target knows to be taken in.
  std::int64_t confirmed_end = 0;
  /// Latest moment on the target's clock up to which runs may hold a lease.
  TargetClock lease_until;
  TargetHistory history;
  /// What a later process here will find.
  std::optional<TargetReport> stored_report;
};

/// Room that an entry wants.
struct RoomWant {
  Room room;
  bool late = false;
  /// On this gate's clock.
  core::Time latest_start;
};

/// Room that is kept for an entry for a moment.
struct RoomOffer {
  Room room;
  core::Time expires_at;
};

/// An entry whose orders the gate obeys.
struct HomeLink {
  core::NodeId node;
  core::Time last_heard_at;
  /// Clock of this gate in the last report that the entry confirmed.
  core::Time confirmed_report_at;
  /// The same; nothing before its first notice that names a report.
  std::optional<core::Time> echoed_report_at;
  /// Sequence of the last order read.
  std::uint64_t starts_seen = 0;
  std::uint64_t operator_revision = 0;
  core::Time report_sent_at;
  bool report_due = false;
  /// Other entries' runs have taken room or given it back since.
  bool room_changed = false;
  bool connected = true;
  /// Its runs were ended because it was silent.
  bool timed_out = false;
  std::optional<RoomWant> want;
  std::optional<RoomOffer> offer;
  /// The offer has not been sent yet.
  bool offer_due = false;
};

/// A poll that is not answered yet.
struct OpenPoll {
  core::Time sent_at;
  /// The last end that it confirms.
  std::int64_t last_end = 0;
};

/// How a run ended, for entries that ask again.
struct EndedRun {
  RunEnded ended;
  core::Time ended_at;
};

/// Ask the target to start a run. The answer goes to OnStartAnswer.
struct OrderStart {
  core::Address address;
  TargetId target;
  RunRef run;
  std::string payload;
  TargetClock start_deadline;
};

/// Ask the target to end a run. The answer goes to OnStopAnswer.
struct OrderStop {
  core::Address address;
  TargetId target;
  RunRef run;
};

/// Renew the lease and ask for the runs. The answer goes to OnPollAnswer.
struct OrderPoll {
  core::Address address;
  TargetId target;
  std::int64_t last_end = 0;
  /// Nothing while the target's clock is not known.
  std::optional<TargetClock> lease_until;
  core::Duration wait{0};
  /// Repeated to OnPollAnswer, so that the answer to an older poll is known.
  std::uint64_t number = 0;
};

/// Keep the target where a later process at this address finds it.
struct StoreTarget {
  TargetReport target;
};

/// Send a message to an entry.
template <typename Message>
struct SendTo {
  core::NodeId to;
  Message message;
};

using GateAction =
    std::variant<OrderStart, OrderStop, OrderPoll, SendTo<TargetReport>,
                 SendTo<RunEnded>, SendTo<OperatorUpdate>, StoreTarget>;

/// One line for the log: something that touches a run or changes what the
/// process believes. `sentence` is constant.
struct LogLine {
  const char* message = "";
  /// The run, entry, target or queue; empty for none.
  std::string subject;
  /// More "name=value" texts.
  std::vector<std::pair<const char*, std::string>> fields;
};

/// Counters for the metrics page.
struct GateCounts {
  std::uint64_t starts = 0;
  std::uint64_t unclear_starts = 0;
  std::map<RefusalReason, std::uint64_t> refusals;
  std::map<RunEnd, std::uint64_t> ends;
  std::uint64_t lost_polls = 0;
  std::uint64_t timed_out_entries = 0;
  /// Offers of room, and those that no entry has answered in time.
  std::uint64_t offers = 0;
  std::uint64_t lapsed_offers = 0;
};

/// The blackboard of a gate.
struct GateBoard {
  Policy policy;
  /// Failure domain of this machine.
  core::DomainId domain;
  OperatorState operator_state;
  /// Of its content.
  std::uint64_t operator_digest = ContentDigest(OperatorState{});
  std::optional<Target> target;
  std::map<RunRef, GateRun> runs;
  std::map<RunRef, EndedRun> ended_runs;
  /// By the entry's address: a new incarnation replaces the old one.
  std::map<core::Address, HomeLink> homes;
  /// Polls that are not answered, by their number.
  std::map<std::uint64_t, OpenPoll> polls;
  std::uint64_t last_poll = 0;
  bool stopping = false;
  /// What was last told of the target.
  bool was_usable = false;
  std::vector<GateAction> actions;
  std::vector<LogLine> log_lines;
  GateCounts counts;
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_GATE_BOARD_H_
