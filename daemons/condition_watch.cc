#include "condition_watch.h"

#include "tarragon/dispatch/entry.h"

namespace tarragon::daemons {
namespace {

/// Lost peers that are remembered; then all are forgotten and told again.
constexpr std::size_t kMaxLostPeers = 10000;

/// The first note may still be on its way, then nothing is said.
bool IsDomainListed(const dispatch::AgentBoard& board) {
  return board.world.version.value() == 0 ||
         board.world.domains.count(board.domain) > 0;
}

}  // namespace

std::vector<ConditionChange> EntryConditionWatch::FindChanges(
    const dispatch::EntryBoard& board, core::Time now) {
  const bool vouches = dispatch::PermitLifetime(board, now).count() > 0;
  if (vouches == grants_permits_) return {};
  grants_permits_ = vouches;
  if (vouches) return {{false, "Can vouch for the release note."}};
  return {{true, "Cannot vouch for the release note; agents get no permits."}};
}

std::optional<ConditionChange> EntryConditionWatch::OnTableReply(
    dispatch::TableStatus status) {
  const bool answers = status != dispatch::TableStatus::kUnavailable &&
                       status != dispatch::TableStatus::kUnknown;
  if (answers == table_available_) return std::nullopt;
  table_available_ = answers;
  if (answers)
    return ConditionChange{false, "The platform's table answers again."};
  return ConditionChange{true, "The platform's table does not answer."};
}

std::vector<ConditionChange> AgentConditionWatch::FindChanges(
    const dispatch::AgentBoard& board, core::Time now) {
  std::vector<ConditionChange> notices;
  const bool permitted = now < board.permit_until;
  if (permitted != has_permit_) {
    has_permit_ = permitted;
    notices.push_back(
        permitted
            ? ConditionChange{false, "Has a permit; tasks may start."}
            : ConditionChange{true, "The permit has lapsed; no task starts."});
  }
  const bool listed = IsDomainListed(board);
  if (listed != domain_listed_) {
    domain_listed_ = listed;
    notices.push_back(
        listed ? ConditionChange{false,
                                 "This failure domain is in the release note."}
               : ConditionChange{true,
                                 "This failure domain is in no release note."});
  }
  return notices;
}

bool LostPeerTracker::MarkLost(const core::NodeId& peer) {
  if (lost_addresses_.size() >= kMaxLostPeers) lost_addresses_.clear();
  return lost_addresses_.insert(peer.address).second;
}

void LostPeerTracker::MarkReached(const core::NodeId& peer) {
  if (!lost_addresses_.empty()) lost_addresses_.erase(peer.address);
}

std::optional<std::string> FindNotReadyReason(const dispatch::AgentBoard& board,
                                              core::Time now) {
  if (board.stopping) return "The agent is being stopped.";
  if (!IsDomainListed(board)) {
    return "The failure domain " + board.domain.value() +
           " is in no release note.";
  }
  if (now >= board.permit_until) return "No permit.";
  if (!board.target.present) return "No target.";
  return std::nullopt;
}

}  // namespace tarragon::daemons
