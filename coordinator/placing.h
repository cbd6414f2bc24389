#ifndef TARRAGON_COORDINATOR_PLACING_H_
#define TARRAGON_COORDINATOR_PLACING_H_

#include <cstdint>
#include <vector>

#include "tarragon/coordinator/job_board.h"

/// Where a task is placed. Made for targets of unequal size, of which some are
/// slow or fail, and for several entries that place at once.

namespace tarragon::coordinator {

/// True if tasks may be placed at the gate now.
bool IsUsable(const JobBoard& board, core::Time now, const GateLink& gate);

/// True if the target has the label, or none is asked for.
bool HasLabel(const TargetReport& report, const Label& label);

/// False if the gate has left a start unanswered for too long: it, or the way
/// to it, is likely lost.
bool IsCountingStarts(const JobBoard& board, core::Time now,
                      const GateLink& gate);

/// Room at the gate as this entry believes: the last report, less what it has
/// ordered since.
Room EstimateFreeRoom(const GateLink& gate);

/// A gate that has room, while waiting tasks are placed.
struct Candidate {
  GateLink* gate = nullptr;
  Room free;
};

/// Adds the gate if it has at least `millicores` of room.
void AddCandidate(const JobBoard& board, core::Time now, GateLink* gate,
                  std::int64_t millicores, std::vector<Candidate>* candidates);

/// The gates with at least `millicores` of room. So that the cost of placing
/// grows with the gates that have room, not with all.
std::vector<Candidate> FindCandidates(JobBoard* board, core::Time now,
                                      std::int64_t millicores);

/// The best of the candidates for a task; null if none fits.
Candidate* ChooseGate(JobBoard* board, core::Time now, const Job& job,
                      const Task& task, std::vector<Candidate>* candidates);

/// Judges the gate's target by its last report and those of the others.
void UpdateSuspicion(JobBoard* board, core::Time now, GateLink* gate);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_PLACING_H_
