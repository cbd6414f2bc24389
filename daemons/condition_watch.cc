#include "condition_watch.h"

#include "tarragon/dispatch/entry.h"

namespace tarragon::daemons {
namespace {

/// Largest number of tracked lost peers. Beyond it all are dropped, so that
/// their loss is logged again.
constexpr std::size_t kMaxLostPeers = 10000;

/// True if the release note lists the agent's domain. Also true before the
/// first note has arrived, so that a starting agent logs no warning.
bool IsDomainListed(const dispatch::AgentBoard& board) {
  return board.world.version.value() == 0 ||
         board.world.domains.count(board.domain) > 0;
}

}  // namespace

std::vector<ConditionChange> EntryConditionWatch::FindChanges(
    const dispatch::EntryBoard& board, core::Time now) {
  const bool grants_permits = dispatch::PermitLifetime(board, now).count() > 0;
  if (grants_permits == grants_permits_) return {};
  grants_permits_ = grants_permits;
  if (grants_permits) {
    return {{false, "Grants permits: the release note is confirmed."}};
  }
  return {{true, "Grants no permits: the release note is not confirmed."}};
}

std::optional<ConditionChange> EntryConditionWatch::OnTableReply(
    dispatch::TableStatus status) {
  const bool available = status != dispatch::TableStatus::kUnavailable &&
                         status != dispatch::TableStatus::kUnknown;
  if (available == table_available_) return std::nullopt;
  table_available_ = available;
  if (available) {
    return ConditionChange{false, "The platform's table is available again."};
  }
  return ConditionChange{true, "The platform's table is unavailable."};
}

std::vector<ConditionChange> AgentConditionWatch::FindChanges(
    const dispatch::AgentBoard& board, core::Time now) {
  std::vector<ConditionChange> changes;
  const bool has_permit = now < board.permit_until;
  if (has_permit != has_permit_) {
    has_permit_ = has_permit;
    changes.push_back(
        has_permit
            ? ConditionChange{false,
                              "The agent has a permit and may start tasks."}
            : ConditionChange{
                  true, "The agent's permit has expired; it starts no tasks."});
  }
  const bool domain_listed = IsDomainListed(board);
  if (domain_listed != domain_listed_) {
    domain_listed_ = domain_listed;
    changes.push_back(
        domain_listed
            ? ConditionChange{false,
                              "The release note lists this failure domain."}
            : ConditionChange{
                  true, "The release note does not list this failure domain."});
  }
  return changes;
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
           " is not in the release note.";
  }
  if (now >= board.permit_until) return "The agent has no permit.";
  if (!board.target.present) return "The agent has no target.";
  return std::nullopt;
}

}  // namespace tarragon::daemons
