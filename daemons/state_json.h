#ifndef TARRAGON_DAEMONS_STATE_JSON_H_
#define TARRAGON_DAEMONS_STATE_JSON_H_

#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/entry_board.h"
#include "tarragon/http/message.h"

/// What operators see as JSON; see docs/INTERFACES.md.

namespace tarragon::daemons {

/// The state of the world: all accepted notes.
std::string FormatWorld(const dispatch::World& world);

/// Entries, agents and requests as this entry sees them.
std::string FormatState(const dispatch::EntryBoard& board, core::Time now);

/// The answer to a release note.
http::Response MakeNoteResponse(const dispatch::NoteAnswer& answer,
                                const std::string& note_id);

/// What the answer calls `state`.
const char* NoteStateName(dispatch::NoteState state);

/// The history of a job; 404 when the key is not known.
http::Response MakeExplainResponse(const std::string& key,
                                   const std::vector<std::string>& lines);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_STATE_JSON_H_
