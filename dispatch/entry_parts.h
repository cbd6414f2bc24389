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

/// Calls the table; the answer comes to the controller of `purpose`.
void CallTable(EntryBoard* board, core::Time now, TablePurpose purpose,
               std::uint64_t request, TableCall call);

// Freshness: what is in force, by the table and by other entries.
void TickFreshness(EntryBoard* board, core::Time now);
void HandlePing(EntryBoard* board, core::Time now, const core::NodeId& from,
                const EntryPing& ping);
void HandlePong(EntryBoard* board, core::Time now, const core::NodeId& from,
                EntryPong pong);
void HandleWorldRead(EntryBoard* board, core::Time sent, TableReply reply);
void HandleEntriesRead(EntryBoard* board, core::Time now, core::Time sent,
                       TableReply reply);
/// Takes in a world if it is newer than the one in force.
void AdoptWorld(EntryBoard* board, World world);
void AdoptEntries(EntryBoard* board, core::Time now, EntryList entries);

// Registration in the list of entries.
void TickRegistration(EntryBoard* board, core::Time now);
/// The node is in the list or was before the present change.
bool IsListed(const EntryList& list, const core::NodeId& node);
/// Notes that another entry is proved dead: no quorum waits for it.
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
/// The process to which the request goes: the home that the key names, or the
/// heir that was heard of last and is not leaving.
core::NodeId DestinationOf(const EntryBoard& board,
                           const EntryRequest& request);
/// The home left in good order, or this entry is too young to know: an heir may
/// still announce itself.
bool MayHaveHeir(const EntryBoard& board, core::Time now,
                 const core::NodeId& home);

// Release notes.
void HandleNoteReply(EntryBoard* board, core::Time now, std::uint64_t request,
                     const TableReply& reply);
void TickNotes(EntryBoard* board, core::Time now);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_ENTRY_PARTS_H_
