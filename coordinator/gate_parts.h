#ifndef TARRAGON_COORDINATOR_GATE_PARTS_H_
#define TARRAGON_COORDINATOR_GATE_PARTS_H_

#include <string>
#include <utility>
#include <vector>

#include "tarragon/coordinator/gate.h"

/// What the files of the gate share.

namespace tarragon::coordinator {

using LogFields = std::vector<std::pair<const char*, std::string>>;

/// Notes a line for the log.
void AddLogLine(GateBoard* board, const char* sentence, std::string subject,
                LogFields details);

/// The target's clock now, as estimated. Never ahead of it by more than the
/// difference of the clocks' rates.
TargetClock EstimateTargetClock(const Target& target, core::Time now);

/// Time that the run has taken so far over what was expected.
double ComputeSlowness(const GateRun& run, core::Time now);

/// Removes the run, remembers its end and tells its entry.
void EndRun(GateBoard* board, core::Time now, const RunRef& run, RunEnd end,
            RefusalReason reason);

/// Sends a stop of the run to the target unless one is under way.
void SendStop(GateBoard* board, core::Time now, const RunRef& ref,
              GateRun* run);

/// Ends a run whose entry wants it no longer, or is gone.
void StopRun(GateBoard* board, core::Time now, const RunRef& ref, GateRun* run);

/// Ends all runs of an entry.
void StopRunsOfEntry(GateBoard* board, core::Time now,
                     const core::NodeId& home);

/// The link of an entry from which a message has come.
HomeLink& RecordEntryContact(GateBoard* board, core::Time now,
                             const core::NodeId& from);

/// The target has answered an order or a poll.
void RecordTargetAnswer(GateBoard* board, core::Time now);

/// The target as entries are told of it, without its room.
TargetReport MakeReport(const Announcement& announcement);

/// Asks to keep the target if its name, life or address is new.
void StoreTargetIfChanged(GateBoard* board, const Announcement& announcement);

/// Takes in what the target says, or has said to an earlier process.
/// False if it is older than what is known.
bool ApplyAnnouncement(GateBoard* board, core::Time now,
                       const Announcement& announcement);

/// Begins a poll of the target if one is due.
void PollIfDue(GateBoard* board, core::Time now);

/// Tells all entries soon how the target stands.
void MarkAllReportsDue(GateBoard* board);

/// A run of an entry has taken room or given it back: tells this entry now and
/// the others after a pause.
void MarkRoomChanged(GateBoard* board, const core::NodeId& home);

/// Offers free room to the entries with the most urgent tasks, and takes back
/// offers that were not answered.
void OfferFreeRoom(GateBoard* board, core::Time now);

/// Room that is kept for other entries than this.
Room SumRoomOfferedToOthers(const GateBoard& board, const core::NodeId& home);

/// Sends the reports that are due.
void SendReports(GateBoard* board, core::Time now);

/// True if the target takes starts now.
bool IsUsable(const GateBoard& board, core::Time now);

/// What every event ends with.
void FinishEvent(GateBoard* board, core::Time now);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_GATE_PARTS_H_
