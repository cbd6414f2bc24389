#include "room_reservation.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "gate_internal.h"

namespace tarragon::coordinator {
namespace {

Room Min(const Room& a, const Room& b) {
  return {std::min(a.millicores, b.millicores),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}

Room Max(const Room& a, const Room& b) {
  return {std::max(a.millicores, b.millicores),
          std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators)};
}

template <typename A, typename B>
bool IsMoreUrgent(const A& a, const B& b) {
  return std::tie(a.late, a.latest_start) < std::tie(b.late, b.latest_start);
}

std::string FormatDuration(core::Duration duration) {
  return std::to_string(core::Millis(duration)) + "ms";
}

/// True if room may be reserved for the entry's request, by its state alone.
bool CanReserveFor(const HomeLink& home, const Room& free,
                   const Room& capacity) {
  return home.connected && !home.timed_out && !home.offer.has_value() &&
         home.want.has_value() && !home.want->late &&
         !home.want->reservation_lapsed && !Fits(home.want->room, free) &&
         Fits(home.want->room, capacity);
}

/// Finds the entry with the most urgent request for which room can be reserved;
/// null for none. Sets `ready_at`.
const HomeLink* FindHolder(const GateBoard& board, core::Time now,
                           const Room& free,
                           const std::vector<ExpectedRelease>& releases,
                           core::Time* ready_at) {
  const HomeLink* best = nullptr;
  for (const auto& [address, home] : board.homes) {
    if (!CanReserveFor(home, free, board.target->announcement.capacity)) {
      continue;
    }
    if (best != nullptr && !IsMoreUrgent(*home.want, *best->want)) continue;
    const core::Time at = FindTimeOfRoom(releases, now, free, home.want->room);
    if (at > home.want->latest_start ||
        at > now + board.policy.reservation_reach) {
      continue;
    }
    best = &home;
    *ready_at = at;
  }
  return best;
}

bool HasReservationOf(const GateBoard& board, const HomeLink& home) {
  const RoomReservation& held = *board.reservation;
  return held.holder == home.node &&
         held.born == board.target->announcement.born &&
         held.room == home.want->room &&
         held.latest_start == home.want->latest_start;
}

/// Ends the reservation if the room for its request is free now.
void EndKeptReservation(GateBoard* board, const Room& free) {
  if (!board->reservation.has_value()) return;
  const auto found = board->homes.find(board->reservation->holder.address);
  if (found == board->homes.end()) return;
  const HomeLink& home = found->second;
  if (!home.want.has_value() || !HasReservationOf(*board, home)) return;
  if (!Fits(home.want->room, free)) return;
  ++board->counts.kept_reservations;
  EndReservation(board, "room is free");
}

/// Ends the reservation if its time has passed by more than the margin.
void EndLapsedReservation(GateBoard* board, core::Time now) {
  if (!board->reservation.has_value()) return;
  const RoomReservation& held = *board->reservation;
  if (now <= held.lapses_at) return;
  const auto found = board->homes.find(held.holder.address);
  if (found != board->homes.end() && found->second.want.has_value()) {
    found->second.want->reservation_lapsed = true;
  }
  ++board->counts.lapsed_reservations;
  EndReservation(board, "lapsed");
}

void MakeReservation(GateBoard* board, core::Time now, const HomeLink& home,
                     core::Time ready_at) {
  RoomReservation made;
  made.holder = home.node;
  made.born = board->target->announcement.born;
  made.room = home.want->room;
  made.late = home.want->late;
  made.latest_start = home.want->latest_start;
  made.lapses_at = ready_at + board->policy.reservation_margin;
  made.binding_at =
      now + ComputeRoomReportPause(*board) + board->policy.offer_time;
  // The others know already that the room is reserved.
  if (board->reservation.has_value()) {
    made.binding_at = std::min(made.binding_at, board->reservation->binding_at);
    EndReservation(board, "replaced");
  }
  board->reservation = made;
  ++board->counts.reservations;
  AddLogLine(board, "Reserved room.", core::ToString(home.node),
             {{"millicores", std::to_string(made.room.millicores)},
              {"ready_in", FormatDuration(ready_at - now)},
              {"slack", FormatDuration(made.latest_start - now)}});
  MarkRoomChanged(board, core::NodeId{});
}

}  // namespace

void EndReservation(GateBoard* board, const char* why) {
  if (!board->reservation.has_value()) return;
  AddLogLine(board, "A reservation ended.",
             core::ToString(board->reservation->holder), {{"why", why}});
  board->reservation.reset();
  MarkRoomChanged(board, core::NodeId{});
}

void UpdateReservation(GateBoard* board, core::Time now, const Room& free) {
  if (!board->policy.reserve_room || !board->target.has_value()) {
    return EndReservation(board, "not usable");
  }
  EndKeptReservation(board, free);
  EndLapsedReservation(board, now);
  if (!IsRoomAwaited(*board, free)) return EndReservation(board, "not needed");
  const std::vector<ExpectedRelease> releases = FindReleases(*board, now);
  core::Time ready_at;
  const HomeLink* home = FindHolder(*board, now, free, releases, &ready_at);
  if (home == nullptr) return EndReservation(board, "not needed");
  if (!board->reservation.has_value() || !HasReservationOf(*board, *home)) {
    MakeReservation(board, now, *home, ready_at);
  }
  RoomReservation& held = *board->reservation;
  held.ready_at = ready_at;
  held.held = Max(Min(held.room, free), Room{});
  held.spare = Max(free + SumReleases(releases, ready_at) - held.room, Room{});
}

Room ComputeUnreservedRoom(const GateBoard& board, core::Time now,
                           const Room& free, core::Duration expected_run) {
  if (!board.reservation.has_value()) return free;
  const RoomReservation& held = *board.reservation;
  if (expected_run.count() > 0 && now + expected_run <= held.ready_at) {
    return free;
  }
  return Min(free, Max(free - held.held, held.spare));
}

Room ComputeRoomForRequest(const GateBoard& board, core::Time now,
                           const HomeLink& home, const Room& free) {
  if (!board.reservation.has_value()) return free;
  if (IsMoreUrgent(*home.want, *board.reservation)) return free;
  return ComputeUnreservedRoom(board, now, free, home.want->expected_run);
}

void CountBackfill(GateBoard* board, core::Time now, const HomeLink& home,
                   const Room& free) {
  const Room unreserved =
      ComputeUnreservedRoom(*board, now, free, core::Duration{0});
  if (!Fits(home.want->room, unreserved)) ++board->counts.backfills;
}

std::int64_t ComputeClaim(const GateBoard& board, const HomeLink& home,
                          std::int64_t hidden) {
  if (!board.reservation.has_value()) return 0;
  const RoomReservation& held = *board.reservation;
  return (held.holder == home.node ? 0 : held.room.millicores) - hidden;
}

bool BreaksReservation(const GateBoard& board, core::Time now,
                       const StartRun& start) {
  if (!board.reservation.has_value()) return false;
  if (now < board.reservation->binding_at) return false;
  const Room room = ComputeUnreservedRoom(board, now, ComputeFreeRoom(board),
                                          start.expected_run);
  return !Fits(start.room, room);
}

bool IsRoomAwaited(const GateBoard& board, const Room& free) {
  return std::any_of(
      board.homes.begin(), board.homes.end(), [&free](const auto& entry) {
        const HomeLink& home = entry.second;
        return home.want.has_value() && !Fits(home.want->room, free);
      });
}

}  // namespace tarragon::coordinator
