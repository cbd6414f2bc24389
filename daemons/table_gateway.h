#ifndef TARRAGON_DAEMONS_TABLE_GATEWAY_H_
#define TARRAGON_DAEMONS_TABLE_GATEWAY_H_

#include <functional>

#include "tarragon/dispatch/entry_board.h"
#include "tarragon/notes/table.h"

namespace tarragon::daemons {

/// Carries out a call of the decisions at the platform's table. `done` is
/// called once, later. A value that cannot be read counts as no answer.
void CallTable(notes::Table* table, dispatch::TableCall call,
               std::function<void(dispatch::TableReply)> done);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_TABLE_GATEWAY_H_
