#include "refusals.h"

namespace tarragon::dispatch {
namespace {

/// Refusals that are remembered for one entry.
constexpr std::size_t kMaxRefusals = 1024;

}  // namespace

void RememberRefusal(AgentBoard* board, const Waiter& waiter,
                     const RefusedRequest& refusal) {
  EntryRefusals& refusals = board->refusals[waiter.entry];
  const bool added = refusals.requests.emplace(waiter.request, refusal).second;
  if (!added) return;
  refusals.order.push_back(waiter.request);
  if (refusals.order.size() <= kMaxRefusals) return;
  refusals.requests.erase(refusals.order.front());
  refusals.order.pop_front();
}

std::optional<RefusedRequest> FindRefusal(const AgentBoard& board,
                                          const Waiter& waiter) {
  const auto refusals = board.refusals.find(waiter.entry);
  if (refusals == board.refusals.end()) return std::nullopt;
  const auto found = refusals->second.requests.find(waiter.request);
  if (found == refusals->second.requests.end()) return std::nullopt;
  return found->second;
}

void ForgetRefusals(AgentBoard* board, const core::NodeId& entry) {
  board->refusals.erase(entry);
}

}  // namespace tarragon::dispatch
