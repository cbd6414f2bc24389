#ifndef TARRAGON_DAEMONS_CONDITION_WATCH_H_
#define TARRAGON_DAEMONS_CONDITION_WATCH_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"
#include "tarragon/dispatch/entry_board.h"

/// What operators are to be told once, when it begins and when it ends.

namespace tarragon::daemons {

/// One line for the log.
struct ConditionChange {
  /// A warning; else it is good news.
  bool is_warning = false;
  /// Constant, as the log demands.
  const char* log_text = "";

  bool operator==(const ConditionChange&) const = default;
};

/// Watches the conditions of an entry.
class EntryConditionWatch {
 public:
  /// What has changed since the last look.
  std::vector<ConditionChange> FindChanges(const dispatch::EntryBoard& board,
                                           core::Time now);

  /// The table has answered a call, or has not.
  std::optional<ConditionChange> OnTableReply(dispatch::TableStatus status);

 private:
  bool grants_permits_ = false;
  bool table_available_ = true;
};

/// Watches the conditions of an agent.
class AgentConditionWatch {
 public:
  /// What has changed since the last look.
  std::vector<ConditionChange> FindChanges(const dispatch::AgentBoard& board,
                                           core::Time now);

 private:
  bool has_permit_ = false;
  bool domain_listed_ = true;
};

/// Remembers which peers are lost, so that a loss is told once until the peer
/// is reached again.
class LostPeerTracker {
 public:
  /// True when the loss of `peer` is new.
  bool MarkLost(const core::NodeId& peer);

  /// Something has arrived from `peer`.
  void MarkReached(const core::NodeId& peer);

 private:
  std::set<core::Address> lost_addresses_;
};

/// Why the agent starts no task; empty when it may.
std::optional<std::string> FindNotReadyReason(const dispatch::AgentBoard& board,
                                              core::Time now);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_CONDITION_WATCH_H_
