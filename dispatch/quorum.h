#ifndef TARRAGON_DISPATCH_QUORUM_H_
#define TARRAGON_DISPATCH_QUORUM_H_

#include <cstddef>
#include <optional>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/entry_board.h"

/// Quorums among the registered entries. A read quorum vouches for what is in
/// force without the platform; a write quorum confirms a change. Every read
/// quorum meets every write quorum, so that no change is confirmed behind the
/// back of those who vouch.

namespace tarragon::dispatch {

/// Entries of a list of `size` that a read quorum takes: a majority.
std::size_t ReadQuorum(std::size_t size);
/// Entries of a list of `size` that a write quorum takes.
std::size_t WriteQuorum(std::size_t size);

/// The latest moment at which a read quorum knew nothing newer than this entry
/// knows now. Nothing while this entry is not registered or has no quorum.
std::optional<core::Time> QuorumConfirmedAt(const EntryBoard& board,
                                            core::Time now);

/// Enough entries have the note of this version.
bool IsNoteConfirmed(const EntryBoard& board, core::NoteVersion version);

/// Enough entries have this version of the list of entries.
bool IsEntryListConfirmed(const EntryBoard& board);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_QUORUM_H_
