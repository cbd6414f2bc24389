#ifndef TARRAGON_COORDINATOR_GATE_INTERNAL_H_
#define TARRAGON_COORDINATOR_GATE_INTERNAL_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pseudo_random.h"
#include "tarragon/coordinator/gate.h"

/// Internal functions shared by the source files of the gate.

namespace tarragon::coordinator {

using LogFields = std::vector<std::pair<const char*, std::string>>;

/// Records that an event is handled. After a pause the time of the pause does
/// not count for the estimate of the target's clock, which stands still while
/// its machine is suspended; the next answer of the target corrects it.
void RecordEvent(GateBoard* board, core::Time now);

/// Adds a line for the log. `message` must be a constant string.
void AddLogLine(GateBoard* board, const char* sentence, std::string subject,
                LogFields details);

/// Estimates the current time on the target's clock. The estimate is never
/// ahead of that clock, which may be 2 % slow.
TargetClock EstimateTargetClock(const Target& target, core::Time now);

/// A run is overdue after this multiple of its expected time; most runs of a
/// healthy target end earlier.
inline constexpr double kOverdueFactor = 1.5;

/// Computes the ratio of the run's time so far to its expected time.
double ComputeSlowness(const GateRun& run, core::Time now);

/// Removes the run, remembers its end and reports it to the run's entry.
void EndRun(GateBoard* board, core::Time now, const RunRef& run, RunEnd end,
            RefusalReason reason);

/// Sends a stop of the run to the target unless one is pending.
void SendStop(GateBoard* board, core::Time now, const RunRef& ref,
              GateRun* run);

/// Requests the stop of a run, unless that was done before.
void StopRun(GateBoard* board, core::Time now, const RunRef& ref, GateRun* run);

/// Stops all runs of an entry.
void StopRunsOfEntry(GateBoard* board, core::Time now,
                     const core::NodeId& home);

/// Tells the entry `home` that its start of `run` was refused.
void RefuseStart(GateBoard* board, const core::NodeId& home, const RunRef& run,
                 RefusalReason reason);

/// Records that a message has come from an entry. Stops the runs of an earlier
/// incarnation at its address.
HomeLink& RecordEntryContact(GateBoard* board, core::Time now,
                             const core::NodeId& from);

/// Records that the target has answered an order or a poll.
void RecordTargetAnswer(GateBoard* board, core::Time now);

/// Records that the target has crashed under its runs. A target that drains may
/// end at any time. `evidence` is logged.
void RecordCrash(GateBoard* board, const char* evidence);

/// Records that the target answers, so it had not crashed.
void RevokeCrash(GateBoard* board);

/// True if a run at the target belongs to a task under which a target has
/// crashed.
bool HasSuspect(const GateBoard& board);

/// Makes a report of the announced target; its free room is left zero.
TargetReport MakeReport(const Announcement& announcement);

/// Requests that the target is stored if its id, incarnation, address, capacity
/// or draining has changed.
void StoreTargetIfChanged(GateBoard* board, const Announcement& announcement);

/// Requests that the target is stored if its learned speed has changed enough.
void StoreSpeedIfChanged(GateBoard* board, core::Time now);

/// Applies an announcement of the known incarnation, or the first of all, that
/// was made to this process or to an earlier one. False if it is older than the
/// known one or contradicts it.
bool ApplyAnnouncement(GateBoard* board, core::Time now,
                       const Announcement& announcement);

/// Begins another incarnation of the target. Its runs are kept until the first
/// poll, because an order that was sent shortly before may have reached the new
/// incarnation.
void BeginIncarnation(GateBoard* board, core::Time now, TargetIncarnation born,
                      TargetClock clock);

/// Replaces the known target, which has ended, with the candidate.
void AdoptCandidate(GateBoard* board, core::Time now);

/// Applies the answer of the known incarnation to a poll sent at `poll_sent`.
void ApplyPollReply(GateBoard* board, core::Time now, const PollReply& poll,
                    core::Time poll_sent);

/// Records the listed progress of a run, and tells its entry if the run is over
/// its expected time. `clock` is the target's.
void UpdateProgress(GateBoard* board, core::Time now, TargetClock clock,
                    const ListedRun& listed, GateRun* run);

/// Ratio of the run's whole time, as its progress shows, to its expected time;
/// empty if the progress does not show it yet.
std::optional<double> ProjectSlowness(const GateBoard& board,
                                      const GateRun& run, core::Time now);

/// True if most of the target's other jobs are slow too, so a run that will
/// take long shows a slow target rather than a long task.
bool DoOthersAgree(const GateBoard& board, core::Time now, const JobId& job);

/// True if a run with known progress is over its expected time.
bool AwaitsProgress(const GateBoard& board, core::Time now);

/// Sends a poll to the target if one is due.
void PollIfDue(GateBoard* board, core::Time now);

/// Marks a report to every entry as due.
void MarkAllReportsDue(GateBoard* board);

/// Records that a run of the entry `home` has taken or released room: the entry
/// gets a report at once, the others after a pause.
void MarkRoomChanged(GateBoard* board, const core::NodeId& home);

/// Computes the pause between two reports of room that other entries have taken
/// or released.
core::Duration ComputeRoomReportPause(const GateBoard& board);

/// Offers free room to the entries with the most urgent tasks, and withdraws
/// unanswered offers that have expired.
void OfferFreeRoom(GateBoard* board, core::Time now);

/// Sums up the room that is offered to entries other than `home`.
Room SumRoomOfferedToOthers(const GateBoard& board, const core::NodeId& home);

/// Sends the entries what they lack of the operator state, once that is due.
void SendOperatorUpdates(GateBoard* board, core::Time now);

/// Sends the reports that are due.
void SendReports(GateBoard* board, core::Time now);

/// True if the target is there and nothing but its draining keeps it from
/// being usable.
bool IsInService(const GateBoard& board, core::Time now);

/// True if the gate accepts starts for the target now.
bool IsUsable(const GateBoard& board, core::Time now);

/// Finishes the handling of an event: sends the polls, offers and reports that
/// are due.
void FinishEvent(GateBoard* board, core::Time now);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_GATE_INTERNAL_H_
