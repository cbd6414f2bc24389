#ifndef TARRAGON_DISPATCH_ENTRY_PARTS_H_
#define TARRAGON_DISPATCH_ENTRY_PARTS_H_

#include <cstdint>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/entry_board.h"

/// The controllers of an entry, which share its board.

namespace tarragon::dispatch {

/// Sends `message` to `to`.
void Post(EntryBoard* board, const core::NodeId& to, Message message);

/// Calls the table; the reply is handled by the controller of `purpose`.
void CallTable(EntryBoard* board, core::Time now, TablePurpose purpose,
               std::uint64_t request, TableCall call);

// Freshness: learns the world and the entry list from the table and from peers.
void TickFreshness(EntryBoard* board, core::Time now);
void HandlePing(EntryBoard* board, core::Time now, const core::NodeId& from,
                const EntryPing& ping);
void HandlePong(EntryBoard* board, core::Time now, const core::NodeId& from,
                EntryPong pong);
void HandleWorldRead(EntryBoard* board, core::Time sent, TableReply reply);
void HandleEntriesRead(EntryBoard* board, core::Time now, core::Time sent,
                       TableReply reply);
/// Replaces the world in force if `world` is newer.
void AdoptWorld(EntryBoard* board, World world);
void AdoptEntries(EntryBoard* board, core::Time now, EntryList entries);

// Registration in the list of entries.
void TickRegistration(EntryBoard* board, core::Time now);
/// True when the node is in the list or was in it before a pending change.
bool IsListed(const EntryList& list, const core::NodeId& node);
/// Records that another entry is proved dead, so that no write waits for it.
void MarkEntryDead(EntryBoard* board, const core::NodeId& node);

// Membership of agents.
void HandleHeartbeat(EntryBoard* board, core::Time now,
                     const core::NodeId& from, const Heartbeat& heartbeat);
void TickMembers(EntryBoard* board, core::Time now);
void RemoveMember(EntryBoard* board, const core::NodeId& node);

// Requests of clients.
void HandleAnswer(EntryBoard* board, core::Time now, const core::NodeId& from,
                  Answer answer);
void HandleExplanation(EntryBoard* board, const core::NodeId& from,
                       Explanation explanation);
void HandleKeyReply(EntryBoard* board, core::Time now, std::uint64_t request,
                    const TableReply& reply);
void TickRequests(EntryBoard* board, core::Time now);
void ScheduleResendsTo(EntryBoard* board, core::Time now,
                       const core::NodeId& peer);
void EndOrRerouteRequestsTo(EntryBoard* board, core::Time now,
                            const core::NodeId& peer);

// Heirs, which answer for homes that were stopped.
void HandleInherited(EntryBoard* board, core::Time now,
                     const core::NodeId& from, const Inherited& inherited);
void HandleLeavingHome(EntryBoard* board, core::Time now,
                       const core::NodeId& from, const Leaving& leaving);
void TickHeirs(EntryBoard* board, core::Time now);
void RemoveHeirOfAllHomes(EntryBoard* board, const core::NodeId& peer);
/// The process that gets the request: the home that the key names, or the most
/// recently announced heir that is not stopping.
core::NodeId DestinationOf(const EntryBoard& board,
                           const EntryRequest& request);
/// True when an heir may still announce itself: the home stopped gracefully, or
/// this entry started too recently to know all heirs.
bool MayHaveHeir(const EntryBoard& board, core::Time now,
                 const core::NodeId& home);

// Release notes.
void HandleNoteReply(EntryBoard* board, core::Time now, std::uint64_t request,
                     const TableReply& reply);
void TickNotes(EntryBoard* board, core::Time now);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_ENTRY_PARTS_H_
