#ifndef TARRAGON_COORDINATOR_GATE_H_
#define TARRAGON_COORDINATOR_GATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "tarragon/coordinator/gate_board.h"

/// The decisions of a gate: free functions that read and write its board. They
/// do no I/O; the daemon hands in events and carries out the actions.

namespace tarragon::coordinator {

/// How a target answered an order.
enum class OrderAnswer : std::uint8_t {
  kAccepted,
  /// Not carried out and never will be.
  kRefused,
  /// Not carried out: this run number or a higher one was there before.
  kRefusedOld,
  /// No answer: it may have been carried out, or may still be.
  kUnclear,
};

/// A run that the target lists as going on.
struct ListedRun {
  RunRef run;
};

/// A run that the target lists as ended.
struct ListedEnd {
  std::int64_t number = 0;
  RunRef run;
  RunEnd end = RunEnd::kDone;
};

/// The target's answer to a poll.
struct PollReply {
  TargetIncarnation born;
  TargetClock clock;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
};

/// The target has announced itself. Older announcements are ignored.
void OnAnnouncement(GateBoard* board, core::Time now,
                    const Announcement& announcement);
/// The target says that it ends.
void OnTargetLeft(GateBoard* board, core::Time now, const TargetId& target);

void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               const EntryNotice& notice);
void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               OperatorUpdate update);
void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               StartRun start);
void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               const AskRun& ask);
void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               TargetHint hint);
/// The target that an earlier process here had. Ignored if the target is known.
/// `source` is for the log.
void OnPreviousTargetFound(GateBoard* board, core::Time now, TargetReport last,
                           const std::string& source);
void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               const RoomWanted& wanted);
/// An entry may be found at this address.
void OnEntryFound(GateBoard* board, core::Time now,
                  const core::Address& address);
/// The connection to an entry broke.
void OnEntryDisconnected(GateBoard* board, core::Time now,
                         const core::NodeId& home);
/// Another incarnation answers at the entry's address.
void OnEntryReplaced(GateBoard* board, core::Time now,
                     const core::NodeId& home);

/// `clock` is there if the answer told it.
void OnStartAnswer(GateBoard* board, core::Time now, const RunRef& run,
                   OrderAnswer answer, std::optional<TargetClock> clock);
void OnStopAnswer(GateBoard* board, core::Time now, const RunRef& run,
                  OrderAnswer answer);
/// `poll` is nothing if there was no usable answer.
void OnPollAnswer(GateBoard* board, core::Time now, std::uint64_t number,
                  const std::optional<PollReply>& poll);

void OnTick(GateBoard* board, core::Time now);

/// Starts nothing any more; what runs is held until it ends.
void RequestStop(GateBoard* board, core::Time now);

/// Room that no run takes or may take.
Room ComputeFreeRoom(const GateBoard& board);

/// Runs that take room.
std::size_t CountOpenRuns(const GateBoard& board);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_GATE_H_
