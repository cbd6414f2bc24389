#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "gate_internal.h"
#include "gate_lease.h"
#include "leaving_target.h"
#include "operator_sync.h"
#include "precedence.h"
#include "room_reservation.h"

namespace tarragon::coordinator {
namespace {

constexpr double kPermille = 1000;
constexpr std::int64_t kPermilleOfWhole = 1000;
/// Upper limit of the reported slowness.
constexpr double kMaxSlowness = 100;

/// Grades the target by its ended runs and its overdue ones.
TargetGrade GradeTarget(GateBoard* board, core::Time now) {
  std::vector<JobSample> overdue;
  const std::uint32_t speed = SpeedPermille(board->target->speed);
  const double overdue_factor =
      speed == 0 ? kOverdueFactor
                 : std::max(kOverdueFactor, kOverdueFactor * kPermille / speed);
  for (const auto& [ref, run] : board->runs) {
    if (run.phase != RunPhase::kRunning) continue;
    const std::optional<double> projected = ProjectSlowness(*board, run, now);
    const double slowness = projected.value_or(ComputeSlowness(run, now));
    if (slowness <= overdue_factor) continue;
    if (projected.has_value() && !DoOthersAgree(*board, now, ref.task.job)) {
      continue;
    }
    overdue.push_back({ref.task.job, now, slowness, false});
  }
  return UpdateGrade(&board->target->history, now,
                     board->policy.target_history_age, overdue);
}

bool HasRunOfTask(const GateBoard& board, const TaskRef& task) {
  const auto at = board.runs.lower_bound(RunRef{task, 0});
  return at != board.runs.end() && at->first.task == task;
}

bool IsTimedOut(const GateBoard& board, const core::NodeId& entry) {
  const auto found = board.homes.find(entry.address);
  return found != board.homes.end() && found->second.timed_out;
}

/// True if the entry has asked to stop the run before its start was read.
bool IsBeingSealed(const GateBoard& board, const core::NodeId& from,
                   const RunRef& run) {
  const auto found = board.runs.find(run);
  return found != board.runs.end() && found->second.home == from &&
         found->second.phase == RunPhase::kSealing;
}

RefusalReason CheckStart(const GateBoard& board, core::Time now,
                         const core::NodeId& from, const StartRun& start) {
  if (now > start.start_by || IsTimedOut(board, from)) {
    return RefusalReason::kStale;
  }
  if (board.ended_runs.contains(start.run)) return RefusalReason::kSealed;
  if (IsBeingSealed(board, from, start.run)) return RefusalReason::kSealed;
  if (HasRunOfTask(board, start.run.task)) return RefusalReason::kDuplicate;
  if (board.operator_state.revision < start.operator_revision &&
      board.domains_digest != start.domains_digest) {
    return RefusalReason::kStale;
  }
  if (IsDrained(board.operator_state, board.domain)) {
    return RefusalReason::kDomainOut;
  }
  if (!IsUsable(board, now) && !CanStartBeforeDeparture(board, now, start)) {
    return RefusalReason::kNoTarget;
  }
  const Announcement& announcement = board.target->announcement;
  if (announcement.service != start.service) return RefusalReason::kWrongTarget;
  const bool labelled =
      start.required.value().empty() ||
      std::find(announcement.labels.begin(), announcement.labels.end(),
                start.required) != announcement.labels.end();
  if (!labelled) return RefusalReason::kWrongTarget;
  if (start.suspect && HasSuspect(board)) return RefusalReason::kOtherSuspect;
  if (!Fits(start.room, ComputeFreeRoom(board))) return RefusalReason::kNoRoom;
  if (BreaksReservation(board, now, start)) return RefusalReason::kNoRoom;
  if (!IsLeaseLongEnough(board, now)) return RefusalReason::kNoTarget;
  return RefusalReason::kNone;
}

/// Fills in the room that is free for the entry, and when it gets more if some
/// entry waits for room.
void FillRoom(const GateBoard& board, core::Time now, const HomeLink& home,
              TargetReport* report) {
  const Room free =
      ComputeFreeRoom(board) - SumRoomOfferedToOthers(board, home.node);
  report->free = ComputeUnreservedRoom(board, now, free, core::Duration{0});
  // An offer may include reserved room.
  if (home.offer.has_value() && !Fits(home.offer->room, report->free)) {
    report->free = home.offer->room;
  }
  if (!board.policy.reserve_room || !IsRoomAwaited(board, free)) return;
  const std::int64_t hidden = free.millicores - report->free.millicores;
  report->releases = MakeReleaseRows(FindReleases(board, now), now,
                                     ComputeClaim(board, home, hidden));
}

void SendStart(GateBoard* board, core::Time now, const core::NodeId& home,
               StartRun start) {
  Target& target = *board->target;
  GateRun run;
  run.room = start.room;
  run.suspect = start.suspect;
  run.home = home;
  run.ordered_at = now;
  run.ordered_born = target.announcement.born;
  run.expected_run_time = start.expected_run;
  // The run itself limits the lease, too.
  board->runs[start.run] = run;
  run.start_deadline = LimitStartDeadline(
      *board, now, start, MakeLeaseEnd(*board, now, FindLeaseLimit(*board)));
  target.lease_until = std::max(target.lease_until, run.start_deadline);
  board->runs[start.run] = run;
  ++board->counts.starts;
  if (target.announcement.draining) ++board->counts.starts_before_departure;
  MarkRoomChanged(board, home);
  board->actions.push_back(
      OrderStart{target.announcement.address, target.announcement.target,
                 start.run, std::move(start.payload), run.start_deadline});
}

}  // namespace

void RefuseStart(GateBoard* board, const core::NodeId& home, const RunRef& run,
                 RefusalReason reason, LogFields details) {
  ++board->counts.refusals[reason];
  LogFields fields = {{"reason", Name(reason)},
                      {"entry", core::ToString(home)}};
  fields.insert(fields.end(), details.begin(), details.end());
  AddLogLine(board, "Refused a start.", ToString(run), std::move(fields));
  board->actions.push_back(SendTo<RunEnded>{
      home, {run, RunEnd::kRefused, reason, core::Duration{0}}});
}

HomeLink& RecordEntryContact(GateBoard* board, core::Time now,
                             const core::NodeId& from) {
  RecordEvent(board, now);
  HomeLink& home = board->homes[from.address];
  if (home.node != from) {
    LogFields details;
    if (!home.node.address.value().empty()) {
      const std::size_t stopped =
          StopRunsOfEntry(board, now, home.node, StopReason::kEntryReplaced);
      details = {{"replaces", core::ToString(home.node)},
                 {"silent", DescribeSilence(*board, now, home.node)},
                 {"runs", std::to_string(stopped)}};
    }
    home = HomeLink{};
    home.node = from;
    home.confirmed_report_at = now;
    home.report_due = true;
    AddLogLine(board, "Connected to an entry.", core::ToString(from),
               std::move(details));
  } else if (!home.connected) {
    home.report_due = true;
    AddLogLine(board, "Reconnected to an entry.", core::ToString(from), {});
  }
  home.connected = true;
  home.last_heard_at = now;
  return home;
}

void MarkAllReportsDue(GateBoard* board) {
  for (auto& [address, home] : board->homes) home.report_due = true;
}

void MarkRoomChanged(GateBoard* board, const core::NodeId& home) {
  for (auto& [address, link] : board->homes) {
    if (link.node == home) {
      link.report_due = true;
    } else {
      link.room_changed = true;
    }
  }
}

/// Computes the pause between two reports of room that other entries have taken
/// or released. It grows with the number of entries, so that the cost of all
/// reports grows linearly, not with the square.
core::Duration ComputeRoomReportPause(const GateBoard& board) {
  const Policy& policy = board.policy;
  const std::int64_t homes = static_cast<std::int64_t>(board.homes.size());
  if (!board.target.has_value()) return policy.notice_interval;
  const std::int64_t scarce = board.target->announcement.capacity.millicores *
                              policy.scarce_permille / kPermilleOfWhole;
  const core::Duration pause =
      homes * (ComputeFreeRoom(board).millicores < scarce
                   ? policy.scarce_room_report_pause
                   : policy.ample_room_report_pause);
  return std::min(pause, policy.notice_interval);
}

bool IsReportDue(const GateBoard& board, core::Time now, const HomeLink& home) {
  const core::Duration pause = now - home.report_sent_at;
  if (!home.connected) return pause >= board.policy.reconnect_interval;
  if (home.report_due || pause >= board.policy.notice_interval) return true;
  return home.room_changed && pause >= ComputeRoomReportPause(board);
}

void SendOperatorUpdates(GateBoard* board, core::Time now) {
  for (auto& [address, home] : board->homes) {
    if (!home.connected || !home.operator_copy.has_value()) continue;
    std::optional<OperatorUpdate> update = NextOperatorUpdate(
        board->operator_state, board->domains_digest, *home.operator_copy, now,
        NextRandom(&board->random), &home.operator_sync);
    if (!update.has_value()) continue;
    board->actions.push_back(
        SendTo<OperatorUpdate>{home.node, std::move(*update)});
  }
}

/// Adds the demand of the other entries to one report per notice interval.
void AddOthersDemand(const GateBoard& board, core::Time now, HomeLink* home,
                     TargetReport* report) {
  if (home->demand.empty() ||
      now - home->demand_sent_at < board.policy.notice_interval) {
    return;
  }
  home->demand_sent_at = now;
  report->others_demand = SumDemandOfOthers(board, now, *home);
}

void SendReports(GateBoard* board, core::Time now) {
  for (auto& [address, home] : board->homes) {
    if (!IsReportDue(*board, now, home)) continue;
    home.room_changed = false;
    home.report_due = false;
    home.report_sent_at = now;
    TargetReport report;
    if (board->target.has_value())
      report = MakeReport(board->target->announcement);
    report.clock = now;
    report.starts_seen = home.starts_seen;
    report.usable = IsUsable(*board, now);
    report.domain = board->domain;
    report.operator_revision = board->operator_state.revision;
    report.domains_digest = board->domains_digest;
    report.config_version = board->operator_state.version;
    if (board->target.has_value()) {
      report.runs_known = board->target->runs_known;
      report.entries = static_cast<std::uint32_t>(board->homes.size());
      report.has_suspect = HasSuspect(*board);
      report.leaves_in = ComputeLeavesIn(*board, now);
      FillRoom(*board, now, home, &report);
      report.offered = home.offer_due;
      const TargetGrade grade = GradeTarget(board, now);
      report.slowness_permille = static_cast<std::uint32_t>(
          std::min(grade.slowness, kMaxSlowness) * kPermille);
      report.speed_permille = SpeedPermille(board->target->speed);
      report.failed_permille =
          static_cast<std::uint32_t>(grade.failed_share * kPermille);
    }
    AddOthersDemand(*board, now, &home, &report);
    home.offer_due = false;
    board->actions.push_back(
        SendTo<TargetReport>{home.node, std::move(report)});
  }
}

void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               const EntryNotice& notice) {
  HomeLink& home = RecordEntryContact(board, now, from);
  home.operator_copy = OperatorCopy{
      notice.operator_revision, notice.domains_digest, notice.config_version};
  home.demand = notice.demand;
  home.demand_at = now;
  // An echo from the future belongs to another VM that had this address.
  if (notice.echo.since_start.count() > 0 && notice.echo <= now) {
    home.echoed_report_at =
        std::max(home.echoed_report_at.value_or(notice.echo), notice.echo);
  }
  const core::Time read =
      notice.clients_read == core::Time{} ? notice.echo : notice.clients_read;
  if (read <= now) home.clients_read_at = std::max(home.clients_read_at, read);
  if (notice.echo > home.confirmed_report_at && notice.echo <= now) {
    home.confirmed_report_at = notice.echo;
  }
  if (now - home.confirmed_report_at <= board->policy.home_silence &&
      home.timed_out) {
    home.timed_out = false;
    AddLogLine(board, "A timed-out entry responds again.", core::ToString(from),
               {});
  }
  std::uint64_t& revision = board->operator_state.revision;
  if (notice.domains_digest == board->domains_digest) {
    revision = std::max(revision, notice.operator_revision);
  }
  FinishEvent(board, now);
}

void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               OperatorUpdate update) {
  HomeLink& sender = RecordEntryContact(board, now, from);
  if (!sender.operator_copy.has_value()) sender.operator_copy.emplace();
  RecordOperatorUpdate(update, &*sender.operator_copy);
  const bool was_drained = IsDrained(board->operator_state, board->domain);
  const std::uint64_t old_revision = board->operator_state.revision;
  const OperatorChange change = MergeOperatorState(
      std::move(update.state), update.domains_only, &board->operator_state);
  if (!change.configuration && !change.domains) return;
  const OperatorState& applied = board->operator_state;
  AddLogLine(board, "Applied a newer operator state.", core::ToString(from),
             {{"revision", std::to_string(applied.revision)},
              {"old_revision", std::to_string(old_revision)},
              {"version", std::to_string(applied.version)}});
  board->domains_digest = DomainsDigest(applied.drained);
  for (auto& [address, home] : board->homes) home.operator_sync = {};
  const bool is_drained = IsDrained(board->operator_state, board->domain);
  if (was_drained != is_drained) {
    AddLogLine(board,
               "The failure domain was taken out of service or put back.",
               board->domain.value(),
               {{"out", is_drained ? "true" : "false"},
                {"revision", std::to_string(board->operator_state.revision)}});
  }
  MarkAllReportsDue(board);
  FinishEvent(board, now);
}

void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               StartRun start) {
  HomeLink& home = RecordEntryContact(board, now, from);
  home.starts_seen = std::max(home.starts_seen, start.sequence);
  home.clients_read_at = std::max(home.clients_read_at,
                                  FindClientsRead(board->policy, now, start));
  home.offer.reset();
  home.report_due = true;
  if (BreaksReservation(*board, now, start)) {
    ++board->counts.reserved_refusals;
  }
  const RefusalReason reason = CheckStart(*board, now, from, start);
  if (reason == RefusalReason::kNone) {
    SendStart(board, now, from, std::move(start));
  } else {
    RefuseStart(board, from, start.run, reason,
                DescribeRefusal(*board, now, start, reason));
  }
  FinishEvent(board, now);
}

void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               TargetHint hint) {
  RecordEntryContact(board, now, from);
  OnPreviousTargetFound(board, now, std::move(hint.last), core::ToString(from));
}

void OnEntryFound(GateBoard* board, core::Time now,
                  const core::Address& address) {
  if (board->homes.contains(address)) return;
  HomeLink& home = board->homes[address];
  home.node.address = address;
  home.last_heard_at = now;
  home.confirmed_report_at = now;
  home.connected = false;
  // The entry also connects to all gates, and one connection is enough, so the
  // first attempt is delayed.
  home.report_sent_at =
      now - board->policy.reconnect_interval + board->policy.first_dial_delay;
  AddLogLine(board, "Discovered an entry.", address.value(), {});
  FinishEvent(board, now);
}

void OnEntryDisconnected(GateBoard* board, core::Time now,
                         const core::NodeId& home) {
  for (auto& [address, link] : board->homes) {
    if (address != home.address) continue;
    if (link.connected && link.node.incarnation.value() != 0) {
      AddLogLine(
          board, "Lost the connection to an entry.", core::ToString(link.node),
          {{"silent",
            std::to_string(core::Millis(now - link.last_heard_at)) + "ms"}});
    }
    link.connected = false;
    link.operator_sync = OperatorSync{};
    link.want.reset();
    link.offer.reset();
  }
}

void OnEntryReplaced(GateBoard* board, core::Time now,
                     const core::NodeId& home) {
  const std::size_t stopped =
      StopRunsOfEntry(board, now, home, StopReason::kEntryReplaced);
  const auto found = board->homes.find(home.address);
  if (found != board->homes.end() && found->second.node == home) {
    AddLogLine(board, "An entry was replaced by another incarnation.",
               core::ToString(home),
               {{"silent", DescribeSilence(*board, now, home)},
                {"runs", std::to_string(stopped)}});
    board->homes.erase(found);
  }
  FinishEvent(board, now);
}

void ChangeDomain(GateBoard* board, core::Time now,
                  const core::DomainId& domain) {
  if (domain == board->domain) return;
  board->domain = domain;
  MarkAllReportsDue(board);
  FinishEvent(board, now);
}

void RequestStop(GateBoard* board, core::Time now) {
  board->stopping = true;
  MarkAllReportsDue(board);
  FinishEvent(board, now);
}

}  // namespace tarragon::coordinator
