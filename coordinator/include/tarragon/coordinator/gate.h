#ifndef TARRAGON_COORDINATOR_GATE_H_
#define TARRAGON_COORDINATOR_GATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "tarragon/coordinator/gate_board.h"

/// Event handlers of a gate, the process beside a target that orders runs
/// there. They update the GateBoard and do no I/O: the daemon passes in events
/// and carries out the actions that the handlers add to the board.

namespace tarragon::coordinator {

/// The target's answer to a start or stop.
enum class OrderAnswer : std::uint8_t {
  kAccepted,
  /// The order was not carried out and never will be.
  kRefused,
  /// The start was not carried out: the target has already seen this run number
  /// or a higher one.
  kRefusedOld,
  /// No usable answer: the order may have been carried out, or may still be.
  kUnclear,
};

/// A run that the target lists as running.
struct ListedRun {
  RunRef run;
  /// Share of the work that is done, from 0 to 100; empty if the target has not
  /// told it.
  std::optional<std::uint32_t> percent = std::nullopt;
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

/// The target has sent an announcement. Outdated announcements are ignored.
void OnAnnouncement(GateBoard* board, core::Time now,
                    const Announcement& announcement);
/// The target has reported that it is shutting down.
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
/// Restores the target that an earlier gate process at this address had.
/// Ignored if the target is known already. `source` is logged.
void OnPreviousTargetFound(GateBoard* board, core::Time now, TargetReport last,
                           const std::string& source);
void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               const RoomWanted& wanted);
/// An entry was discovered at this address.
void OnEntryFound(GateBoard* board, core::Time now,
                  const core::Address& address);
/// The connection to an entry was lost.
void OnEntryDisconnected(GateBoard* board, core::Time now,
                         const core::NodeId& home);
/// Another incarnation has answered at the entry's address, so the entry `home`
/// has ended.
void OnEntryReplaced(GateBoard* board, core::Time now,
                     const core::NodeId& home);

/// `clock` is the target's clock, if the answer contained it.
void OnStartAnswer(GateBoard* board, core::Time now, const RunRef& run,
                   OrderAnswer answer, std::optional<TargetClock> clock);
void OnStopAnswer(GateBoard* board, core::Time now, const RunRef& run,
                  OrderAnswer answer);
/// Why a poll has no reply.
enum class PollFailure : std::uint8_t {
  /// No usable answer: the target may be dead, slow or out of reach.
  kNoAnswer,
  /// The connection was refused: the target's process is gone.
  kRefused,
  /// Another target answers at the address.
  kOtherTarget,
};

/// `number` is that of the OrderPoll; `poll` is empty if there was no usable
/// answer, and `failure` says why.
void OnPollAnswer(GateBoard* board, core::Time now, std::uint64_t number,
                  const std::optional<PollReply>& poll,
                  PollFailure failure = PollFailure::kNoAnswer);

void OnTick(GateBoard* board, core::Time now);

/// The settings of the process name another failure domain.
void ChangeDomain(GateBoard* board, core::Time now,
                  const core::DomainId& domain);

/// Refuses new starts; current runs go on, and their lease is renewed, until
/// they end.
void RequestStop(GateBoard* board, core::Time now);

/// Room that no run takes or may take. Zero while a run is unclaimed.
Room ComputeFreeRoom(const GateBoard& board);

/// Number of runs that take room or may do so.
std::size_t CountOpenRuns(const GateBoard& board);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_GATE_H_
