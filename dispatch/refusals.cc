#include "refusals.h"

#include <algorithm>
#include <limits>

namespace tarragon::dispatch {
namespace {

/// Maximum number of remembered refusals of one entry.
constexpr std::size_t kMaxRefusals = 1024;
/// Maximum number of gone entry processes whose requests are still refused.
constexpr std::size_t kMaxGoneEntries = 256;
/// Retry delay for a request that may have been refused before.
constexpr core::Duration kForgottenPause = std::chrono::milliseconds(100);

}  // namespace

void RememberRefusal(AgentBoard* board, const Waiter& waiter,
                     const RefusedRequest& refusal) {
  EntryRefusals& refusals = board->refusals_by_entry[waiter.entry];
  const bool added = refusals.requests.emplace(waiter.request, refusal).second;
  if (!added) return;
  refusals.oldest_first.push_back(waiter.request);
  if (refusals.oldest_first.size() <= kMaxRefusals) return;
  const std::uint64_t oldest = refusals.oldest_first.front();
  refusals.max_forgotten_count =
      std::max(refusals.max_forgotten_count, RequestNumberWithoutRound(oldest));
  refusals.requests.erase(oldest);
  refusals.oldest_first.pop_front();
}

std::optional<RefusedRequest> FindRefusal(const AgentBoard& board,
                                          const Waiter& waiter) {
  const auto refusals = board.refusals_by_entry.find(waiter.entry);
  if (refusals == board.refusals_by_entry.end()) return std::nullopt;
  const auto found = refusals->second.requests.find(waiter.request);
  if (found != refusals->second.requests.end()) return found->second;
  if (RequestNumberWithoutRound(waiter.request) >
      refusals->second.max_forgotten_count) {
    return std::nullopt;
  }
  return RefusedRequest{Reason::kOverload, kForgottenPause};
}

void RefuseRequestsOfGoneEntry(AgentBoard* board, const core::NodeId& entry) {
  const auto refusals = board->refusals_by_entry.find(entry);
  if (refusals == board->refusals_by_entry.end()) return;
  refusals->second = EntryRefusals{};
  refusals->second.max_forgotten_count =
      std::numeric_limits<std::uint64_t>::max();
  board->gone_entries.push_back(entry);
  if (board->gone_entries.size() <= kMaxGoneEntries) return;
  board->refusals_by_entry.erase(board->gone_entries.front());
  board->gone_entries.pop_front();
}

}  // namespace tarragon::dispatch
