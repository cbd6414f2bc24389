#include "condition_watch.h"

#include "tarragon/dispatch/entry.h"

namespace tarragon::daemons {
namespace {

/// Lost peers that are remembered; then all are forgotten and told again.
constexpr std::size_t kMaxLostPeers = 10000;

/// The first note may still be on its way, then nothing is said.
bool DomainListed(const dispatch::AgentBoard& board) {
  return board.world.version.value() == 0 ||
         board.world.domains.count(board.domain) > 0;
}

}  // namespace

std::vector<Notice> EntryWatch::Look(const dispatch::EntryBoard& board,
                                     core::Time now) {
  const bool vouches = dispatch::PermitLifetime(board, now).count() > 0;
  if (vouches == vouches_) return {};
  vouches_ = vouches;
  if (vouches) return {{false, "Can vouch for the release note."}};
  return {{true, "Cannot vouch for the release note; agents get no permits."}};
}

std::optional<Notice> EntryWatch::TableReplied(dispatch::TableStatus status) {
  const bool answers = status != dispatch::TableStatus::kUnavailable &&
                       status != dispatch::TableStatus::kUnknown;
  if (answers == table_answers_) return std::nullopt;
  table_answers_ = answers;
  if (answers) return Notice{false, "The platform's table answers again."};
  return Notice{true, "The platform's table does not answer."};
}

std::vector<Notice> AgentWatch::Look(const dispatch::AgentBoard& board,
                                     core::Time now) {
  std::vector<Notice> notices;
  const bool permitted = now < board.permit_until;
  if (permitted != permitted_) {
    permitted_ = permitted;
    notices.push_back(
        permitted ? Notice{false, "Has a permit; tasks may start."}
                  : Notice{true, "The permit has lapsed; no task starts."});
  }
  const bool listed = DomainListed(board);
  if (listed != listed_) {
    listed_ = listed;
    notices.push_back(
        listed ? Notice{false, "This failure domain is in the release note."}
               : Notice{true, "This failure domain is in no release note."});
  }
  return notices;
}

bool LostPeers::Lost(const core::NodeId& peer) {
  if (lost_.size() >= kMaxLostPeers) lost_.clear();
  return lost_.insert(peer.address).second;
}

void LostPeers::Reached(const core::NodeId& peer) {
  if (!lost_.empty()) lost_.erase(peer.address);
}

std::optional<std::string> NotReady(const dispatch::AgentBoard& board,
                                    core::Time now) {
  if (board.stopping) return "The agent is being stopped.";
  if (!DomainListed(board)) {
    return "The failure domain " + board.domain.value() +
           " is in no release note.";
  }
  if (now >= board.permit_until) return "No permit.";
  if (!board.target.present) return "No target.";
  return std::nullopt;
}

}  // namespace tarragon::daemons
