#ifndef TARRAGON_DAEMONS_OPEN_WORK_H_
#define TARRAGON_DAEMONS_OPEN_WORK_H_

#include <string>
#include <vector>

#include "tarragon/dispatch/agent_board.h"
#include "tarragon/dispatch/entry_board.h"

namespace tarragon::daemons {

/// What is cut when the agent ends now: its open jobs and its tasks that run,
/// wait, or whose end the home has not confirmed. Empty when nothing is.
std::vector<std::string> ListOpenWork(const dispatch::AgentBoard& board);

/// What is cut when the entry ends now: its open requests and notes.
std::vector<std::string> ListOpenWork(const dispatch::EntryBoard& board);

/// One text with commas between the items.
std::string JoinWithCommas(const std::vector<std::string>& items);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_OPEN_WORK_H_
