#include <algorithm>
#include <string>
#include <vector>

#include "gate_internal.h"
#include "leaving_target.h"
#include "target_candidate.h"

namespace tarragon::coordinator {
namespace {

/// Entries may claim unclaimed runs within this time after the runs are known,
/// which covers two notices. A run that is found later was ordered by an
/// earlier process and delayed; its entry has claimed it before or is gone.
constexpr core::Duration kClaimTime = std::chrono::milliseconds(300);
/// Entries always have this time to claim a run. Within it a restarted gate
/// reads the list of entries from the store.
constexpr core::Duration kMinClaimTime = std::chrono::milliseconds(60);
/// A run ends within 50 ms after its stop is answered. If it is still listed
/// after this time, the stop is sent again.
constexpr core::Duration kStopRepeat = std::chrono::milliseconds(250);

/// Ends all runs, for instance those of another target.
void EndAllRuns(GateBoard* board, core::Time now, RunEnd end) {
  std::vector<RunRef> refs;
  for (const auto& [ref, run] : board->runs) refs.push_back(ref);
  for (const RunRef& ref : refs) {
    EndRun(board, now, ref, end, RefusalReason::kNone);
  }
}

/// True if every entry has acknowledged a report sent since the target's runs
/// are known, so it has claimed its runs by now.
bool HaveAllEntriesClaimedRuns(const GateBoard& board, core::Time now) {
  if (board.homes.empty()) return false;
  const core::Time known = board.target->runs_known_since;
  if (now - known < kMinClaimTime) return false;
  return std::all_of(board.homes.begin(), board.homes.end(),
                     [known](const auto& entry) {
                       return entry.second.echoed_report_at.has_value() &&
                              *entry.second.echoed_report_at >= known;
                     });
}

void RepeatStops(GateBoard* board, core::Time now) {
  for (auto& [ref, run] : board->runs) {
    if (run.phase == RunPhase::kUnclaimed && !run.stop_requested &&
        (now - board->target->runs_known_since > kClaimTime ||
         HaveAllEntriesClaimedRuns(*board, now))) {
      StopRun(board, now, ref, &run);
    }
    const bool wants = run.stop_requested || run.phase == RunPhase::kUnclear ||
                       run.phase == RunPhase::kSealing;
    if (!wants || run.stop_pending) continue;
    const core::Duration pause = run.stop_answered_at.has_value()
                                     ? kStopRepeat
                                     : board->policy.stop_retry_pause;
    if (now - run.stop_sent_at >= pause) SendStop(board, now, ref, &run);
  }
}

/// Ends all runs of a silent target once the last lease has expired.
void EndLapsedRuns(GateBoard* board, core::Time now) {
  Target& target = *board->target;
  if (board->runs.empty() || !target.silent_since.has_value()) return;
  const std::int64_t over =
      target.lease_until.value() + core::Millis(board->policy.lease_slack);
  if (EstimateTargetClock(target, now).value() <= over) return;
  EndAllRuns(board, now, RunEnd::kLapsed);
  target.runs_known = false;
}

void RecordDeparture(GateBoard* board, core::Time now,
                     const Departure& departure) {
  const bool is_new =
      departure.noticed_at.has_value() &&
      departure.noticed_at != board->target->departure.noticed_at;
  board->target->departure = departure;
  if (!is_new) return;
  ++board->counts.departures;
  AddLogLine(
      board, "The target leaves; it accepts runs that end before.",
      board->target->announcement.target.value(),
      {{"leaves_in",
        std::to_string(core::Millis(departure.leaves_at - now)) + "ms"},
       {"drain_bound",
        std::to_string(core::Millis(board->policy.drain_bound)) + "ms"},
       {"sequence", std::to_string(board->target->announcement.sequence)},
       {"runs", std::to_string(board->runs.size())}});
}

/// True if the announcement may follow the last one of the known incarnation,
/// whose service and address do not change.
bool ContinuesKnown(const Target& known, const Announcement& announcement) {
  if (announcement.sequence <= known.announcement.sequence) return false;
  if (known.announcement.sequence == kNotAnnounced) return true;
  return announcement.service == known.announcement.service &&
         announcement.address == known.announcement.address;
}

/// Sets the last announcement of the known incarnation, received at `received`.
void SetAnnouncement(GateBoard* board, core::Time received,
                     const Announcement& announcement) {
  Target& target = *board->target;
  if (target.announcement.draining != announcement.draining) {
    AddLogLine(board, "The target started or stopped draining.",
               announcement.target.value(),
               {{"leaving", announcement.draining ? "true" : "false"}});
  }
  target.announcement = announcement;
  target.announced_at = received;
  // A target without runs is not polled, so this keeps the estimate close.
  if (target.clock.value() == 0 || !target.runs_known ||
      announcement.clock > EstimateTargetClock(target, received)) {
    target.clock = announcement.clock;
    target.clock_read_at = received;
  }
  MarkAllReportsDue(board);
}

}  // namespace

void BeginIncarnation(GateBoard* board, core::Time now, TargetIncarnation born,
                      TargetClock clock) {
  Target& target = *board->target;
  if (!board->runs.empty()) RecordCrash(board, "new_incarnation");
  target.crashed = false;
  target.has_answered = false;
  // What the earlier incarnation announced says nothing about this one, which
  // counts its announcements anew.
  target.announcement.born = born;
  target.announcement.sequence = kNotAnnounced;
  target.announcement.draining = false;
  target.runs_known = false;
  target.last_end = 0;
  target.confirmed_end = 0;
  target.clock = clock;
  target.clock_read_at = now;
  target.lease_until =
      TargetClock(clock.value() + core::Millis(board->policy.max_lease));
  target.history = TargetHistory{};
  target.departure = Departure{};
  target.silent_since.reset();
  // A stop that an earlier incarnation has answered does not keep this one from
  // carrying out a start that arrives later.
  for (auto& [ref, run] : board->runs) run.stop_answered_at.reset();
  board->polls.clear();
}

bool IsUsable(const GateBoard& board, core::Time now) {
  return IsInService(board, now) && !board.target->announcement.draining;
}

bool IsInService(const GateBoard& board, core::Time now) {
  if (!board.target.has_value() || board.stopping) return false;
  const Target& target = *board.target;
  if (!target.runs_known) return false;
  if (target.announcement.sequence == kNotAnnounced) return false;
  if (IsTargetInDoubt(board)) return false;
  if (now - target.announced_at > board.policy.announcement_timeout)
    return false;
  if (target.silent_since.has_value() &&
      now - *target.silent_since > board.policy.target_silence) {
    return false;
  }
  return !IsDrained(board.operator_state, board.domain) &&
         !IsDrained(board.operator_state, target.announcement.domain);
}

void OnAnnouncement(GateBoard* board, core::Time now,
                    const Announcement& announcement) {
  if (board->target.has_value() &&
      !IsSameIncarnation(board->target->announcement, announcement)) {
    ConsiderCandidate(board, now, announcement);
    return FinishEvent(board, now);
  }
  const Departure departure = UpdateDeparture(board->target, now, announcement);
  if (!ApplyAnnouncement(board, now, announcement)) return;
  RecordDeparture(board, now, departure);
  StoreTargetIfChanged(board, announcement);
  FinishEvent(board, now);
}

bool ApplyAnnouncement(GateBoard* board, core::Time now,
                       const Announcement& announcement) {
  if (!board->target.has_value()) {
    board->target.emplace();
    board->target->announcement = announcement;
    BeginIncarnation(board, now, announcement.born, announcement.clock);
    AddLogLine(board, "The target announced itself.",
               announcement.target.value(),
               {{"address", announcement.address.value()},
                {"service", announcement.service.value()},
                {"born", std::to_string(announcement.born.value())}});
  } else if (!ContinuesKnown(*board->target, announcement)) {
    AddLogLine(board, "Ignored an outdated announcement of the target.",
               announcement.target.value(),
               {{"sequence", std::to_string(announcement.sequence)},
                {"known_sequence",
                 std::to_string(board->target->announcement.sequence)},
                {"service", announcement.service.value()},
                {"address", announcement.address.value()}});
    return false;
  }
  SetAnnouncement(board, now, announcement);
  return true;
}

void AdoptCandidate(GateBoard* board, core::Time now) {
  const TargetCandidate candidate = *board->candidate;
  const Announcement& announcement = candidate.announcement;
  board->candidate.reset();
  const Departure departure =
      UpdateDeparture(std::nullopt, candidate.announced_at, announcement);
  const bool is_other =
      board->target->announcement.target != announcement.target;
  if (is_other) {
    // Orders name their target, so none can have started a run at another one.
    if (!board->runs.empty()) RecordCrash(board, "another_target");
    EndAllRuns(board, now, RunEnd::kLapsed);
    board->target->speed = TargetSpeed{};
  }
  BeginIncarnation(board, now, announcement.born, announcement.clock);
  AddLogLine(
      board,
      is_other ? "Another target announced itself."
               : "A new incarnation of the target announced itself.",
      announcement.target.value(),
      {{"born", std::to_string(announcement.born.value())},
       {"runs", std::to_string(board->runs.size())},
       {"proved_after",
        std::to_string(core::Millis(now - candidate.announced_at)) + "ms"}});
  SetAnnouncement(board, candidate.announced_at, announcement);
  RecordDeparture(board, candidate.announced_at, departure);
  StoreTargetIfChanged(board, announcement);
}

void OnTargetLeft(GateBoard* board, core::Time now, const TargetId& target) {
  if (board->candidate.has_value() &&
      board->candidate->announcement.target == target &&
      board->target->announcement.target != target) {
    board->candidate.reset();
    return FinishEvent(board, now);
  }
  if (!board->target.has_value() ||
      board->target->announcement.target != target) {
    return;
  }
  AddLogLine(board, "The target reported that it is shutting down.",
             target.value(), {});
  board->target->announcement.draining = true;
  board->target->departure = Departure{};
  StoreTargetIfChanged(board, board->target->announcement);
  MarkAllReportsDue(board);
  FinishEvent(board, now);
}

void OnTick(GateBoard* board, core::Time now) {
  RecordEvent(board, now);
  if (board->target.has_value()) {
    RepeatStops(board, now);
    EndLapsedRuns(board, now);
  }
  for (auto& [address, home] : board->homes) {
    if (now - home.confirmed_report_at <= board->policy.home_silence) continue;
    if (!home.timed_out) {
      home.timed_out = true;
      ++board->counts.timed_out_entries;
      AddLogLine(board, "An entry is silent; stopping its runs.",
                 core::ToString(home.node),
                 {{"silent", std::to_string(
                                 core::Millis(now - home.confirmed_report_at)) +
                                 "ms"}});
    }
    // A start of the entry may have been delayed until after it timed out.
    StopRunsOfEntry(board, now, home.node);
  }
  std::erase_if(board->homes, [board, now](const auto& entry) {
    return now - entry.second.last_heard_at > board->policy.forget_peer_after;
  });
  std::erase_if(board->ended_runs, [board, now](const auto& entry) {
    return now - entry.second.ended_at > board->policy.ended_run_memory;
  });
  FinishEvent(board, now);
}

void FinishEvent(GateBoard* board, core::Time now) {
  UpdateCandidate(board, now);
  const bool usable = IsUsable(*board, now);
  if (usable != board->was_usable) {
    board->was_usable = usable;
    AddLogLine(
        board,
        usable ? "The target accepts starts." : "The target accepts no starts.",
        board->target.has_value() ? board->target->announcement.target.value()
                                  : "",
        {{"runs", std::to_string(board->runs.size())},
         {"operator_revision",
          std::to_string(board->operator_state.revision)}});
    MarkAllReportsDue(board);
  }
  PollCandidateIfDue(board, now);
  PollIfDue(board, now);
  OfferFreeRoom(board, now);
  SendOperatorUpdates(board, now);
  SendReports(board, now);
}

}  // namespace tarragon::coordinator
