#include "tarragon/coordinator/operator_state.h"

#include <algorithm>

namespace tarragon::coordinator {

const Queue* FindQueue(const OperatorState& state, std::string_view host,
                       std::string_view path) {
  const Queue* best = nullptr;
  for (const Queue& queue : state.queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    if (best != nullptr &&
        queue.path_prefix.size() <= best->path_prefix.size()) {
      continue;
    }
    best = &queue;
  }
  return best;
}

bool IsDrained(const OperatorState& state, const core::DomainId& domain) {
  return std::find(state.drained.begin(), state.drained.end(), domain) !=
         state.drained.end();
}

}  // namespace tarragon::coordinator
