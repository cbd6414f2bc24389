#ifndef TARRAGON_DISPATCH_QUORUM_H_
#define TARRAGON_DISPATCH_QUORUM_H_

#include <cstddef>
#include <optional>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/entry_board.h"

/// Quorums of the registered entries. A read quorum confirms the world in force
/// without the platform's table; a write quorum confirms a change. Every read
/// quorum intersects every write quorum, so that no change is confirmed without
/// an entry of the read quorum.

namespace tarragon::dispatch {

/// Number of entries in a read quorum of a list of `size`: a majority.
std::size_t ReadQuorum(std::size_t size);
/// Number of entries in a write quorum of a list of `size`.
std::size_t WriteQuorum(std::size_t size);

/// Latest time at which a read quorum had no newer state than this entry has
/// now. Empty while this entry is not registered or has no quorum.
std::optional<core::Time> QuorumConfirmedAt(const EntryBoard& board,
                                            core::Time now);

/// True when a write quorum has the note of this version.
bool IsNoteConfirmed(const EntryBoard& board, core::NoteVersion version);

/// True when a write quorum has the current version of the entry list.
bool IsEntryListConfirmed(const EntryBoard& board);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_QUORUM_H_
