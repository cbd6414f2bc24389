#include <string>
#include <tuple>

#include "gate_internal.h"
#include "room_reservation.h"

namespace tarragon::coordinator {
namespace {

/// Sums up the room that is offered to entries.
Room SumOfferedRoom(const GateBoard& board) {
  Room offered;
  for (const auto& [address, home] : board.homes) {
    if (home.offer.has_value()) offered = offered + home.offer->room;
  }
  return offered;
}

/// Finds the entry with the most urgent task that fits; null for none.
HomeLink* FindMostUrgentEntry(GateBoard* board, core::Time now,
                              const Room& free) {
  HomeLink* best = nullptr;
  for (auto& [address, home] : board->homes) {
    if (!home.connected || home.timed_out || home.offer.has_value()) continue;
    if (!home.want.has_value()) continue;
    if (!Fits(home.want->room,
              ComputeRoomForRequest(*board, now, home, free))) {
      continue;
    }
    if (best == nullptr || std::tie(home.want->late, home.want->priority,
                                    home.want->latest_start) <
                               std::tie(best->want->late, best->want->priority,
                                        best->want->latest_start)) {
      best = &home;
    }
  }
  return best;
}

void ExpireOffers(GateBoard* board, core::Time now) {
  for (auto& [address, home] : board->homes) {
    if (!home.offer.has_value() || now < home.offer->expires_at) continue;
    home.offer.reset();
    ++board->counts.lapsed_offers;
    MarkRoomChanged(board, core::NodeId{});
  }
}

}  // namespace

Room SumRoomOfferedToOthers(const GateBoard& board, const core::NodeId& home) {
  Room offered;
  for (const auto& [address, link] : board.homes) {
    if (link.node == home || !link.offer.has_value()) continue;
    offered = offered + link.offer->room;
  }
  return offered;
}

void OfferFreeRoom(GateBoard* board, core::Time now) {
  ExpireOffers(board, now);
  if (!IsUsable(*board, now)) return EndReservation(board, "not usable");
  Room free = ComputeFreeRoom(*board) - SumOfferedRoom(*board);
  UpdateReservation(board, now, free);
  HomeLink* next = FindMostUrgentEntry(board, now, free);
  while (next != nullptr) {
    CountBackfill(board, now, *next, free);
    next->offer = RoomOffer{next->want->room, now + board->policy.offer_time};
    if (next->want->expected_run.count() > 0) {
      next->offer->expected_end = now + next->want->expected_run;
    }
    next->want.reset();
    ++board->counts.offers;
    next->offer_due = true;
    next->report_due = true;
    free = free - next->offer->room;
    UpdateReservation(board, now, free);
    next = FindMostUrgentEntry(board, now, free);
  }
}

void OnMessage(GateBoard* board, core::Time now, const core::NodeId& from,
               const RoomWanted& wanted) {
  HomeLink& home = RecordEntryContact(board, now, from);
  if (home.offer.has_value()) {
    home.offer.reset();
    MarkRoomChanged(board, core::NodeId{});
  }
  home.want.reset();
  if (wanted.room.millicores > 0) {
    home.want = RoomWant{wanted.room, wanted.late, wanted.priority,
                         now + wanted.slack, wanted.expected_run};
  }
  FinishEvent(board, now);
}

}  // namespace tarragon::coordinator
