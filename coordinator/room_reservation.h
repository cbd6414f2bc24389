#ifndef TARRAGON_COORDINATOR_ROOM_RESERVATION_H_
#define TARRAGON_COORDINATOR_ROOM_RESERVATION_H_

#include "room_releases.h"
#include "tarragon/coordinator/gate_board.h"

/// Reservation of room that a target will have soon, for the most urgent
/// request that does not fit now. Smaller runs use the room until then if they
/// end before that time (backfilling). A gate has at most one reservation.

namespace tarragon::coordinator {

/// Computes which request has the reservation from the requests and runs of
/// this moment, and makes, replaces or ends the reservation accordingly. `free`
/// is room that is neither taken nor offered.
void UpdateReservation(GateBoard* board, core::Time now, const Room& free);

/// Ends the reservation, if there is one. `why` is logged.
void EndReservation(GateBoard* board, const char* why);

/// Part of `free` that may be used for a run of `expected_run`; zero for a run
/// without a known end. It applies to the holder too: its smaller tasks would
/// otherwise take the room in parts.
Room ComputeUnreservedRoom(const GateBoard& board, core::Time now,
                           const Room& free, core::Duration expected_run);

/// The same for the entry's request for room; a more urgent request than that
/// with the reservation may use all of it.
Room ComputeRoomForRequest(const GateBoard& board, core::Time now,
                           const HomeLink& home, const Room& free);

/// Counts an offer that is about to be made to the entry if it lets a run use
/// reserved room.
void CountBackfill(GateBoard* board, core::Time now, const HomeLink& home,
                   const Room& free);

/// Millicores that the reservation takes from what runs will release, as the
/// entry sees it. `hidden` is the free room that the entry is not told of.
std::int64_t ComputeClaim(const GateBoard& board, const HomeLink& home,
                          std::int64_t hidden);

/// True if a start takes reserved room beyond the reserved time. False while a
/// start may be on its way that was sent without knowledge of the reservation.
bool BreaksReservation(const GateBoard& board, core::Time now,
                       const StartRun& start);

/// True if some entry waits for room that is not free.
bool IsRoomAwaited(const GateBoard& board, const Room& free);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_ROOM_RESERVATION_H_
