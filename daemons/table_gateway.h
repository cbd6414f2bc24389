#ifndef TARRAGON_DAEMONS_TABLE_GATEWAY_H_
#define TARRAGON_DAEMONS_TABLE_GATEWAY_H_

#include <functional>

#include "tarragon/dispatch/entry_board.h"
#include "tarragon/notes/table.h"

namespace tarragon::daemons {

/// Executes a table call of the dispatch logic at the platform's table. `done`
/// is called once, never from within this function. A value that cannot be
/// decoded is reported as kUnavailable.
void CallTable(notes::Table* table, dispatch::TableCall call,
               std::function<void(dispatch::TableReply)> done);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_TABLE_GATEWAY_H_
