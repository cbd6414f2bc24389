#ifndef TARRAGON_COORDINATOR_PLACING_H_
#define TARRAGON_COORDINATOR_PLACING_H_

#include <cstdint>
#include <vector>

#include "tarragon/coordinator/job_board.h"

/// Choice of a target for each task. Designed for targets of unequal size, some
/// of which are slow or fail, and for several entries that place tasks at the
/// same time.

namespace tarragon::coordinator {

/// True if tasks may be placed at the gate now.
bool IsUsable(const JobBoard& board, core::Time now, const GateLink& gate);

/// True if the target has the label, or `label` is empty.
bool HasLabel(const TargetReport& report, const Label& label);

/// False if the gate has left a start uncounted for too long: the gate or the
/// connection to it is probably lost.
bool IsCountingStarts(const JobBoard& board, core::Time now,
                      const GateLink& gate);

/// Estimates the free room at the gate: that of the last report, minus the room
/// of starts that the report does not count.
Room EstimateFreeRoom(const GateLink& gate);

/// A gate with free room, used while waiting tasks are placed.
struct Candidate {
  GateLink* gate = nullptr;
  Room free;
};

/// Adds the gate if it is usable and has at least `millicores` free.
void AddCandidate(const JobBoard& board, core::Time now, GateLink* gate,
                  std::int64_t millicores, std::vector<Candidate>* candidates);

/// Finds the usable gates with at least `millicores` free. Done once per round,
/// so that the cost of placing each task grows only with the number of gates
/// that have room.
std::vector<Candidate> FindCandidates(JobBoard* board, core::Time now,
                                      std::int64_t millicores);

/// Chooses the best candidate for a task; null if none fits.
Candidate* ChooseGate(JobBoard* board, core::Time now, const Job& job,
                      const Task& task, std::vector<Candidate>* candidates);

/// Updates whether the gate's target is suspect, by its last report and those
/// of the other gates.
void UpdateSuspicion(JobBoard* board, core::Time now, GateLink* gate);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_PLACING_H_
