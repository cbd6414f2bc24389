#include "target_candidate.h"

#include <string>
#include <utility>

#include "gate_internal.h"

// Announcements of another target or of another incarnation than the known one.
// Anyone can send an announcement, and a late one may arrive after its sender
// has ended, so it proves nothing about the known target and its runs. The
// sender has to answer a poll under the announced id and start time first.

namespace tarragon::coordinator {
namespace {

/// Pause between two polls of a candidate that does not answer.
constexpr core::Duration kCandidatePollPause = std::chrono::milliseconds(60);

bool IsAtKnownAddress(const GateBoard& board) {
  return board.candidate->announcement.address ==
         board.target->announcement.address;
}

void DropCandidate(GateBoard* board, const char* why) {
  ++board->counts.ignored_candidates;
  const Announcement& announcement = board->candidate->announcement;
  AddLogLine(board, "Ignored an announcement; the known target stays.",
             announcement.target.value(),
             {{"why", why},
              {"born", std::to_string(announcement.born.value())},
              {"known", board->target->announcement.target.value()},
              {"known_born",
               std::to_string(board->target->announcement.born.value())}});
  board->candidate.reset();
  MarkAllReportsDue(board);
}

/// True if the known target has ended, or ran nothing that could be lost.
bool IsKnownTargetOver(const GateBoard& board) {
  const Target& known = *board.target;
  // Nothing was started at a target that has never answered.
  if (!known.has_answered) return true;
  if (IsAtKnownAddress(board)) return true;
  if (known.announcement.target == board.candidate->announcement.target) {
    return true;
  }
  if (known.crashed) return true;
  return board.runs.empty() &&
         (known.silent_since.has_value() || known.announcement.draining);
}

}  // namespace

bool IsSameIncarnation(const Announcement& a, const Announcement& b) {
  return a.target == b.target && a.born == b.born;
}

bool IsTargetInDoubt(const GateBoard& board) {
  return board.candidate.has_value() && IsAtKnownAddress(board) &&
         board.candidate->announcement.born > board.target->announcement.born;
}

bool AwaitsKnownTarget(const GateBoard& board) {
  return board.candidate.has_value() &&
         board.candidate->answered_at.has_value();
}

void ConsiderCandidate(GateBoard* board, core::Time now,
                       const Announcement& announcement) {
  std::optional<TargetCandidate>& candidate = board->candidate;
  const bool is_known =
      candidate.has_value() &&
      IsSameIncarnation(candidate->announcement, announcement);
  if (is_known && announcement.sequence <= candidate->announcement.sequence) {
    return;
  }
  if (!is_known) {
    candidate.emplace();
    candidate->first_announced_at = now;
    AddLogLine(board,
               "Another target or incarnation announced itself; polling it.",
               announcement.target.value(),
               {{"address", announcement.address.value()},
                {"service", announcement.service.value()},
                {"born", std::to_string(announcement.born.value())},
                {"known", board->target->announcement.target.value()},
                {"known_born",
                 std::to_string(board->target->announcement.born.value())},
                {"runs", std::to_string(board->runs.size())}});
  }
  candidate->announcement = announcement;
  candidate->announced_at = now;
}

void PollCandidateIfDue(GateBoard* board, core::Time now) {
  if (!board->candidate.has_value()) return;
  TargetCandidate& candidate = *board->candidate;
  if (candidate.answered_at.has_value() || candidate.open_poll != 0) return;
  if (candidate.poll_failed_at.has_value() &&
      now - *candidate.poll_failed_at < kCandidatePollPause) {
    return;
  }
  OrderPoll poll;
  poll.address = candidate.announcement.address;
  poll.target = candidate.announcement.target;
  poll.number = ++board->last_poll;
  candidate.open_poll = poll.number;
  candidate.polled_at = now;
  board->actions.push_back(poll);
}

bool IsCandidate(const GateBoard& board, const TargetId& target,
                 TargetIncarnation born) {
  return board.candidate.has_value() &&
         board.candidate->announcement.target == target &&
         board.candidate->announcement.born == born;
}

bool IsPollOfCandidate(const GateBoard& board, std::uint64_t number) {
  return board.candidate.has_value() && board.candidate->open_poll == number;
}

void OnCandidateAnswer(GateBoard* board, core::Time now,
                       const std::optional<PollReply>& poll,
                       PollFailure failure) {
  TargetCandidate& candidate = *board->candidate;
  candidate.open_poll = 0;
  if (failure == PollFailure::kOtherTarget) {
    return DropCandidate(board, "another target answers");
  }
  if (!poll.has_value()) {
    candidate.poll_failed_at = now;
    return;
  }
  if (poll->born != candidate.announcement.born) {
    return DropCandidate(board, "another incarnation answers");
  }
  candidate.answered_at = now;
  if (IsKnownTargetOver(*board)) {
    const core::Time polled_at = candidate.polled_at;
    AdoptCandidate(board, now);
    ApplyPollReply(board, now, *poll, polled_at);
  }
}

void UpdateCandidate(GateBoard* board, core::Time now) {
  if (!board->candidate.has_value()) return;
  const TargetCandidate& candidate = *board->candidate;
  if (candidate.answered_at.has_value()) {
    if (IsKnownTargetOver(*board)) {
      AdoptCandidate(board, now);
    } else if (board->target->last_answer_at > *candidate.answered_at) {
      DropCandidate(board, "the known target answers");
    }
    return;
  }
  // A newer incarnation at the known address may have taken the target's place
  // and be out of reach.
  const core::Duration patience = IsTargetInDoubt(*board)
                                      ? board->policy.announcement_timeout
                                      : board->policy.target_silence;
  if (now - candidate.first_announced_at > patience) {
    DropCandidate(board, "its sender does not answer");
  }
}

}  // namespace tarragon::coordinator
