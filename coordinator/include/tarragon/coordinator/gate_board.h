#ifndef TARRAGON_COORDINATOR_GATE_BOARD_H_
#define TARRAGON_COORDINATOR_GATE_BOARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tarragon/coordinator/message.h"
#include "tarragon/coordinator/operator_sync_state.h"
#include "tarragon/coordinator/policy.h"
#include "tarragon/coordinator/run_progress.h"
#include "tarragon/coordinator/target_history.h"
#include "tarragon/coordinator/target_speed.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

/// The state of a gate, and the actions that it requests from its daemon. A
/// gate is a process beside a target; no other process starts or stops runs
/// there.

namespace tarragon::coordinator {

/// A time on the target's own clock, in milliseconds.
using TargetClock = core::Strong<struct TargetClockTag, std::int64_t>;

/// `Announcement::sequence` while only a poll has told of an incarnation.
inline constexpr std::int64_t kNotAnnounced = -1;

/// A target's announcement of itself.
struct Announcement {
  TargetId target;
  TargetIncarnation born;
  /// Increases with each announcement of one incarnation; at least zero.
  std::int64_t sequence = 0;
  /// "IP:port" to which starts, stops and polls are sent.
  core::Address address;
  core::ServiceId service;
  core::DomainId domain;
  std::vector<Label> labels;
  Room capacity;
  /// The target is shutting down and accepts no new runs.
  bool draining = false;
  TargetClock clock;
  /// Least time until a draining target leaves; empty if it has not told.
  std::optional<core::Duration> remaining;
};

/// Phase of a run, as the gate knows it.
enum class RunPhase : std::uint8_t {
  /// The start was sent and is not answered yet.
  kStarting,
  kRunning,
  /// Listed by the target, but not started by this process of the gate, and not
  /// claimed by an entry yet. Its room is unknown.
  kUnclaimed,
  /// The start was not answered in time; the target may still carry it out.
  kUnclear,
  /// Unknown to the gate when an entry asked about it. A stop is sent so that
  /// the target refuses a start that arrives later (a tombstone).
  kSealing,
};

/// A run that takes room at the target, or may do so.
struct GateRun {
  RunPhase phase = RunPhase::kStarting;
  Room room;
  /// The entry that coordinates its job; empty for an unclaimed run.
  core::NodeId home;
  /// Other entries that have asked about a run of the same task and number,
  /// which this process did not order, so it may be theirs. Attempts at a job
  /// through several entries number their runs alike.
  std::vector<core::NodeId> other_homes;
  /// When the start was sent, or when the gate learned of the run.
  core::Time ordered_at;
  /// `HomeLink::clients_read_at` when the stop was requested.
  core::Time confirmed_at;
  /// The target's incarnation when the start and the last stop were sent. An
  /// answer may be that of an earlier one.
  TargetIncarnation ordered_born;
  TargetIncarnation stop_sent_born;
  /// When the start was answered.
  core::Time started_at;
  core::Duration expected_run_time{0};
  /// The target refuses the start after this time on its clock.
  TargetClock start_deadline;
  /// A target has crashed under an earlier run of the task.
  bool suspect = false;
  /// The target has crashed under it.
  bool target_crashed = false;
  /// The run is to be stopped.
  bool stop_requested = false;
  bool stop_pending = false;
  /// When the last stop was sent.
  core::Time stop_sent_at;
  /// When a stop was answered: the run ends soon, or will never start.
  std::optional<core::Time> stop_answered_at;
  /// The gate did not start the run, so `started_at` is when it was found.
  bool found = false;
  ProgressTrack progress;
};

/// What a gate knows of the departure of its target's current incarnation.
struct Departure {
  /// This process of the gate has received an announcement of the incarnation
  /// that was not draining.
  bool heard_ready = false;
  /// When the first `draining` was received; empty if the target is not leaving
  /// or if an earlier process may have received it.
  std::optional<core::Time> noticed_at = std::nullopt;
  /// When the target leaves at the earliest.
  core::Time leaves_at = {};
};

/// The target and the state of its current incarnation.
struct Target {
  Announcement announcement;
  core::Time announced_at;
  /// When the target last answered an order or a poll.
  core::Time last_answer_at;
  /// When a poll last failed.
  core::Time last_poll_failure_at{-std::chrono::hours(1)};
  /// When the first of the current series of failed polls was sent; empty while
  /// the target answers.
  std::optional<core::Time> silent_since;
  /// Its process is gone, although it was not draining.
  bool crashed = false;
  /// This incarnation has answered a poll of this process.
  bool has_answered = false;
  /// Its runs are known: this incarnation has answered a poll.
  bool runs_known = false;
  /// When its runs became known.
  core::Time runs_known_since;
  /// The target's clock as read at `clock_read_at` on the gate's clock. Never
  /// ahead of the target's clock.
  TargetClock clock;
  core::Time clock_read_at;
  /// Number of the last listed end that the gate has processed.
  std::int64_t last_end = 0;
  /// Number of the last listed end that the gate has confirmed to the target.
  std::int64_t confirmed_end = 0;
  /// Latest time on the target's clock until which runs may hold a lease.
  TargetClock lease_until;
  TargetHistory history;
  TargetSpeed speed;
  /// The copy that was stored for a later process at this address.
  std::optional<TargetReport> stored_report;
  Departure departure;
};

/// Another target, or another incarnation, that has announced itself while one
/// is known. It takes the known one's place once it has answered a poll and the
/// known one has ended.
struct TargetCandidate {
  Announcement announcement;
  core::Time first_announced_at;
  core::Time announced_at;
  /// When the last poll was sent, and its number while it is not answered;
  /// zero for none.
  core::Time polled_at;
  std::uint64_t open_poll = 0;
  std::optional<core::Time> poll_failed_at;
  /// When it answered a poll under the announced id and start time.
  std::optional<core::Time> answered_at;
};

/// An entry's request for room.
struct RoomWant {
  Room room;
  bool late = false;
  /// The lower one comes first. Zero while the entry sees no shortage.
  std::uint32_t priority = 0;
  /// Latest start with which the job is in time, on this gate's clock.
  core::Time latest_start;
  /// Zero if unknown.
  core::Duration expected_run{0};
  /// A reservation for it has lapsed, so it gets no other.
  bool reservation_lapsed = false;
};

/// A short reservation of free room for an entry.
struct RoomOffer {
  Room room;
  core::Time expires_at;
  /// When a run that starts now in the room would end; kNever if unknown.
  core::Time expected_end = core::kNever;
};

/// A reservation of room that the target will have soon.
struct RoomReservation {
  /// The entry with the request.
  core::NodeId holder;
  TargetIncarnation born;
  Room room;
  bool late = false;
  core::Time latest_start;
  /// When runs are expected to have released the room, as of now.
  core::Time ready_at;
  /// When it lapses: some time after the first `ready_at`.
  core::Time lapses_at;
  /// Starts that are read later were sent with knowledge of the reservation.
  core::Time binding_at;
  /// Reserved room that is free already, and free room that will be left at
  /// `ready_at` once the request has its room.
  Room held;
  Room spare;
};

/// A connection to an entry, the process that coordinates jobs (the "home" of
/// their runs) and orders their runs here.
struct HomeLink {
  core::NodeId node;
  core::Time last_heard_at;
  /// Clock of this gate in the last report that the entry has acknowledged, or
  /// the time at which the gate learned of the entry.
  core::Time confirmed_report_at;
  /// The same, but empty until the entry has acknowledged a report.
  std::optional<core::Time> echoed_report_at;
  /// The entry has noticed whichever client it had lost before this, and has
  /// asked to stop the runs of that client's job. Zero until it is known.
  core::Time clients_read_at;
  /// Sequence number of the last StartRun that was read.
  std::uint64_t starts_seen = 0;
  /// The entry's copy of the operator state, from its last notice; empty until
  /// then.
  std::optional<OperatorCopy> operator_copy;
  OperatorSync operator_sync;
  core::Time report_sent_at;
  bool report_due = false;
  /// Runs of other entries have taken or released room since the last report.
  bool room_changed = false;
  bool connected = true;
  /// The entry was silent for too long, and its runs were stopped.
  bool timed_out = false;
  std::optional<RoomWant> want;
  std::optional<RoomOffer> offer;
  /// The offer has not been reported to the entry yet.
  bool offer_due = false;
  /// Demand of the entry, from its last notice.
  std::vector<PriorityDemand> demand;
  core::Time demand_at;
  /// When a report last had the demand of the other entries.
  core::Time demand_sent_at;
};

/// A poll that is not answered yet.
struct OpenPoll {
  core::Time sent_at;
  /// Number of the last end that the poll confirms.
  std::int64_t last_end = 0;
};

/// How a run ended, kept for entries that ask again.
struct EndedRun {
  RunEnded ended;
  core::Time ended_at;
  /// The entry that ordered the run; empty if it was not ordered through this
  /// process, so that the entry is uncertain.
  core::NodeId home;
};

/// Order the target to start a run. The answer is passed to OnStartAnswer.
struct OrderStart {
  core::Address address;
  TargetId target;
  RunRef run;
  std::string payload;
  TargetClock start_deadline;
};

/// Order the target to stop a run. The answer is passed to OnStopAnswer.
struct OrderStop {
  core::Address address;
  TargetId target;
  RunRef run;
};

/// Poll the target's runs and renew their lease. The answer is passed to
/// OnPollAnswer.
struct OrderPoll {
  core::Address address;
  TargetId target;
  std::int64_t last_end = 0;
  /// End of the renewed lease on the target's clock; empty to not renew it.
  std::optional<TargetClock> lease_until;
  core::Duration wait{0};
  /// Passed back to OnPollAnswer to tell the answers of concurrent polls apart.
  std::uint64_t number = 0;
};

/// Store the target where a later gate process at this address finds it.
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
                 SendTo<RunEnded>, SendTo<RunProgress>, SendTo<OperatorUpdate>,
                 StoreTarget>;

/// A log line about an event that affects a run or the state of the gate or
/// entry. `message` is a constant string.
struct LogLine {
  const char* message = "";
  /// The job, run, gate, entry, target or failure domain concerned; empty for
  /// none.
  std::string subject;
  /// Further fields as pairs of name and value.
  std::vector<std::pair<const char*, std::string>> fields;
};

/// Counters for the metrics endpoint.
struct GateCounts {
  std::uint64_t starts = 0;
  std::uint64_t unclear_starts = 0;
  std::map<RefusalReason, std::uint64_t> refusals;
  std::map<RunEnd, std::uint64_t> ends;
  std::uint64_t lost_polls = 0;
  std::uint64_t target_crashes = 0;
  std::uint64_t timed_out_entries = 0;
  /// Offers of room to entries, and offers that expired without an answer.
  std::uint64_t offers = 0;
  std::uint64_t lapsed_offers = 0;
  /// Messages about the progress of runs, and those of them that reported a
  /// standing run.
  std::uint64_t progress_messages = 0;
  std::uint64_t standing_runs = 0;
  /// Announced departures, and starts accepted between the announcement and the
  /// departure.
  std::uint64_t departures = 0;
  std::uint64_t starts_before_departure = 0;
  /// Reservations made, and those whose time has passed by a margin.
  std::uint64_t reservations = 0;
  std::uint64_t lapsed_reservations = 0;
  /// Reservations that ended with an offer to their holder.
  std::uint64_t kept_reservations = 0;
  /// Offers of reserved room to runs that end before the reserved time.
  std::uint64_t backfills = 0;
  /// Starts that were refused because of a reservation.
  std::uint64_t reserved_refusals = 0;
  /// Learned speeds that were stored.
  std::uint64_t stored_speeds = 0;
  /// Announcements of other targets or incarnations that were not taken over.
  std::uint64_t ignored_candidates = 0;
};

/// All state of a gate.
struct GateBoard {
  Policy policy;
  /// Failure domain of this VM.
  core::DomainId domain;
  OperatorState operator_state;
  /// Digest of `operator_state.drained`.
  std::uint64_t domains_digest = DomainsDigest({});
  std::optional<Target> target;
  std::optional<TargetCandidate> candidate;
  std::map<RunRef, GateRun> runs;
  std::map<RunRef, EndedRun> ended_runs;
  /// By the entry's address: a new incarnation replaces the old one.
  std::map<core::Address, HomeLink> homes;
  /// Polls that are not answered yet, by number.
  std::map<std::uint64_t, OpenPoll> polls;
  std::uint64_t last_poll = 0;
  /// State of the pseudo-random generator that spreads updates over time.
  std::uint64_t random = 0x9e3779b97f4a7c15ULL;
  bool stopping = false;
  /// When the gate last handled a tick or a message of an entry; empty until
  /// then.
  std::optional<core::Time> last_event_at;
  /// Usability of the target as last logged.
  bool was_usable = false;
  std::vector<GateAction> actions;
  std::vector<LogLine> log_lines;
  GateCounts counts;
  std::optional<RoomReservation> reservation;
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_GATE_BOARD_H_
