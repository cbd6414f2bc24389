#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "gate_internal.h"
#include "gate_lease.h"
#include "target_candidate.h"

// Polls of the target, and what their answers tell of its runs.

namespace tarragon::coordinator {
namespace {

/// Maximum number of ends that the target lists in one answer. If the list is
/// full, a missing run proves nothing.
constexpr std::size_t kMaxListedEnds = 500;
/// A poll that is unanswered for this time after `Policy::hold_wait` is
/// probably lost, so another is sent without waiting for it.
constexpr core::Duration kPollOverdueAfter = std::chrono::milliseconds(40);
/// Maximum number of pending polls.
constexpr std::size_t kMaxPolls = 4;
/// Number of pending polls while answers get lost, so that an end is seen
/// promptly in spite of the losses.
constexpr std::size_t kPollsWhenLossy = 2;
/// Interval between such polls, so that one is still held open when the other
/// returns.
constexpr core::Duration kPollSpacing = std::chrono::milliseconds(20);
/// Answers are considered lossy for this time after a failed poll.
constexpr core::Duration kLossMemory = std::chrono::seconds(2);
/// Pause after a failed poll. Several pauses fit into `target_silence`.
constexpr core::Duration kPollPause = std::chrono::milliseconds(60);

/// True if a run that the poll does not list has certainly ended, or can never
/// start.
bool IsProvedEnded(const GateRun& run, const PollReply& poll,
                   core::Time poll_sent) {
  const bool stopped =
      run.stop_answered_at.has_value() && *run.stop_answered_at < poll_sent;
  switch (run.phase) {
    case RunPhase::kStarting:
      return false;
    case RunPhase::kRunning:
    case RunPhase::kUnclaimed:
      return run.started_at < poll_sent;
    case RunPhase::kUnclear:
      // The deadline is on the clock of the incarnation that was ordered.
      return stopped ||
             (run.ordered_born == poll.born && poll.clock > run.start_deadline);
    case RunPhase::kSealing:
      return stopped;
  }
  return false;
}

void ApplyListedEnds(GateBoard* board, core::Time now, const PollReply& poll) {
  Target& target = *board->target;
  for (const ListedEnd& each : poll.ended) {
    if (each.number <= target.last_end) continue;
    target.last_end = each.number;
    if (board->runs.contains(each.run)) {
      EndRun(board, now, each.run, each.end, RefusalReason::kNone);
    } else {
      board->ended_runs[each.run] = {
          {each.run, each.end, RefusalReason::kNone, core::Duration{0}},
          now,
          {}};
    }
  }
}

void ApplyListedRuns(GateBoard* board, core::Time now, const PollReply& poll,
                     core::Time poll_sent) {
  std::set<RunRef> listed;
  for (const ListedRun& each : poll.running) {
    listed.insert(each.run);
    const auto found = board->runs.find(each.run);
    if (found == board->runs.end()) {
      const auto ended = board->ended_runs.find(each.run);
      const bool was_ended = ended != board->ended_runs.end();
      // The list may be older than an end that was processed already.
      if (was_ended && poll_sent <= ended->second.ended_at) continue;
      GateRun run;
      run.phase = RunPhase::kUnclaimed;
      run.ordered_at = now;
      run.started_at = now;
      run.found = true;
      UpdateProgress(board, now, poll.clock, each, &run);
      board->runs[each.run] = run;
      AddLogLine(board, "Found a run that this gate did not order.",
                 ToString(each.run), {});
      // Its entry may have placed the task again.
      if (was_ended) StopRun(board, now, each.run, &board->runs[each.run]);
      continue;
    }
    // An order that was sent shortly before has reached a new incarnation.
    found->second.target_crashed = false;
    if (found->second.phase == RunPhase::kStarting) {
      found->second.phase = RunPhase::kRunning;
      found->second.started_at = now;
    }
    UpdateProgress(board, now, poll.clock, each, &found->second);
  }
  if (poll.ended.size() >= kMaxListedEnds) return;
  std::vector<RunRef> ended;
  for (const auto& [ref, run] : board->runs) {
    if (!listed.contains(ref) && IsProvedEnded(run, poll, poll_sent)) {
      ended.push_back(ref);
    }
  }
  for (const RunRef& ref : ended) {
    const bool ran = board->runs[ref].phase == RunPhase::kRunning;
    EndRun(board, now, ref, ran ? RunEnd::kLapsed : RunEnd::kStopped,
           RefusalReason::kNone);
  }
}

/// True if the end of a run can be proved only by a poll that is sent after the
/// answer to the run's stop.
bool NeedsLaterPoll(const GateBoard& board) {
  const core::Time newest = board.polls.rbegin()->second.sent_at;
  for (const auto& [ref, run] : board.runs) {
    const bool unproved =
        run.phase == RunPhase::kUnclear || run.phase == RunPhase::kSealing;
    if (unproved && run.stop_answered_at.has_value() &&
        *run.stop_answered_at >= newest) {
      return true;
    }
  }
  return false;
}

/// True if another poll may be sent now.
bool CanSendPoll(const GateBoard& board, core::Time now) {
  const Target& target = *board.target;
  if (board.polls.empty()) {
    return !target.silent_since.has_value() ||
           now - target.last_poll_failure_at >= kPollPause;
  }
  if (board.polls.size() >= kMaxPolls) return false;
  const core::Duration under_way = now - board.polls.rbegin()->second.sent_at;
  if (under_way >= board.policy.hold_wait + kPollOverdueAfter) return true;
  const bool lossy = now - target.last_poll_failure_at < kLossMemory;
  if (lossy && board.polls.size() < kPollsWhenLossy) {
    return under_way >= kPollSpacing;
  }
  return now > board.polls.rbegin()->second.sent_at && NeedsLaterPoll(board);
}

bool HasUnprovedRuns(const GateBoard& board) {
  for (const auto& [ref, run] : board.runs) {
    if (run.phase == RunPhase::kUnclear || run.phase == RunPhase::kSealing ||
        run.phase == RunPhase::kUnclaimed) {
      return true;
    }
  }
  return false;
}

}  // namespace

void RecordTargetAnswer(GateBoard* board, core::Time now) {
  if (!board->target.has_value()) return;
  Target& target = *board->target;
  target.last_answer_at = now;
  if (!target.silent_since.has_value()) return;
  target.silent_since.reset();
  AddLogLine(board, "The target answers again.",
             target.announcement.target.value(), {});
  MarkAllReportsDue(board);
}

void PollIfDue(GateBoard* board, core::Time now) {
  if (!board->target.has_value()) return;
  Target& target = *board->target;
  const bool ends_unconfirmed = target.last_end > target.confirmed_end;
  if (board->runs.empty() && target.runs_known && !ends_unconfirmed &&
      !AwaitsKnownTarget(*board)) {
    return;
  }
  // A target that neither answers nor announces itself has ended.
  const bool is_gone =
      target.silent_since.has_value() &&
      now - target.announced_at > board->policy.announcement_timeout;
  if (is_gone || !CanSendPoll(*board, now)) return;
  OrderPoll poll;
  poll.address = target.announcement.address;
  poll.target = target.announcement.target;
  poll.last_end = target.last_end;
  // If the lease is not renewed, it expires, which proves that the runs of a
  // dead target have ended.
  const bool renew =
      !target.silent_since.has_value() ||
      now - *target.silent_since < board->policy.lease_renewal_silence;
  if (target.runs_known && renew) poll.lease_until = RenewLease(board, now);
  if (target.runs_known && !HasUnprovedRuns(*board) && !board->runs.empty()) {
    poll.wait = AwaitsProgress(*board, now) ? board->policy.progress_hold_wait
                                            : board->policy.hold_wait;
  }
  poll.number = ++board->last_poll;
  board->polls[poll.number] = {now, poll.last_end};
  board->actions.push_back(poll);
}

void OnPollAnswer(GateBoard* board, core::Time now, std::uint64_t number,
                  const std::optional<PollReply>& poll, PollFailure failure) {
  if (IsPollOfCandidate(*board, number)) {
    OnCandidateAnswer(board, now, poll, failure);
    return FinishEvent(board, now);
  }
  const auto open = board->polls.find(number);
  if (!board->target.has_value() || open == board->polls.end()) return;
  const OpenPoll asked = open->second;
  board->polls.erase(open);
  Target& target = *board->target;
  if (!poll.has_value()) {
    ++board->counts.lost_polls;
    target.last_poll_failure_at = now;
    if (!target.silent_since.has_value() &&
        target.last_answer_at < asked.sent_at) {
      target.silent_since = asked.sent_at;
      AddLogLine(board, "A poll of the target was not answered.",
                 target.announcement.target.value(), {});
    }
    if (failure == PollFailure::kRefused) RecordCrash(board, "refused");
    return FinishEvent(board, now);
  }
  const bool is_new_life = poll->born != target.announcement.born;
  if (is_new_life &&
      IsCandidate(*board, target.announcement.target, poll->born)) {
    AdoptCandidate(board, now);
  } else if (is_new_life) {
    // The polls of earlier incarnations are not open any more, so this one is
    // new even if the clock by which it was started is behind.
    BeginIncarnation(board, now, poll->born, poll->clock);
    AddLogLine(board, "A poll found a new incarnation of the target.",
               target.announcement.target.value(),
               {{"born", std::to_string(poll->born.value())}});
  } else {
    RevokeCrash(board);
    target.confirmed_end = std::max(target.confirmed_end, asked.last_end);
  }
  ApplyPollReply(board, now, *poll, asked.sent_at);
  FinishEvent(board, now);
}

void ApplyPollReply(GateBoard* board, core::Time now, const PollReply& poll,
                    core::Time poll_sent) {
  Target& target = *board->target;
  RecordTargetAnswer(board, now);
  if (poll.clock > target.clock) {
    target.clock = poll.clock;
    target.clock_read_at = now;
  }
  if (!target.runs_known) {
    MarkAllReportsDue(board);
    target.runs_known_since = now;
    // An earlier process may have renewed the lease shortly before.
    target.lease_until = std::max(
        target.lease_until, TargetClock(poll.clock.value() +
                                        core::Millis(board->policy.max_lease)));
  }
  target.runs_known = true;
  target.has_answered = true;
  ApplyListedEnds(board, now, poll);
  ApplyListedRuns(board, now, poll, poll_sent);
}

}  // namespace tarragon::coordinator
