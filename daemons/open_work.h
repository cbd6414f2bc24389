#ifndef TARRAGON_DAEMONS_OPEN_WORK_H_
#define TARRAGON_DAEMONS_OPEN_WORK_H_

#include <string>
#include <vector>

#include "tarragon/dispatch/agent_board.h"
#include "tarragon/dispatch/entry_board.h"

namespace tarragon::daemons {

/// Lists the work that would be lost if the agent ended now: its open jobs, and
/// its tasks that are waiting, running, or finished but not yet confirmed by
/// the home.
std::vector<std::string> ListOpenWork(const dispatch::AgentBoard& board);

/// Lists the work that would be lost if the entry ended now: its open requests
/// and release notes.
std::vector<std::string> ListOpenWork(const dispatch::EntryBoard& board);

/// Joins the items to one text, separated by ", ".
std::string JoinWithCommas(const std::vector<std::string>& items);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_OPEN_WORK_H_
