#ifndef TARRAGON_COORDINATOR_TARGET_CANDIDATE_H_
#define TARRAGON_COORDINATOR_TARGET_CANDIDATE_H_

#include <cstdint>
#include <optional>

#include "tarragon/coordinator/gate.h"

/// Internal functions on the announced target that may take the place of the
/// known one.

namespace tarragon::coordinator {

/// True if both announcements are of one incarnation of one target.
bool IsSameIncarnation(const Announcement& a, const Announcement& b);

/// Records the announcement of another incarnation than the known one. The
/// known target stays until the sender has answered a poll.
void ConsiderCandidate(GateBoard* board, core::Time now,
                       const Announcement& announcement);

/// Sends the candidate a poll unless one is pending or was sent shortly before.
void PollCandidateIfDue(GateBoard* board, core::Time now);

/// True if the candidate is this incarnation of the target.
bool IsCandidate(const GateBoard& board, const TargetId& target,
                 TargetIncarnation born);

/// True if the poll with this number was sent to the candidate.
bool IsPollOfCandidate(const GateBoard& board, std::uint64_t number);

/// Handles the answer to the poll of the candidate; `poll` is empty if there
/// was none, and `failure` says why. The candidate takes the place of a target
/// that has ended.
void OnCandidateAnswer(GateBoard* board, core::Time now,
                       const std::optional<PollReply>& poll,
                       PollFailure failure);

/// Lets the candidate take the place of the known target once that has ended;
/// drops the candidate if the known target answers or its own sender does not.
void UpdateCandidate(GateBoard* board, core::Time now);

/// True if a newer incarnation has announced itself at the address of the known
/// target, so the known one has probably ended.
bool IsTargetInDoubt(const GateBoard& board);

/// True if the candidate has answered and the known target has to show whether
/// it has ended.
bool AwaitsKnownTarget(const GateBoard& board);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_TARGET_CANDIDATE_H_
