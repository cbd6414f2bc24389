#include <algorithm>
#include <set>
#include <string>

#include "gate_parts.h"

namespace tarragon::coordinator {
namespace {

/// The target lists at most so many ends at once; with a full list nothing can
/// be concluded from a run that is not on it.
constexpr std::size_t kMaxListedEnds = 500;
/// Entries may claim a run that was found at a target within this time: two
/// notices.
constexpr core::Duration kClaimTime = std::chrono::milliseconds(300);
/// They have at least this time, in which a gate that was restarted reads from
/// the store which entries there are.
constexpr core::Duration kLeastClaimTime = std::chrono::milliseconds(60);
/// A poll that is not answered so long after its wait is likely lost: the next
/// is sent beside it.
constexpr core::Duration kPollOverdue = std::chrono::milliseconds(40);
/// Polls under way at once.
constexpr std::size_t kMaxPolls = 4;
/// While answers get lost so many polls are kept under way, so that an end is
/// seen at once.
constexpr std::size_t kPollsWhenLossy = 2;
/// Between two of them, so that one of them has time left when the other ends.
constexpr core::Duration kPollSpacing = std::chrono::milliseconds(20);
/// Answers count as getting lost for so long after one was.
constexpr core::Duration kLossMemory = std::chrono::seconds(2);
/// Pause after a poll without an answer: several fit into `target_silence`.
constexpr core::Duration kPollPause = std::chrono::milliseconds(60);
/// After a stop is answered its run is over within 50 ms; what is still listed
/// after this is stopped once more.
constexpr core::Duration kStopRepeat = std::chrono::milliseconds(250);

bool IsNewer(const Announcement& said, const Target& known) {
  if (said.born != known.said.born) return said.born > known.said.born;
  return said.sequence > known.said.sequence;
}

/// All runs of an earlier life are over.
void EndAllRuns(GateBoard* board, core::Time now, RunEnd end) {
  std::vector<RunRef> refs;
  for (const auto& [ref, run] : board->runs) refs.push_back(ref);
  for (const RunRef& ref : refs) {
    EndRun(board, now, ref, end, RefusalReason::kNone);
  }
}

/// The target lives anew. Its runs stay in the ledger until a first poll: an
/// order that was sent shortly before may have reached the new life.
void BeginLife(GateBoard* board, core::Time now, TargetBirth born,
               TargetClock clock) {
  Target& target = *board->target;
  target.said.born = born;
  target.runs_known = false;
  target.last_end = 0;
  target.confirmed_end = 0;
  target.clock = clock;
  target.clock_at = now;
  target.lease_until =
      TargetClock(clock.value() + core::Millis(board->policy.lease));
  target.history = TargetHistory{};
  target.silent_since.reset();
  board->polls.clear();
}

/// The run has not been stopped and a poll does not list it.
bool IsProvedOver(const GateRun& run, const PollReply& poll,
                  core::Time poll_sent) {
  const bool stopped =
      run.stop_answered.has_value() && *run.stop_answered < poll_sent;
  switch (run.phase) {
    case RunPhase::kStarting:
      return false;
    case RunPhase::kRunning:
      return run.started < poll_sent;
    case RunPhase::kFound:
      return true;
    case RunPhase::kUnclear:
      return stopped || poll.clock > run.start_until;
    case RunPhase::kSealing:
      return stopped;
  }
  return false;
}

void TakeEnds(GateBoard* board, core::Time now, const PollReply& poll) {
  Target& target = *board->target;
  for (const ListedEnd& each : poll.ended) {
    if (each.number <= target.last_end) continue;
    target.last_end = each.number;
    if (board->runs.contains(each.run)) {
      EndRun(board, now, each.run, each.end, RefusalReason::kNone);
    } else {
      board->past[each.run] = {
          {each.run, each.end, RefusalReason::kNone, core::Duration{0}}, now};
    }
  }
}

void TakeRunning(GateBoard* board, core::Time now, const PollReply& poll,
                 core::Time poll_sent) {
  std::set<RunRef> listed;
  for (const ListedRun& each : poll.running) {
    listed.insert(each.run);
    const auto found = board->runs.find(each.run);
    if (found == board->runs.end()) {
      // An end that was taken in already may overtake this list.
      if (board->past.contains(each.run)) continue;
      GateRun run;
      run.phase = RunPhase::kFound;
      run.ordered = now;
      run.started = now;
      board->runs[each.run] = run;
      Tell(board, "Found a run that this gate did not order.",
           ToString(each.run), {});
    } else if (found->second.phase == RunPhase::kStarting) {
      found->second.phase = RunPhase::kRunning;
      found->second.started = now;
    }
  }
  if (poll.ended.size() >= kMaxListedEnds) return;
  std::vector<RunRef> over;
  for (const auto& [ref, run] : board->runs) {
    if (!listed.contains(ref) && IsProvedOver(run, poll, poll_sent)) {
      over.push_back(ref);
    }
  }
  for (const RunRef& ref : over) {
    const bool ran = board->runs[ref].phase == RunPhase::kRunning;
    EndRun(board, now, ref, ran ? RunEnd::kLapsed : RunEnd::kStopped,
           RefusalReason::kNone);
  }
}

/// True if a run whose stop was answered waits for a poll sent later than that.
bool NeedsLaterPoll(const GateBoard& board) {
  const core::Time newest = board.polls.rbegin()->second.sent;
  for (const auto& [ref, run] : board.runs) {
    const bool unproved =
        run.phase == RunPhase::kUnclear || run.phase == RunPhase::kSealing;
    if (unproved && run.stop_answered.has_value() &&
        *run.stop_answered >= newest) {
      return true;
    }
  }
  return false;
}

/// Whether one more poll may be sent now.
bool MayPoll(const GateBoard& board, core::Time now) {
  const Target& target = *board.target;
  if (board.polls.empty()) {
    return !target.silent_since.has_value() ||
           now - target.poll_failed >= kPollPause;
  }
  if (board.polls.size() >= kMaxPolls) return false;
  const core::Duration under_way = now - board.polls.rbegin()->second.sent;
  if (under_way >= board.policy.hold_wait + kPollOverdue) return true;
  const bool lossy = now - target.poll_failed < kLossMemory;
  if (lossy && board.polls.size() < kPollsWhenLossy) {
    return under_way >= kPollSpacing;
  }
  return now > board.polls.rbegin()->second.sent && NeedsLaterPoll(board);
}

bool AwaitsProof(const GateBoard& board) {
  for (const auto& [ref, run] : board.runs) {
    if (run.phase == RunPhase::kUnclear || run.phase == RunPhase::kSealing ||
        run.phase == RunPhase::kFound) {
      return true;
    }
  }
  return false;
}

/// True if every entry has seen a report since the target's runs are known: it
/// has claimed what is its own.
bool HaveAllEntriesClaimed(const GateBoard& board, core::Time now) {
  if (board.homes.empty()) return false;
  const core::Time known = board.target->runs_known_since;
  if (now - known < kLeastClaimTime) return false;
  return std::all_of(
      board.homes.begin(), board.homes.end(), [known](const auto& entry) {
        return entry.second.echoed.has_value() && *entry.second.echoed >= known;
      });
}

void RepeatStops(GateBoard* board, core::Time now) {
  for (auto& [ref, run] : board->runs) {
    if (run.phase == RunPhase::kFound && !run.stop_wanted &&
        (now - run.ordered > kClaimTime ||
         HaveAllEntriesClaimed(*board, now))) {
      StopRun(board, now, ref, &run);
    }
    const bool wants = run.stop_wanted || run.phase == RunPhase::kUnclear ||
                       run.phase == RunPhase::kSealing;
    if (!wants || run.stop_under_way) continue;
    const core::Duration pause =
        run.stop_answered.has_value() ? kStopRepeat : board->policy.stop_retry;
    if (now - run.stop_sent >= pause) SendStop(board, now, ref, &run);
  }
}

/// A target that does not answer runs nothing once the last lease is over.
void EndLapsedRuns(GateBoard* board, core::Time now) {
  Target& target = *board->target;
  if (board->runs.empty() || !target.silent_since.has_value()) return;
  const std::int64_t over =
      target.lease_until.value() + core::Millis(board->policy.lease_slack);
  if (EstimateClock(target, now).value() <= over) return;
  EndAllRuns(board, now, RunEnd::kLapsed);
  target.runs_known = false;
}

}  // namespace

bool IsUsable(const GateBoard& board, core::Time now) {
  if (!board.target.has_value() || board.stopping) return false;
  const Target& target = *board.target;
  if (target.said.draining || !target.runs_known) return false;
  if (now - target.heard > board.policy.announcement_timeout) return false;
  if (target.silent_since.has_value() &&
      now - *target.silent_since > board.policy.target_silence) {
    return false;
  }
  return !IsDrained(board.operator_state, board.domain) &&
         !IsDrained(board.operator_state, target.said.domain);
}

void OnAnnouncement(GateBoard* board, core::Time now,
                    const Announcement& said) {
  if (TakeAnnouncement(board, now, said)) KeepLife(board, said);
}

bool TakeAnnouncement(GateBoard* board, core::Time now,
                      const Announcement& said) {
  if (board->target.has_value() && !IsNewer(said, *board->target)) {
    Tell(board, "Ignored an old announcement of the target.",
         said.target.value(),
         {{"sequence", std::to_string(said.sequence)},
          {"born", std::to_string(said.born.value())}});
    return false;
  }
  if (!board->target.has_value()) {
    board->target.emplace();
    board->target->said = said;
    BeginLife(board, now, said.born, said.clock);
    Tell(board, "The target announced itself.", said.target.value(),
         {{"address", said.address.value()},
          {"service", said.service.value()},
          {"born", std::to_string(said.born.value())}});
  } else if (board->target->said.target != said.target) {
    // Orders name the target that they are for, so none reaches another one.
    EndAllRuns(board, now, RunEnd::kLapsed);
    BeginLife(board, now, said.born, said.clock);
    Tell(board, "Another target announced itself.", said.target.value(),
         {{"born", std::to_string(said.born.value())}});
  } else if (board->target->said.born != said.born) {
    BeginLife(board, now, said.born, said.clock);
    Tell(board, "A new life of the target announced itself.",
         said.target.value(),
         {{"born", std::to_string(said.born.value())},
          {"runs", std::to_string(board->runs.size())}});
  }
  Target& target = *board->target;
  if (target.said.draining != said.draining) {
    Tell(board, "The target began or stopped to leave.", said.target.value(),
         {{"leaving", said.draining ? "true" : "false"}});
  }
  target.said = said;
  target.heard = now;
  if (target.clock.value() == 0 || !target.runs_known) {
    target.clock = said.clock;
    target.clock_at = now;
  }
  MarkReports(board);
  Settle(board, now);
  return true;
}

void OnTargetLeft(GateBoard* board, core::Time now, const TargetId& target) {
  if (!board->target.has_value() || board->target->said.target != target) {
    return;
  }
  Tell(board, "The target says that it ends.", target.value(), {});
  board->target->said.draining = true;
  MarkReports(board);
  Settle(board, now);
}

void TakeSign(GateBoard* board, core::Time now) {
  if (!board->target.has_value()) return;
  Target& target = *board->target;
  target.answered = now;
  if (!target.silent_since.has_value()) return;
  target.silent_since.reset();
  Tell(board, "The target answers again.", target.said.target.value(), {});
  MarkReports(board);
}

void PollIfDue(GateBoard* board, core::Time now) {
  if (!board->target.has_value()) return;
  Target& target = *board->target;
  const bool ends_unconfirmed = target.last_end > target.confirmed_end;
  if (board->runs.empty() && target.runs_known && !ends_unconfirmed) return;
  // A target that neither answers nor announces itself is gone.
  const bool is_gone = target.silent_since.has_value() &&
                       now - target.heard > board->policy.announcement_timeout;
  if (is_gone || !MayPoll(*board, now)) return;
  OrderPoll poll;
  poll.address = target.said.address;
  poll.target = target.said.target;
  poll.last_end = target.last_end;
  // A lease that is not renewed runs out, which proves the runs of a dead
  // target over.
  const bool renew =
      !target.silent_since.has_value() ||
      now - *target.silent_since < board->policy.renew_while_silent;
  if (target.runs_known && renew) {
    poll.until = TargetClock(EstimateClock(target, now).value() +
                             core::Millis(board->policy.lease_asked));
    target.lease_until = std::max(target.lease_until, *poll.until);
  }
  if (target.runs_known && !AwaitsProof(*board) && !board->runs.empty()) {
    poll.wait = board->policy.hold_wait;
  }
  poll.number = ++board->last_poll;
  board->polls[poll.number] = {now, poll.last_end};
  board->actions.push_back(poll);
}

void OnPollAnswer(GateBoard* board, core::Time now, std::uint64_t number,
                  const std::optional<PollReply>& poll) {
  const auto open = board->polls.find(number);
  if (!board->target.has_value() || open == board->polls.end()) return;
  const OpenPoll asked = open->second;
  board->polls.erase(open);
  Target& target = *board->target;
  if (!poll.has_value()) {
    ++board->counts.lost_polls;
    target.poll_failed = now;
    if (!target.silent_since.has_value() && target.answered < asked.sent) {
      target.silent_since = asked.sent;
      Tell(board, "A poll of the target was not answered.",
           target.said.target.value(), {});
    }
    return Settle(board, now);
  }
  const bool is_new_life = poll->born != target.said.born;
  if (is_new_life) {
    if (poll->born < target.said.born) return Settle(board, now);
    BeginLife(board, now, poll->born, poll->clock);
    Tell(board, "A poll found a new life of the target.",
         target.said.target.value(),
         {{"born", std::to_string(poll->born.value())}});
  }
  TakeSign(board, now);
  if (poll->clock > target.clock) {
    target.clock = poll->clock;
    target.clock_at = now;
  }
  if (!target.runs_known) {
    MarkReports(board);
    target.runs_known_since = now;
  }
  target.runs_known = true;
  if (!is_new_life) {
    target.confirmed_end = std::max(target.confirmed_end, asked.last_end);
  }
  TakeEnds(board, now, *poll);
  TakeRunning(board, now, *poll, asked.sent);
  Settle(board, now);
}

void OnTick(GateBoard* board, core::Time now) {
  if (board->target.has_value()) {
    RepeatStops(board, now);
    EndLapsedRuns(board, now);
  }
  for (auto& [address, home] : board->homes) {
    if (now - home.confirmed <= board->policy.home_silence) continue;
    if (home.silenced) continue;
    home.silenced = true;
    ++board->counts.homes_silenced;
    Tell(board, "An entry is silent; its runs are ended.",
         core::ToString(home.node),
         {{"silent",
           std::to_string(core::Millis(now - home.confirmed)) + "ms"}});
    StopRunsOf(board, now, home.node);
  }
  std::erase_if(board->homes, [board, now](const auto& entry) {
    return now - entry.second.heard > board->policy.forget_peer;
  });
  std::erase_if(board->past, [board, now](const auto& entry) {
    return now - entry.second.at > board->policy.end_memory;
  });
  Settle(board, now);
}

void Settle(GateBoard* board, core::Time now) {
  const bool usable = IsUsable(*board, now);
  if (usable != board->was_usable) {
    board->was_usable = usable;
    Tell(board,
         usable ? "Tasks may start at the target."
                : "No task may start at the target.",
         board->target.has_value() ? board->target->said.target.value() : "",
         {{"runs", std::to_string(board->runs.size())},
          {"operator_revision",
           std::to_string(board->operator_state.revision)}});
    MarkReports(board);
  }
  PollIfDue(board, now);
  OfferRoom(board, now);
  SendReports(board, now);
}

}  // namespace tarragon::coordinator
