#include "outbox.h"

#include <utility>

namespace tarragon::dispatch {

void Post(AgentBoard* board, const core::NodeId& to, Message message) {
  if (to == board->self) {
    board->loopback.push_back(std::move(message));
    return;
  }
  board->actions.emplace_back(SendMessage{to, std::move(message)});
}

}  // namespace tarragon::dispatch
