#include <algorithm>

#include "entry_parts.h"

namespace tarragon::dispatch {
namespace {

/// An heir without an announcement for this long is removed.
constexpr core::Duration kHeirTimeout = std::chrono::seconds(60);
/// A process that stopped gracefully is remembered for this long.
constexpr core::Duration kLeavingRetention = std::chrono::minutes(3);
/// Maximum number of stopped homes, and of stopping processes, remembered.
constexpr std::size_t kMaxTrackedHomes = 20000;
/// An entry that started fewer heartbeat intervals ago may not know all heirs.
constexpr int kHeirDiscoveryHeartbeats = 6;

void RemoveHeir(std::vector<Heir>* heirs, const core::NodeId& node) {
  std::erase_if(*heirs,
                [&node](const Heir& heir) { return heir.node == node; });
}

/// Schedules an immediate resend of the requests whose destination is
/// disconnected and now has an heir.
void ResendDisconnectedRequests(EntryBoard* board, core::Time now) {
  for (auto& [number, request] : board->requests) {
    if (!request.sent || !request.disconnected_since.has_value()) continue;
    if (DestinationOf(*board, request) != request.destination)
      request.resend_at = now;
  }
}

}  // namespace

void HandleInherited(EntryBoard* board, core::Time now,
                     const core::NodeId& from, const Inherited& inherited) {
  bool found_new_heir = false;
  for (const core::NodeId& home : inherited.homes) {
    if (board->heirs.size() >= kMaxTrackedHomes && !board->heirs.count(home)) {
      continue;
    }
    std::vector<Heir>& heirs = board->heirs[home];
    // The sender has passed the records that it had inherited to another heir.
    if (from != inherited.heir) RemoveHeir(&heirs, from);
    const std::size_t before = heirs.size();
    RemoveHeir(&heirs, inherited.heir);
    found_new_heir = found_new_heir || heirs.size() == before;
    heirs.push_back(Heir{inherited.heir, now});
  }
  if (found_new_heir) ResendDisconnectedRequests(board, now);
}

void HandleLeavingHome(EntryBoard* board, core::Time now,
                       const core::NodeId& from, const Leaving& leaving) {
  if (leaving.node != from || IsListed(board->entries, from)) return;
  if (board->leaving_until.size() >= kMaxTrackedHomes) return;
  board->leaving_until[from] = now + kLeavingRetention;
}

core::NodeId DestinationOf(const EntryBoard& board,
                           const EntryRequest& request) {
  const auto known = board.heirs.find(request.key_home);
  if (known == board.heirs.end() || known->second.empty()) {
    return request.key_home;
  }
  const std::vector<Heir>& heirs = known->second;
  const auto staying =
      std::find_if(heirs.rbegin(), heirs.rend(), [&board](const Heir& heir) {
        return board.leaving_until.count(heir.node) == 0;
      });
  return staying != heirs.rend() ? staying->node : heirs.back().node;
}

bool MayHaveHeir(const EntryBoard& board, core::Time now,
                 const core::NodeId& home) {
  const core::Duration learning =
      kHeirDiscoveryHeartbeats * board.policy.heartbeat_interval;
  return board.leaving_until.count(home) > 0 ||
         now - board.started_at < learning;
}

void RemoveHeirOfAllHomes(EntryBoard* board, const core::NodeId& peer) {
  for (auto& [home, heirs] : board->heirs) RemoveHeir(&heirs, peer);
}

void TickHeirs(EntryBoard* board, core::Time now) {
  std::erase_if(board->leaving_until,
                [now](const auto& item) { return item.second <= now; });
  for (auto& [home, heirs] : board->heirs) {
    std::erase_if(heirs, [now](const Heir& heir) {
      return now - heir.last_heard >= kHeirTimeout;
    });
  }
  std::erase_if(board->heirs,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace tarragon::dispatch
