#ifndef TARRAGON_DISPATCH_OUTBOX_H_
#define TARRAGON_DISPATCH_OUTBOX_H_

#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"
#include "tarragon/dispatch/message.h"

namespace tarragon::dispatch {

/// Queues `message` for `to`. A message of the agent to itself is handled
/// before the current event returns.
void Post(AgentBoard* board, const core::NodeId& to, Message message);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_OUTBOX_H_
