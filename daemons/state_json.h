#ifndef TARRAGON_DAEMONS_STATE_JSON_H_
#define TARRAGON_DAEMONS_STATE_JSON_H_

#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/entry_board.h"
#include "tarragon/http/message.h"

/// The JSON of the operators' HTTP interface; see docs/INTERFACES.md.

namespace tarragon::daemons {

/// Formats the world: the services, domains and tenants that result from all
/// accepted release notes.
std::string FormatWorld(const dispatch::World& world);

/// Formats the entries, agents and open requests known to this entry.
std::string FormatState(const dispatch::EntryBoard& board, core::Time now);

/// Makes the response to a release note.
http::Response MakeNoteResponse(const dispatch::NoteAnswer& answer,
                                const std::string& note_id);

/// The name of `state` in the response.
const char* NoteStateName(dispatch::NoteState state);

/// Makes the response with the history of a job; 404 if the key is unknown.
http::Response MakeExplainResponse(const std::string& key,
                                   const dispatch::AnswerExplain& answer);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_STATE_JSON_H_
