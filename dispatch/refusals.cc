#include "refusals.h"

#include <algorithm>
#include <limits>

namespace tarragon::dispatch {
namespace {

/// Refusals that are remembered for one entry.
constexpr std::size_t kMaxRefusals = 1024;
/// Lives of entries, gone by now, of which copies are still refused.
constexpr std::size_t kMaxGoneEntries = 256;
/// Pause after the refusal of a request that may have been refused before.
constexpr core::Duration kForgottenPause = std::chrono::milliseconds(100);

}  // namespace

void RememberRefusal(AgentBoard* board, const Waiter& waiter,
                     const RefusedRequest& refusal) {
  EntryRefusals& refusals = board->refusals[waiter.entry];
  const bool added = refusals.requests.emplace(waiter.request, refusal).second;
  if (!added) return;
  refusals.order.push_back(waiter.request);
  if (refusals.order.size() <= kMaxRefusals) return;
  const std::uint64_t oldest = refusals.order.front();
  refusals.forgotten_up_to =
      std::max(refusals.forgotten_up_to, RequestNumberWithoutRound(oldest));
  refusals.requests.erase(oldest);
  refusals.order.pop_front();
}

std::optional<RefusedRequest> FindRefusal(const AgentBoard& board,
                                          const Waiter& waiter) {
  const auto refusals = board.refusals.find(waiter.entry);
  if (refusals == board.refusals.end()) return std::nullopt;
  const auto found = refusals->second.requests.find(waiter.request);
  if (found != refusals->second.requests.end()) return found->second;
  if (RequestNumberWithoutRound(waiter.request) >
      refusals->second.forgotten_up_to) {
    return std::nullopt;
  }
  return RefusedRequest{Reason::kOverload, kForgottenPause};
}

void RefuseGoneEntry(AgentBoard* board, const core::NodeId& entry) {
  const auto refusals = board->refusals.find(entry);
  if (refusals == board->refusals.end()) return;
  refusals->second = EntryRefusals{};
  refusals->second.forgotten_up_to = std::numeric_limits<std::uint64_t>::max();
  board->gone_entries.push_back(entry);
  if (board->gone_entries.size() <= kMaxGoneEntries) return;
  board->refusals.erase(board->gone_entries.front());
  board->gone_entries.pop_front();
}

}  // namespace tarragon::dispatch
